package daemon

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/observe"
)

// Stopper is the part of a program whose requests a stop waits for.
type Stopper interface {
	// Stop makes it refuse new requests.
	Stop()
	// Done returns a channel that is closed when no request is left.
	Done() <-chan struct{}
	// Unfinished returns the requests in flight, the oldest first.
	Unfinished() []observe.Unfinished
}

// Stop stops s and waits for its requests. It returns an error, and logs the requests that
// are left, if the timeout ends first; the caller must then still close the process's parts.
func (p *Process) Stop(s Stopper, timeout time.Duration) error {
	lines := observe.NewStopLog(p.Logger)
	s.Stop()
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	ticker := time.NewTicker(observe.StopLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.Done():
			lines.Ends(nil)
			return nil
		case <-limit.C:
			lines.Ends(s.Unfinished())
			return ErrStopTimeout
		case <-ticker.C:
			lines.Waits(len(s.Unfinished()))
		}
	}
}
