package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// handleWithdraw withdraws a request if it has not started, and replies whether the request
// never runs. A request that has not arrived yet is recorded as withdrawn.
func (c *control) handleWithdraw(p link.Peer, id uint64) {
	key := jobID{sender: p.Identity().Incarnation, id: id}
	notRun := c.withdrawJob(key)
	link.SendSoon(p, &message.Withdrawn{ID: id, NotRun: notRun}, minFinalFrameTime)
}

func (c *control) withdrawJob(key jobID) bool {
	if notRun, known := c.settled.get(key); known {
		return notRun
	}
	j := c.jobs[key]
	if j == nil {
		c.settled.add(time.Now(), key, true)
		return true
	}
	if !j.tryWithdraw() {
		return false
	}
	c.settled.add(time.Now(), key, true)
	c.removeWaiting(j)
	return true
}

// removeWaiting removes j if it is still in the queue. An admitted job, which may be
// claiming its key, ends in its own goroutine.
func (c *control) removeWaiting(j *job) {
	if c.admission.Remove(c.agent.now(), j.admissionID) {
		c.removeJob(j)
		j.cancel()
	}
}

// cancelJob withdraws a job that no caller waits for or, if the job has started, cancels its
// run. A non-idempotent run continues to its end.
func (c *control) cancelJob(j *job) {
	if j.tryWithdraw() {
		c.settled.add(time.Now(), j.key, true)
		c.removeWaiting(j)
		return
	}
	j.cancelCaller()
	if j.interruptible() {
		j.cancel()
	}
}
