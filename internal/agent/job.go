package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// jobID names a request by its sender's incarnation and the sender's own number.
type jobID struct {
	sender uint64
	id     uint64
}

// phase is how far a job has come. It leaves phasePending exactly once.
type phase int32

const (
	// phasePending means that nothing has been sent to the target.
	phasePending phase = iota
	// phaseStarted means that the request may have reached the target.
	phaseStarted
	// phaseWithdrawn means that the request will never be sent to the target.
	phaseWithdrawn
)

// job is one request that the agent has taken.
type job struct {
	key      jobID
	admitted uint64
	peer     link.Peer
	req      *message.Request
	deadline time.Time
	// ctx bounds the call to the target, caller the sending of its answer.
	ctx    context.Context
	cancel context.CancelFunc
	caller context.Context
	// leave ends caller alone.
	leave  context.CancelFunc
	window *window
	phase  atomic.Int32
}

// newJob returns a pending job; its context ends with cancel.
func newJob(parent context.Context, p link.Peer, req *message.Request, now time.Time) *job {
	j := &job{
		key:      jobID{sender: p.Identity().Incarnation, id: req.ID},
		peer:     p,
		req:      req,
		deadline: now.Add(req.Timeout),
		window:   newWindow(req.Window),
	}
	// A run that may not be repeated goes on after its caller's deadline, so that
	// its outcome becomes known and its slot is not given away too early.
	limit := j.deadline
	if !req.Idempotent {
		limit = limit.Add(outcomeGrace)
	}
	j.ctx, j.cancel = context.WithDeadline(parent, limit)
	j.caller, j.leave = context.WithDeadline(j.ctx, j.deadline)
	return j
}

// start moves the job to phaseStarted; false means that it was withdrawn.
func (j *job) start() bool {
	return j.phase.CompareAndSwap(int32(phasePending), int32(phaseStarted))
}

// withdraw moves the job to phaseWithdrawn; false means that it has started.
func (j *job) withdraw() bool {
	return j.phase.CompareAndSwap(int32(phasePending), int32(phaseWithdrawn)) ||
		phase(j.phase.Load()) == phaseWithdrawn
}

// interruptible reports whether the run may be cut once nobody waits for it.
func (j *job) interruptible() bool { return j.req.Idempotent }
