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

// spreadZones is the number of availability zones of TestRestartStorm.
const spreadZones = 3

// fleet is a number of real entries in three availability zones.
type fleet struct {
	t        *testing.T
	platform *platform
	perZone  int
	links    []string
	daemons  []*daemon
}

// TestRestartStorm starts entries of three availability zones, restarts one zone's at
// once, and prints how links to other zones spread and what the platform is asked.
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
	for range spreadZones * perZone {
		f.links = append(f.links, freeAddr(t))
	}
	f.daemons = make([]*daemon, len(f.links))
	for i := range f.links {
		f.start(i)
	}
	f.awaitLinked()
	time.Sleep(settleTime)
	for _, d := range f.daemons[:perZone] {
		d.kill()
	}
	reads, start := f.platform.reads(), time.Now()
	for i := range perZone {
		f.start(i)
	}
	f.awaitLinked()
	linked := time.Since(start)
	time.Sleep(settleTime - min(linked, settleTime))
	reads = f.platform.reads() - reads
	total, most := 0, 0
	for i := range f.daemons {
		_, remote := f.linksOf(i)
		total, most = total+remote, max(most, remote)
	}
	fmt.Printf("%d | %.1f, %d | %.2f | %.0f\n", perZone, float64(total)/float64(len(f.daemons)), most, linked.Seconds(), reads)
}

// start runs entry i; its seeds are the first two entries of each availability zone.
func (f *fleet) start(i int) {
	zone := i / f.perZone
	text := fmt.Sprintf("name: zone-%d-entry-%02d\navailability_zone: zone-%d\nlisten: %s\nlink_address: %s\nplatform_address: %s\npeers:\n",
		zone, i%f.perZone, zone, freeAddr(f.t), f.links[i], f.platform.addr)
	for z := range spreadZones {
		text += fmt.Sprintf("- %s\n- %s\n", f.links[z*f.perZone], f.links[z*f.perZone+1])
	}
	f.daemons[i] = startDaemon(f.t, "gentiantrail-entry", text)
}

// linksOf returns the linked entries of entry i in its own and in other availability zones.
func (f *fleet) linksOf(i int) (own, remote int) {
	resp, err := http.Get("http://" + f.daemons[i].admin + "/debug/state")
	assert.NilError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var s entry.State
	assert.NilError(f.t, json.NewDecoder(resp.Body).Decode(&s))
	for _, p := range s.Peers {
		switch {
		case !p.Linked:
		case p.AvailabilityZone == s.AvailabilityZone:
			own++
		default:
			remote++
		}
	}
	return own, remote
}

// awaitLinked waits until every entry is linked to its whole zone and to every other.
func (f *fleet) awaitLinked() {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for i := range f.daemons {
			own, remote := f.linksOf(i)
			if own < f.perZone-1 || remote < spreadZones-1 {
				return poll.Continue("entry %d has %d links in its zone, %d to others", i, own, remote)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}
