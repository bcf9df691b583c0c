package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

const (
	// targetEndTimeout bounds the check whether the target has ended. One that has refuses a
	// connection at once.
	targetEndTimeout = 150 * time.Millisecond
	// targetEndSpacing is the least time between the ends of two runs of the target: requests that
	// it had when it ended fail within it.
	targetEndSpacing = 500 * time.Millisecond
)

// targetEnds counts the ends of the target.
type targetEnds struct {
	mu    sync.Mutex
	count int
	last  time.Time
}

// record records that the target was found to have ended, and returns the number of that end.
func (e *targetEnds) record(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.count == 0 || now.Sub(e.last) > targetEndSpacing {
		e.count++
	}
	e.last = now
	return e.count
}

// checkTargetEnd adds to the error of a run whose connection the target ended, whether the target
// has ended too.
func (a *Agent) checkTargetEnd(r *run, err *apierr.Error) {
	if err == nil || err.Kind != apierr.KindTargetFailed && err.Kind != apierr.KindTruncated {
		return
	}
	ctx, cancel := context.WithTimeout(a.baseCtx, targetEndTimeout)
	defer cancel()
	if !a.opts.Target.Ended(ctx) {
		return
	}
	id := a.opts.Identity
	err.EndedTarget = fmt.Sprintf("%s/%d/%d", id.Name, id.Incarnation, a.targetEnds.record(time.Now()))
	a.opts.Logger.Warn().Str("event", "target-ended").Str("request", r.req.RequestID).
		Str("run", err.EndedTarget).Msg("")
}
