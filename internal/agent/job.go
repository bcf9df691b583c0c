package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// jobID identifies a request by its sender's incarnation and the id that the sender
// assigned to it.
type jobID struct {
	sender uint64
	id     uint64
}

// phase is the progress of a job. It leaves phasePending exactly once.
type phase int32

const (
	// phasePending means that nothing has been sent to the target.
	phasePending phase = iota
	// phaseStarted means that the request may have reached the target.
	phaseStarted
	// phaseWithdrawn means that the request will never be sent to the target.
	phaseWithdrawn
)

// job is one request that the agent has received.
type job struct {
	key         jobID
	admissionID uint64
	peer        link.Peer
	req         *message.Request
	deadline    time.Time
	// ctx limits the call to the target; callerCtx limits the sending of its answer.
	ctx       context.Context
	cancel    context.CancelFunc
	callerCtx context.Context
	// cancelCaller ends callerCtx but not ctx.
	cancelCaller context.CancelFunc
	window       *window
	phase        atomic.Int32
}

// newJob returns a pending job. Its cancel function must be called to release its contexts.
func newJob(parent context.Context, p link.Peer, req *message.Request, now time.Time) *job {
	j := &job{
		key:      jobID{sender: p.Identity().Incarnation, id: req.ID},
		peer:     p,
		req:      req,
		deadline: now.Add(req.Timeout),
		window:   newWindow(req.Window),
	}
	// A non-idempotent run continues after its caller's deadline, so that its outcome
	// becomes known and its slot is not reassigned while the target still works on it.
	runDeadline := j.deadline
	if !req.Idempotent {
		runDeadline = runDeadline.Add(outcomeGracePeriod)
	}
	j.ctx, j.cancel = context.WithDeadline(parent, runDeadline)
	j.callerCtx, j.cancelCaller = context.WithDeadline(j.ctx, j.deadline)
	return j
}

// arrived returns when the agent received the request.
func (j *job) arrived() time.Time { return j.deadline.Add(-j.req.Timeout) }

// tryStart moves the job to phaseStarted. It returns false if the job was withdrawn.
func (j *job) tryStart() bool {
	return j.phase.CompareAndSwap(int32(phasePending), int32(phaseStarted))
}

// tryWithdraw moves the job to phaseWithdrawn. It returns false if the job has started.
func (j *job) tryWithdraw() bool {
	return j.phase.CompareAndSwap(int32(phasePending), int32(phaseWithdrawn)) ||
		phase(j.phase.Load()) == phaseWithdrawn
}

// interruptible reports whether the run may be interrupted once no caller waits for it.
func (j *job) interruptible() bool { return j.req.Idempotent }
