// Package load runs a plan of requests at fixed rates, for trials and tests only.
//
// Package callers sends the requests, classes the answers and judges them against
// the records of plain services; this package paces them and reports by phase.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/gentiantrail/gentiantrail/internal/standin/callers"
)

// Plan describes one run.
type Plan struct {
	// Entries are the HTTP addresses of the entries, used in turn.
	Entries []string `yaml:"entries"`
	// Phases divide the report; requests count for the phase in which they were sent.
	Phases []Phase `yaml:"phases"`
	// Jobs are the kinds of requests.
	Jobs []Job `yaml:"jobs"`
	// Judges are the addresses of all plain services that the jobs reach. Their records
	// are compared with the answers to requests that may not be repeated; without
	// judges nothing is compared.
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
	// Tokens is asked of a model engine with each request, as a stream; zero asks a
	// plain service.
	Tokens int `yaml:"tokens"`
	// Rate is the number of requests a second.
	Rate float64 `yaml:"rate"`
	// Timeout is asked for with each request; zero leaves it to the service.
	Timeout time.Duration `yaml:"timeout"`
	// Keyed sends a new idempotency key with each request.
	Keyed bool `yaml:"keyed"`
}

// request returns the job's request number n with the given mark.
func (j *Job) request(n int, mark string) callers.Request {
	r := callers.Request{
		Method:  j.Method,
		Path:    j.Path,
		APIKey:  j.Keys[n%len(j.Keys)],
		Mark:    mark,
		Timeout: j.Timeout,
		Tokens:  j.Tokens,
		Stream:  j.Tokens > 0,
	}
	if j.Keyed {
		r.IdempotencyKey = mark
	}
	return r
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

// entriesOf returns the addresses that a job uses.
func (p *Plan) entriesOf(j *Job) []string {
	if len(j.Entries) > 0 {
		return j.Entries
	}
	return p.Entries
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
