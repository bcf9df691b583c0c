package group_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/group"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
	"github.com/gentiantrail/gentiantrail/internal/standin/ranks"
)

const (
	groupSize   = 4
	waitTimeout = 60 * time.Second
)

var shape = rebalance.Shape{Ranks: groupSize, Layers: 2, Experts: 8, SlotsPerRank: 4}

// member is one rank's agent.
type member struct {
	driver  *group.Driver
	handler link.Handler
	id      message.Identity
	stop    context.CancelFunc
}

// cluster is a group whose agents are connected by in-memory links.
type cluster struct {
	t       *testing.T
	store   *objectstore.Memory
	ranks   *ranks.Group
	engines []string

	mu      sync.Mutex
	members map[string]*member
	next    uint64
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, store: objectstore.New(), members: make(map[string]*member)}
	c.ranks = ranks.New(ranks.Config{
		Shape: shape, ChecksFencing: true,
		StepTime: time.Millisecond, LoadTime: 40 * time.Millisecond, DriftTime: 5 * time.Second,
	})
	stop := make(chan struct{})
	go c.ranks.Run(stop)
	t.Cleanup(func() { close(stop) })
	for i := range groupSize {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = fasthttp.Serve(ln, c.ranks.Handler(i)) }()
		t.Cleanup(func() { _ = ln.Close() })
		c.engines = append(c.engines, ln.Addr().String())
	}
	return c
}

// start runs a new agent for a rank; the agent's name is also its address.
func (c *cluster) start(rank int) *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	name := fmt.Sprintf("agent-%d-%d", rank, c.next)
	m := &member{id: message.Identity{Role: message.RoleAgent, Name: name, Address: name, Incarnation: c.next}}
	m.driver = group.New(group.Options{
		Group: "g", Rank: rank,
		Identity: m.id, Store: c.store, Engine: group.NewHTTPEngine(c.engines[rank]),
		Dial:   func(addr string) { go c.connect(m, addr) },
		Logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
	})
	m.handler = m.driver.Wrap(nil)
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	c.t.Cleanup(cancel)
	c.members[name] = m
	go m.driver.Run(ctx)
	m.driver.Configure(group.Config{
		Shape: shape, ChecksFencing: true,
		ExpertSize: 1 << 20, WeightRate: 1 << 30, RebalanceInterval: time.Second,
	})
	return m
}

// connect links two agents unless the agent at addr has been stopped.
func (c *cluster) connect(from *member, addr string) {
	c.mu.Lock()
	to := c.members[addr]
	c.mu.Unlock()
	if to == nil || to == from {
		return
	}
	var a, b *linktest.Peer
	a = linktest.NewPeer(to.id, func(m message.Message) error { to.handler.Message(b, m); return nil })
	b = linktest.NewPeer(from.id, func(m message.Message) error { from.handler.Message(a, m); return nil })
	from.handler.Up(a)
	to.handler.Up(b)
}

// kill stops an agent, which then no longer handles messages.
func (c *cluster) kill(m *member) {
	c.mu.Lock()
	delete(c.members, m.id.Name)
	c.mu.Unlock()
	m.stop()
}

func (c *cluster) wait(what string, done func(r ranks.Record) bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		r := c.record()
		if r.Mixed > 0 {
			return poll.Error(fmt.Errorf("%d steps with mixed maps", r.Mixed))
		}
		if done(r) {
			return poll.Success()
		}
		return poll.Continue("%s: %+v", what, r)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
}

func (c *cluster) record() ranks.Record { return c.ranks.Record() }

// TestGroupChangesItsMapThroughRestarts checks that a group changes its map,
// continues to run steps after an engine's restart, and changes its map again after
// the coordinator's agent was replaced, without any step that mixes maps.
func TestGroupChangesItsMapThroughRestarts(t *testing.T) {
	c := newCluster(t)
	for i := range groupSize {
		c.start(i)
	}
	c.wait("the first steps", func(r ranks.Record) bool { return r.Steps > 20 })
	c.wait("a change", func(r ranks.Record) bool { return r.Changes >= 1 })

	c.ranks.Restart(2)
	stepsBefore := c.record().Steps
	c.wait("steps after an engine's restart", func(r ranks.Record) bool { return r.Steps > stepsBefore+20 })

	c.replaceCoordinator()
	c.wait("a coordinator after the replacement of the last one", func(ranks.Record) bool { return c.coordinator() != nil })
	changes := c.record().Changes
	c.wait("a change by the new coordinator", func(r ranks.Record) bool { return r.Changes > changes })
}

// coordinator returns the agent whose coordinator is idle, or nil if there is none.
func (c *cluster) coordinator() *member {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if s := m.driver.State(); s.Coordinator && s.Phase == "idle" {
			return m
		}
	}
	return nil
}

func (c *cluster) replaceCoordinator() {
	c.t.Helper()
	c.wait("a coordinator", func(ranks.Record) bool { return c.coordinator() != nil })
	old := c.coordinator()
	rank := old.driver.State().Rank
	c.kill(old)
	c.start(rank)
}
