package capacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/entry"
)

// fleetZones is the number of availability zones in TestRestartStorm.
const fleetZones = 3

// fleet is a number of entry processes in fleetZones availability zones.
type fleet struct {
	t         *testing.T
	platform  *platform
	perZone   int
	linkAddrs []string
	daemons   []*daemon
}

// TestRestartStorm starts entries in three availability zones and restarts all entries of one
// zone at the same time. It prints the distribution of links to other zones, the time until
// all are linked, and the number of reads from the platform.
func TestRestartStorm(t *testing.T) {
	if !*slopes {
		t.Skip("measures with -slopes")
	}
	fmt.Println("\n## restart of one of three availability zones, entries only")
	fmt.Println("entries a zone | links to other zones: mean, most | s until all linked | platform reads while restarting")
	for _, n := range []int{4, 8, 12} {
		t.Run(fmt.Sprintf("%d-entries-per-zone", n), func(t *testing.T) { measureStorm(t, n) })
	}
}

func measureStorm(t *testing.T, perZone int) {
	f := &fleet{t: t, platform: startPlatform(t), perZone: perZone}
	for range fleetZones * perZone {
		f.linkAddrs = append(f.linkAddrs, freeAddr(t))
	}
	f.daemons = make([]*daemon, len(f.linkAddrs))
	for i := range f.linkAddrs {
		f.startEntry(i)
	}
	f.awaitLinked()
	time.Sleep(settleTime)
	for _, d := range f.daemons[:perZone] {
		d.kill()
	}
	reads, start := f.platform.reads(), time.Now()
	for i := range perZone {
		f.startEntry(i)
	}
	f.awaitLinked()
	linked := time.Since(start)
	time.Sleep(settleTime - min(linked, settleTime))
	reads = f.platform.reads() - reads
	total, maxRemote := 0, 0
	for i := range f.daemons {
		_, remote := f.linksOf(i)
		total, maxRemote = total+remote, max(maxRemote, remote)
	}
	fmt.Printf("%d | %.1f, %d | %.2f | %.0f\n", perZone, float64(total)/float64(len(f.daemons)), maxRemote, linked.Seconds(), reads)
}

// startEntry starts entry i. Its configured peers are the first two entries of each
// availability zone.
func (f *fleet) startEntry(i int) {
	zone := i / f.perZone
	text := fmt.Sprintf("name: zone-%d-entry-%02d\navailability_zone: zone-%d\nlisten: %s\nlink_address: %s\nplatform_address: %s\npeers:\n",
		zone, i%f.perZone, zone, freeAddr(f.t), f.linkAddrs[i], f.platform.addr)
	for z := range fleetZones {
		text += fmt.Sprintf("- %s\n- %s\n", f.linkAddrs[z*f.perZone], f.linkAddrs[z*f.perZone+1])
	}
	f.daemons[i] = startDaemon(f.t, "gentiantrail-entry", text)
}

// linksOf returns the numbers of entries linked to entry i in its own and in other
// availability zones.
func (f *fleet) linksOf(i int) (local, remote int) {
	resp, err := http.Get("http://" + f.daemons[i].adminAddr + "/debug/state")
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var s entry.State
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&s))
	for _, p := range s.Peers {
		switch {
		case !p.Linked:
		case p.AvailabilityZone == s.AvailabilityZone:
			local++
		default:
			remote++
		}
	}
	return local, remote
}

// awaitLinked waits until every entry is linked to all entries of its zone and has at least
// as many links to entries of other zones as there are other zones.
func (f *fleet) awaitLinked() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for i := range f.daemons {
			local, remote := f.linksOf(i)
			if local < f.perZone-1 || remote < fleetZones-1 {
				return poll.Continue("entry %d has %d links in its zone, %d to others", i, local, remote)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}
