package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	linkKey = "only-for-measurements-on-loopback"
	// heartbeatInterval is the period of heartbeats in the daemons.
	heartbeatInterval = 500 * time.Millisecond
	// heartbeatsPerReport is the period of zone reports, in heartbeats.
	heartbeatsPerReport = 4
	localZone           = "zone-0"
)

// peer is a stand-in for a linked process. Every heartbeatInterval it sends the message that
// nextMessage returns, if any; it sends nothing else.
type peer struct {
	node        *link.Node
	nextMessage func(seq uint64) message.Message
	link        atomic.Pointer[link.Peer]
}

// Up implements link.Handler.
func (p *peer) Up(l link.Peer) { p.link.Store(&l) }

// Down implements link.Handler.
func (p *peer) Down(link.Peer, error) { p.link.Store(nil) }

// Message implements link.Handler.
func (p *peer) Message(link.Peer, message.Message) {}

// newPeer starts a peer that dials addr, or listens on a free port if addr is empty.
func newPeer(t *testing.T, id message.Identity, addr string, nextMessage func(uint64) message.Message) *peer {
	t.Helper()
	p := &peer{nextMessage: nextMessage}
	id.Incarnation = rand.Uint64()
	node, err := link.New(link.Config{Identity: id, Key: []byte(linkKey), EventLoops: 1}, p)
	assert.NilError(t, err)
	p.node = node
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		closeCtx, cancelClose := context.WithTimeout(context.Background(), time.Second)
		defer cancelClose()
		_ = node.Close(closeCtx)
	})
	if addr == "" {
		assert.NilError(t, node.Listen("127.0.0.1:0"))
	} else {
		node.Dial(addr)
	}
	if nextMessage != nil {
		go p.run(ctx)
	}
	return p
}

// run sends messages until ctx is done. The first is delayed by a random part of the
// interval.
func (p *peer) run(ctx context.Context) {
	time.Sleep(rand.N(heartbeatInterval))
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		if l := p.link.Load(); l != nil {
			if m := p.nextMessage(seq); m != nil {
				_ = (*l).Send(m)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// newFakeAgents links n stand-ins for agents, distributed over the pools, to the entry at addr.
func newFakeAgents(t *testing.T, n int, addr string) []*peer {
	t.Helper()
	list := make([]*peer, n)
	for i := range list {
		id := message.Identity{
			Role: message.RoleAgent, Name: agentName(0, i), AvailabilityZone: localZone, Pool: poolName(i % pools),
		}
		list[i] = newPeer(t, id, addr, func(seq uint64) message.Message {
			return &message.Heartbeat{Seq: seq, Load: sampleLoad(seq), ConfigRevision: 1}
		})
	}
	return list
}

// newFakeEntries links n stand-ins for entries to the entry at addr. The first local of them
// are in its availability zone. The others name the targets of their zones in the first
// report only.
func newFakeEntries(t *testing.T, n, local int, addr string) []*peer {
	t.Helper()
	list := make([]*peer, n)
	for i := range list {
		zone := 0
		if i >= local {
			zone = 1 + i%(zones-1)
		}
		namesSent := false
		list[i] = newPeer(t, entryIdentity(zone, i), addr, func(seq uint64) message.Message {
			switch {
			case zone != 0 && !namesSent:
				namesSent = true
				return fullReport(zone, seq)
			case seq%heartbeatsPerReport != 0:
				return nil
			case zone == 0:
				return &message.ZoneReport{ConfigRevision: 1}
			default:
				return shortReport(seq)
			}
		})
	}
	return list
}

func entryIdentity(zone, i int) message.Identity {
	return message.Identity{
		Role: message.RoleEntry, Name: fmt.Sprintf("zone-%d-entry-%02d", zone, i),
		AvailabilityZone: fmt.Sprintf("zone-%d", zone), Address: fmt.Sprintf("10.%d.0.%d:7000", zone, i),
	}
}

func agentName(zone, i int) string { return fmt.Sprintf("zone-%d-target-%03d", zone, i) }

// fullReport returns the report of an availability zone with the names of all its targets.
func fullReport(zone int, seq uint64) *message.ZoneReport {
	r := &message.ZoneReport{ConfigRevision: 1, Pools: make([]message.PoolReport, pools)}
	for i := range r.Pools {
		r.Pools[i] = message.PoolReport{Pool: poolName(i), Load: sampleLoad(seq)}
	}
	for i := range agentsPerZone {
		p := &r.Pools[i%pools]
		p.Agents = append(p.Agents, agentName(zone, i))
	}
	return r
}

// shortReport returns the report of an availability zone whose targets were named before.
func shortReport(seq uint64) *message.ZoneReport {
	r := &message.ZoneReport{ConfigRevision: 1, SameAgents: true, Pools: make([]message.PoolReport, pools)}
	for i := range r.Pools {
		r.Pools[i] = message.PoolReport{Pool: poolName(i), Load: sampleLoad(seq)}
	}
	return r
}

// sampleLoad returns a load report with values of typical size.
func sampleLoad(seq uint64) message.Load {
	return message.Load{
		State: message.TargetWarm, Running: int(seq % 50), Queued: int(seq % 7), Limit: 64, QueueLimit: 64,
		ServiceTime: 12_345_678 * time.Microsecond, WaitTime: 123_456 * time.Microsecond, Seq: seq,
	}
}

// traffic is the number of frames and payload bytes that peers received, and of bytes that
// they sent.
type traffic struct{ framesIn, bytesIn, bytesOut float64 }

func sumTraffic(peers []*peer) traffic {
	var total traffic
	for _, p := range peers {
		s := p.node.Stats()
		total.framesIn += float64(s.FramesIn)
		total.bytesIn += float64(s.BytesIn)
		total.bytesOut += float64(s.BytesOut)
	}
	return total
}
