// Package load runs a plan of requests at fixed rates, for trials and tests only.
//
// Package callers sends the requests, classifies the answers and compares them with the
// records of plain services. This package controls the rate and reports by phase.
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
	// Entries are the HTTP addresses of the entries; requests use them in turn.
	Entries []string `yaml:"entries"`
	// Phases divide the run and its report. A request counts for the phase in which it
	// was due to be sent.
	Phases []Phase `yaml:"phases"`
	// Jobs are the kinds of requests to send.
	Jobs []Job `yaml:"jobs"`
	// PlainServices are the addresses of all plain services that the jobs reach. The runs that
	// they recorded are compared with the answers to requests that must not be repeated.
	// If PlainServices is empty, nothing is compared.
	PlainServices []string `yaml:"judges"`
	// MaxInFlight is the maximum number of requests in flight; default 2000.
	MaxInFlight int `yaml:"max_open"`
}

// Phase is a part of a run.
type Phase struct {
	// Name appears in the report.
	Name string `yaml:"name"`
	// Duration is the length of the phase.
	Duration time.Duration `yaml:"duration"`
}

// Job is one kind of request, sent at a fixed rate.
type Job struct {
	// Name appears in the report.
	Name string `yaml:"name"`
	// Keys are the API keys of the callers; requests use them in turn.
	Keys []string `yaml:"keys"`
	// Method and Path select the route.
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Entries replaces the plan's entries for this job, for example with the address of
	// a target, for comparison with direct requests.
	Entries []string `yaml:"entries"`
	// Tokens is the number of tokens that each request asks a model engine to stream;
	// zero means that the target is a plain service.
	Tokens int `yaml:"tokens"`
	// Rate is the number of requests per second.
	Rate float64 `yaml:"rate"`
	// Timeout is the timeout of each request; zero means the service's default.
	Timeout time.Duration `yaml:"timeout"`
	// UseIdempotencyKeys gives each request a unique idempotency key.
	UseIdempotencyKeys bool `yaml:"keyed"`
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
	if j.UseIdempotencyKeys {
		r.IdempotencyKey = mark
	}
	return r
}

const defaultMaxInFlight = 2000

// LoadPlan reads and checks the plan in the file at path.
func LoadPlan(path string) (*Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p := &Plan{MaxInFlight: defaultMaxInFlight}
	if err := yaml.UnmarshalWithOptions(raw, p, yaml.Strict()); err != nil {
		return nil, err
	}
	if len(p.Entries) == 0 || len(p.Phases) == 0 || len(p.Jobs) == 0 {
		return nil, fmt.Errorf("%s: entries, phases and jobs must not be empty", path)
	}
	for _, j := range p.Jobs {
		if j.Rate <= 0 || len(j.Keys) == 0 {
			return nil, fmt.Errorf("%s: job %s: rate must be above 0 and keys must not be empty", path, j.Name)
		}
	}
	return p, nil
}

// entriesOf returns the addresses that the job sends its requests to.
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

// phaseAt returns the index of the phase at the given time since the start of the run.
func (p *Plan) phaseAt(at time.Duration) int {
	for i, ph := range p.Phases {
		if at < ph.Duration {
			return i
		}
		at -= ph.Duration
	}
	return len(p.Phases) - 1
}
