package capacity

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/standin/plain"
)

var (
	slopes = flag.Bool("slopes", false, "measure all sizes and print the table")
	window = flag.Duration("window", 8*time.Second, "length of one measurement with -slopes")
)

const (
	settleTime      = 4 * time.Second
	smokeSettleTime = 200 * time.Millisecond
	smokeWindow     = 3 * time.Second // longer than the period of zone reports
)

// sample is the measured cost of one daemon in one run. framesOut, outKB, inKB and
// platformReads are per second; startupKB is what the daemon sent until it was settled.
type sample struct {
	size                     float64
	cpuPercent               float64 // percent of a core
	memoryMB                 float64
	framesOut, outKB, inKB   float64
	platformReads, startupKB float64
}

// durations returns the settling time and the measuring time.
func durations() (settle, measure time.Duration) {
	if *slopes {
		return settleTime, *window
	}
	return smokeSettleTime, smokeWindow
}

// measure waits for the settling time and then measures the daemon for the measuring time.
func measure(d *daemon, p *platform, peers []*peer, size int) sample {
	settle, length := durations()
	time.Sleep(settle)
	cpu, before, reads, start := d.cpuTime(), sumTraffic(peers), p.reads(), time.Now()
	time.Sleep(length)
	seconds := time.Since(start).Seconds()
	after := sumTraffic(peers)
	return sample{
		size:          float64(size),
		cpuPercent:    (d.cpuTime() - cpu).Seconds() / seconds * 100,
		memoryMB:      d.memoryMB(),
		framesOut:     (after.framesIn - before.framesIn) / seconds,
		outKB:         (after.bytesIn - before.bytesIn) / seconds / 1e3,
		inKB:          (after.bytesOut - before.bytesOut) / seconds / 1e3,
		platformReads: (p.reads() - reads) / seconds,
		startupKB:     before.bytesIn / 1e3,
	}
}

// waitLinked waits until every peer is linked.
func waitLinked(t *testing.T, peers []*peer) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, p := range peers {
			if p.link.Load() == nil {
				return poll.Continue("a peer is not linked")
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

// measureEntry measures an entry that is linked to agents and to entries, local of which are
// in its availability zone.
func measureEntry(t *testing.T, agents, entries, local, size int) sample {
	t.Helper()
	var s sample
	t.Run(fmt.Sprintf("entry-%d-agents-%d-entries", agents, entries), func(t *testing.T) {
		p := startPlatform(t)
		addr := freeAddr(t)
		d := startDaemon(t, "gentiantrail-entry", fmt.Sprintf("name: zone-0-entry-99\navailability_zone: %s\n"+
			"listen: %s\nlink_address: %s\nplatform_address: %s\n", localZone, freeAddr(t), addr, p.addr))
		peers := append(newFakeAgents(t, agents, addr), newFakeEntries(t, entries, local, addr)...)
		waitLinked(t, peers)
		s = measure(d, p, peers, size)
	})
	return s
}

// measureAgent measures an agent that is linked to entries.
func measureAgent(t *testing.T, entries int) sample {
	t.Helper()
	var s sample
	t.Run(fmt.Sprintf("agent-%d-entries", entries), func(t *testing.T) {
		p := startPlatform(t)
		target := serve(t, plain.New().Handle)
		peers := make([]*peer, entries)
		text := "entries:\n"
		for i := range peers {
			peers[i] = newPeer(t, entryIdentity(0, i), "", nil)
			text += "- " + peers[i].node.Addr() + "\n"
		}
		d := startDaemon(t, "gentiantrail-agent", fmt.Sprintf("name: %s\navailability_zone: %s\npool: %s\n"+
			"target_address: %s\nplatform_address: %s\n%s", agentName(0, 0), localZone, poolName(0), target, p.addr, text))
		waitLinked(t, peers)
		s = measure(d, p, peers, entries)
	})
	return s
}

// TestSlopes measures the cost of control traffic in a daemon over the number of its peers.
func TestSlopes(t *testing.T) {
	if !*slopes {
		s := measureEntry(t, 3, 2, 1, 3)
		assert.Assert(t, s.inKB > 0 && s.outKB > 0 && s.memoryMB > 0, "%+v", s)
		s = measureAgent(t, 2)
		assert.Assert(t, s.outKB > 0 && s.memoryMB > 0, "%+v", s)
		return
	}
	var byAgents, byEntries, byRemote, agent []sample
	for _, n := range []int{25, 50, 100} {
		byAgents = append(byAgents, measureEntry(t, n, 1, 0, n))
	}
	for _, n := range []int{6, 12, 24} {
		byRemote = append(byRemote, measureEntry(t, pools, n, 0, n))
		byEntries = append(byEntries, measureEntry(t, pools, n, n, n))
	}
	for _, n := range []int{10, 25, 50} {
		agent = append(agent, measureAgent(t, n))
	}
	printReport("entry, over linked agents (one remote entry)", byAgents)
	printReport("entry, over entries of other availability zones (24 agents)", byRemote)
	printReport("entry, over entries of its own availability zone (24 agents)", byEntries)
	printReport("agent, over linked entries", agent)
	idle := measureEntry(t, 0, 0, 0, 0)
	printReport("entry without peers", []sample{idle})
	full := measureEntry(t, agentsPerZone, entriesPerZone-1+remoteEntries, entriesPerZone-1, 1)
	printReport("entry at the target's size: 86 agents, 49 entries of its own availability zone, 18 of others", []sample{full})
}

const (
	// entriesPerZone is the number of entries of an availability zone: 350 in 7 zones.
	entriesPerZone = 50
	// remoteEntries is the number of linked entries of other availability zones: three in each
	// of six.
	remoteEntries = 18
)

// heartbeatSize returns the encoded size of a heartbeat in bytes.
func heartbeatSize(t *testing.T) int {
	t.Helper()
	raw, err := message.Encode(&message.Heartbeat{Seq: 1 << 20, Load: sampleLoad(1 << 20), ConfigRevision: 1 << 16})
	assert.NilError(t, err)
	return len(raw)
}

// TestMessageSizes checks the encoded sizes of the periodic messages: a heartbeat has at most
// 100 bytes, and a zone report with the names of all targets at most 5000.
func TestMessageSizes(t *testing.T) {
	raw, err := message.Encode(fullReport(0, 1<<20))
	assert.NilError(t, err)
	unnamed := fullReport(0, 1<<20)
	for i := range unnamed.Pools {
		unnamed.Pools[i].Agents = nil
	}
	short, err := message.Encode(unnamed)
	assert.NilError(t, err)
	heartbeat := heartbeatSize(t)
	t.Logf("heartbeat %d B; zone report of %d pools %d B with the names of %d targets, %d B without",
		heartbeat, pools, len(raw), agentsPerZone, len(short))
	assert.Assert(t, heartbeat <= 100)
	assert.Assert(t, len(raw) <= 5000)
}
