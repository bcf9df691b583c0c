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

// counter is the rest of a process behind the follower's handler.
type counter struct {
	mu       sync.Mutex
	up, beat int
}

func (c *counter) Up(link.Peer) { c.mu.Lock(); c.up++; c.mu.Unlock() }

func (c *counter) Message(link.Peer, message.Message) { c.mu.Lock(); c.beat++; c.mu.Unlock() }

func (c *counter) Down(link.Peer, error) { c.mu.Lock(); c.up--; c.mu.Unlock() }

// process is a follower with real links on loopback.
func process(t *testing.T, role message.Role, name string, store *objectstore.Memory) (*Follower, *link.Node, *counter) {
	t.Helper()
	id := message.Identity{Role: role, Name: name, AvailabilityZone: "z", Incarnation: 1}
	rest := &counter{}
	f := New(Options{Identity: id, Store: store, Apply: func(*config.Index) {}, Report: func(r config.Report) { t.Error(r) }})
	node, err := link.New(link.Config{Identity: id, Key: []byte("sixteen-bytes-or-more")}, f.Wrap(rest))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = node.Close(t.Context()) })
	go f.Run(t.Context())
	return f, node, rest
}

// An agent that cannot reach the platform gets each revision over its link.
func TestRevisionArrivesOverALink(t *testing.T) {
	store, down := objectstore.New(), objectstore.New()
	down.SetFaults(objectstore.Faults{Down: true})
	entry, entryNode, _ := process(t, message.RoleEntry, "entry-1", store)
	assert.NilError(t, entryNode.Listen("127.0.0.1:0"))
	agent, agentNode, rest := process(t, message.RoleAgent, "agent-1", down)
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
	rest.mu.Lock()
	defer rest.mu.Unlock()
	assert.Equal(t, rest.up, 1)
	assert.Equal(t, rest.beat, 0) // the configuration's messages stay with the follower
}
