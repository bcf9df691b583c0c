package configlink

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// countingHandler stands for the process behind the follower's handler; it counts links
// and messages.
type countingHandler struct {
	mu              sync.Mutex
	links, messages int
}

func (c *countingHandler) Up(link.Peer) { c.mu.Lock(); c.links++; c.mu.Unlock() }

func (c *countingHandler) Message(link.Peer, message.Message) {
	c.mu.Lock()
	c.messages++
	c.mu.Unlock()
}

func (c *countingHandler) Down(link.Peer, error) { c.mu.Lock(); c.links--; c.mu.Unlock() }

// startFollower returns a running follower with real links on loopback, its node, and the
// handler behind it.
func startFollower(t *testing.T, role message.Role, name string, store *objectstore.Memory) (*Follower, *link.Node, *countingHandler) {
	t.Helper()
	id := message.Identity{Role: role, Name: name, AvailabilityZone: "z", Incarnation: 1}
	counts := &countingHandler{}
	f := New(Options{Identity: id, Store: store, Apply: func(*config.Index) {}, Report: func(r config.Report) { t.Error(r) }})
	node, err := link.New(link.Config{Identity: id, Key: []byte("sixteen-bytes-or-more")}, f.Wrap(counts))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = node.Close(t.Context()) })
	go f.Run(t.Context())
	return f, node, counts
}

// An agent that cannot reach the platform gets each revision over its link.
func TestRevisionArrivesOverALink(t *testing.T) {
	store, down := objectstore.New(), objectstore.New()
	down.SetFaults(objectstore.Faults{Down: true})
	entry, entryNode, _ := startFollower(t, message.RoleEntry, "entry-1", store)
	assert.NilError(t, entryNode.Listen("127.0.0.1:0"))
	agent, agentNode, counts := startFollower(t, message.RoleAgent, "agent-1", down)
	agentNode.Dial(entryNode.Addr())
	p := &config.Publisher{Store: store}
	for n := range 3 {
		text := fmt.Sprintf("availability_zones:\n- name: z\n  region: r%d\n", n)
		result, err := p.Apply(t.Context(), config.Edit{Files: []config.File{{Name: "z.yaml", Content: []byte(text)}}})
		assert.NilError(t, err)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if agent.State().Revision == result.Revision {
				return poll.Success()
			}
			return poll.Continue("the agent has revision %d", agent.State().Revision)
		}, poll.WithTimeout(20*time.Second))
	}
	assert.Assert(t, entry.State().Watcher && !agent.State().Watcher)
	counts.mu.Lock()
	defer counts.mu.Unlock()
	assert.Equal(t, counts.links, 1)
	assert.Equal(t, counts.messages, 0) // the follower does not pass configuration messages on
}
