package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/answertime"
	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// answerTimes contains how long the answers of each route take, by the route's name.
type answerTimes struct {
	mu     sync.Mutex
	routes map[string]*answertime.Route
}

func newAnswerTimes() answerTimes { return answerTimes{routes: make(map[string]*answertime.Route)} }

// record records an answer of a route. A new route takes the place of those without recent answers.
func (t *answerTimes) record(now time.Duration, route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		for name, other := range t.routes {
			if _, known := other.Usual(now); !known {
				delete(t.routes, name)
			}
		}
		r = &answertime.Route{}
		t.routes[route] = r
	}
	r.Record(now, took)
}

// usual returns how long the answers of a route take at most, apart from few. It returns false if nothing
// is known.
func (t *answerTimes) usual(now time.Duration, route string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.routes[route]
	if r == nil {
		return 0, false
	}
	return r.Usual(now)
}

// recordAnswerTime records how long a whole answer has taken. Others tell nothing: refusals are fast, and
// timeouts depend on the caller.
func (g *Gateway) recordAnswerTime(x *exchange, err *apierr.Error) {
	if err == nil && x.status >= 200 && x.status < 300 {
		g.answerTimes.record(g.now(), x.route.Name, time.Since(x.arrived))
	}
}

// requireTime refuses a request in a stop if the answers of its route take longer than the time until the process
// ends. A request whose deadline comes before that has its answer by then.
func (g *Gateway) requireTime(x *exchange) *apierr.Error {
	if g.stopTimes.Load() == nil {
		return nil
	}
	usual, known := g.answerTimes.usual(g.now(), x.route.Name)
	left := g.timeToKill()
	if !known || usual <= left || x.remaining() <= left {
		return nil
	}
	return apierr.New(apierr.KindDraining, fmt.Sprintf("%s: usual_ms=%d left_ms=%d", g.opts.Settings.Name, usual.Milliseconds(), left.Milliseconds()))
}
