package entry

import (
	"fmt"
	"io"
	"testing"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

const benchPools = 24

// BenchmarkPublish builds the view of an entry with agents in 24 pools and with peer
// entries in six other availability zones that report all pools.
func BenchmarkPublish(b *testing.B) {
	for _, size := range []struct{ agents, peers int }{{25, 0}, {50, 0}, {100, 0}, {0, 6}, {0, 12}, {0, 24}, {86, 18}} {
		b.Run(fmt.Sprintf("agents=%d/peers=%d", size.agents, size.peers), func(b *testing.B) {
			c := benchControl(size.agents, size.peers)
			b.ReportAllocs()
			for b.Loop() {
				c.publish()
			}
		})
	}
}

func benchControl(agents, peers int) *control {
	e := New(Options{
		Identity: message.Identity{Role: message.RoleEntry, Name: "entry", AvailabilityZone: testZone, Incarnation: 1},
		Dial:     func(string) {},
		Logger:   &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
		Metrics:  tally.NoopScope,
	})
	conf := &config.Config{Revision: 1}
	for i := range benchPools {
		conf.Pools = append(conf.Pools, config.Pool{Name: benchPool(i), Limit: 8})
	}
	c := e.control
	c.applyConfig(conf.Index())
	for i := range agents {
		id := message.Identity{
			Role: message.RoleAgent, Name: fmt.Sprintf("agent-%03d", i), AvailabilityZone: testZone,
			Incarnation: 1, Pool: benchPool(i % benchPools),
		}
		p := linktest.NewPeer(id, ignore)
		c.addAgentLink(p)
		c.updateLoad(p, warm)
	}
	for i := range peers {
		id := message.Identity{
			Role: message.RoleEntry, Name: fmt.Sprintf("peer-%03d", i),
			AvailabilityZone: fmt.Sprintf("other-%d", i%6), Incarnation: 1,
		}
		p := linktest.NewPeer(id, ignore)
		c.addPeerLink(p)
		c.updateZone(p, benchReport(i%6))
	}
	return c
}

func ignore(message.Message) error { return nil }

func benchPool(i int) string { return fmt.Sprintf("model-%02d", i) }

// benchReport returns the report of an availability zone with 86 targets.
func benchReport(zone int) *message.ZoneReport {
	r := &message.ZoneReport{ConfigRevision: 1}
	for i := range benchPools {
		p := message.PoolReport{Pool: benchPool(i), Load: warm}
		for a := i; a < 86; a += benchPools {
			p.Agents = append(p.Agents, fmt.Sprintf("zone-%d-target-%03d", zone, a))
		}
		r.Pools = append(r.Pools, p)
	}
	return r
}
