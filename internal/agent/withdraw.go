package agent

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// withdraw answers whether a request can still be kept from running. A request
// that the agent does not know yet is withdrawn before it arrives.
func (c *control) withdraw(p link.Peer, id uint64) {
	key := jobID{sender: p.Identity().Incarnation, id: id}
	notRun := c.withdrawJob(key)
	_ = p.Send(&message.Withdrawn{ID: id, NotRun: notRun})
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
	if !j.withdraw() {
		return false
	}
	c.settled.add(time.Now(), key, true)
	c.removeWaiting(j)
	return true
}

// removeWaiting forgets j if it still waits; a claiming job ends by itself.
func (c *control) removeWaiting(j *job) {
	if c.admission.Remove(c.agent.now(), j.admitted) {
		c.forget(j)
		j.cancel()
	}
}

// abandon handles a job for whose answer nobody waits any more. A run that may
// not be repeated goes on to its end.
func (c *control) abandon(j *job) {
	if j.withdraw() {
		c.settled.add(time.Now(), j.key, true)
		c.removeWaiting(j)
		return
	}
	j.leave()
	if j.interruptible() {
		j.cancel()
	}
}
