package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestStoppedAgentRefusesUntilItsLinksClose sends a request and a withdrawal to an agent whose
// last request has ended: until its links are closed they must be answered, or their callers
// are told that the request may have run.
func TestStoppedAgentRefusesUntilItsLinksClose(t *testing.T) {
	h := newHarness(t, 4)
	h.agent.Stop()
	<-h.agent.Done()
	h.request(1, "/free", nil)
	assert.Equal(t, h.finalKind(1), apierr.KindDraining)
	assert.Assert(t, h.withdraw(h.entry, 2), "a request that never arrived was not withdrawn")
	assert.Equal(t, h.target.runCount("/free"), 0)
}

// TestStoppedAgentTellsNewLinksThatItLeaves links an entry to an agent whose last request has
// ended: the entry must not take it for one that accepts requests.
func TestStoppedAgentTellsNewLinksThatItLeaves(t *testing.T) {
	h := newHarness(t, 4)
	h.agent.Stop()
	<-h.agent.Done()
	h.mu.Lock()
	h.frames = nil
	h.mu.Unlock()
	h.link(2)
	h.wait(func() bool {
		for _, m := range h.frames {
			if hb, ok := m.(*message.Heartbeat); ok {
				return hb.Leaving
			}
		}
		return false
	})
}
