// Package load plays the callers in trials and tests: it sends requests at fixed
// rates, checks every answer against the request's own mark, and compares what
// callers were told with what plain services recorded.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"
)

// Plan describes one run.
type Plan struct {
	// Entries are the HTTP addresses of the entries, used in turn.
	Entries []string `yaml:"entries"`
	// Phases divide the report; requests count for the phase in which they were sent.
	Phases []Phase `yaml:"phases"`
	// Jobs are the kinds of requests.
	Jobs []Job `yaml:"jobs"`
	// Judges are the addresses of plain services whose records are compared with
	// the answers of recorded jobs.
	Judges []string `yaml:"judges"`
	// MaxOpen bounds the requests in flight. Default 2000.
	MaxOpen int `yaml:"max_open"`
}

// Phase is a part of a run.
type Phase struct {
	// Name appears in the report.
	Name string `yaml:"name"`
	// Duration is the phase's length.
	Duration time.Duration `yaml:"duration"`
}

// Job is one kind of request, sent at a fixed rate.
type Job struct {
	// Name appears in the report.
	Name string `yaml:"name"`
	// Keys are the callers' API keys, used in turn.
	Keys []string `yaml:"keys"`
	// Method and Path select the route.
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Entries replaces the plan's entries for this job, for example by a target's
	// own address to compare with.
	Entries []string `yaml:"entries"`
	// Body is sent with each request.
	Body string `yaml:"body"`
	// Rate is the number of requests a second.
	Rate float64 `yaml:"rate"`
	// Timeout is asked for with each request; empty leaves it to the service.
	Timeout string `yaml:"timeout"`
	// Keyed sends a new idempotency key with each request.
	Keyed bool `yaml:"keyed"`
	// Recorded compares each answer with the judges' records.
	Recorded bool `yaml:"recorded"`
}

const defaultMaxOpen = 2000

// LoadPlan reads a plan.
func LoadPlan(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{MaxOpen: defaultMaxOpen}
	if err := yaml.UnmarshalWithOptions(raw, p, yaml.Strict()); err != nil {
		return nil, err
	}
	if len(p.Entries) == 0 || len(p.Phases) == 0 || len(p.Jobs) == 0 {
		return nil, fmt.Errorf("%s: entries, phases and jobs must not be empty", path)
	}
	for _, j := range p.Jobs {
		if j.Rate <= 0 || len(j.Keys) == 0 {
			return nil, fmt.Errorf("%s: job %s needs a rate and keys", path, j.Name)
		}
	}
	return p, nil
}

// duration returns the length of the whole run.
func (p *Plan) duration() time.Duration {
	var d time.Duration
	for _, ph := range p.Phases {
		d += ph.Duration
	}
	return d
}

// phaseAt returns the index of the phase at the time since the start.
func (p *Plan) phaseAt(at time.Duration) int {
	for i, ph := range p.Phases {
		if at < ph.Duration {
			return i
		}
		at -= ph.Duration
	}
	return len(p.Phases) - 1
}
