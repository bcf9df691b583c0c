package daemon

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// stuck is a Stopper with one request that ends when done is closed.
type stuck struct{ done chan struct{} }

func (s stuck) Stop()                 {}
func (s stuck) Done() <-chan struct{} { return s.done }
func (s stuck) Unfinished() []observe.Unfinished {
	return []observe.Unfinished{{Request: "r1", Service: "svc", Target: "agent", Attempts: 1, Arrived: time.Now().Add(-time.Minute)}}
}

// TestStopNamesTheRequestsThatItLeaves ends a stop by its timeout: without a line for each
// request that is left, a request that was lost can't be told from one that never came.
func TestStopNamesTheRequestsThatItLeaves(t *testing.T) {
	var out bytes.Buffer
	p := &Process{Logger: observe.NewLogger(&out, "info", "test", "i")}
	err := p.Stop(stuck{make(chan struct{})}, 1200*time.Millisecond)
	assert.Assert(t, errors.Is(err, ErrStopTimeout))
	var events []string
	for line := range strings.Lines(out.String()) {
		_, event, _ := strings.Cut(line, "event=")
		events = append(events, strings.Fields(event)[0])
	}
	assert.DeepEqual(t, events, []string{"stop-waits", "unfinished", "stop-ends"})
	for _, text := range []string{"requests=1 stop_ms=", "request=r1", "service=svc", "target=agent attempts=1 age_ms=60", "requests=1 took_ms="} {
		assert.Assert(t, strings.Contains(out.String(), text), "%q is missing in\n%s", text, out.String())
	}
}

// TestStopThatEndsLeavesNoRequest ends a stop with its last request: its lines must not name
// requests as left.
func TestStopThatEndsLeavesNoRequest(t *testing.T) {
	var out bytes.Buffer
	p := &Process{Logger: observe.NewLogger(&out, "info", "test", "i")}
	done := make(chan struct{})
	close(done)
	assert.NilError(t, p.Stop(stuck{done}, time.Minute))
	assert.Assert(t, strings.Contains(out.String(), "event=stop-ends requests=0"), out.String())
	assert.Assert(t, !strings.Contains(out.String(), "unfinished"), out.String())
}
