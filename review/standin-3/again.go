package main

import (
	"fmt"
	"time"
)

const (
	// coldPerS is cold_per_s of the service notice-drafter in the site file, and coldTime its cold_s. The bound is
	// coldPerS x coldOvershoot + coldSlack.
	coldPerS  = 28
	coldTime  = 3 * time.Second
	coldBound = coldPerS*1.5 + 5
	// downTime is shorter than a cold_return of the site file (2 s and more).
	downTime = 350 * time.Millisecond
	// registerTime is how long after the start of one server the next one is in the store.
	registerTime = 20 * time.Millisecond
)

// startedAgain plays rule FAILBACK: the servers of a zone crash, and start again, cold, under their identifiers.
func startedAgain(w *world) (bool, error) {
	storeAddr, err := w.store.listen(nil)
	if err != nil {
		return false, err
	}
	w.store.put("config", "main", deskConfig(coldPerS))
	zones := []string{"sk-a", "sk-b", "sk-c"}
	var servers []*plainServer
	for i, zone := range []string{"sk-a", "sk-b", "sk-c", "sk-c"} {
		s, err := w.startPlainServer(fmt.Sprintf("desk-%d", i), 5*time.Millisecond)
		if err != nil {
			return false, err
		}
		w.store.put("servers", s.id, s.entry(zone, 0))
		servers = append(servers, s)
	}
	var gateways []*gateway
	for _, zone := range zones {
		g, err := w.startGateway("edge-"+zone+"-1", zone, storeAddr, gracePeriod)
		if err != nil {
			return false, err
		}
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(3 * time.Second)
	load := w.startLoad(gateways)
	time.Sleep(5 * time.Second)

	var returning []*coldServer
	for _, s := range servers[2:] {
		returning = append(returning, &coldServer{plainServer: s, load: load})
	}
	if w.trouble {
		w.note("the servers of zone sk-c crash")
		for _, s := range returning {
			s.crash()
		}
	}
	time.Sleep(downTime)
	for _, s := range returning {
		s.watch()
		if w.trouble {
			if err := s.startAgain(); err != nil {
				return false, err
			}
		}
	}
	for _, s := range returning {
		if w.trouble {
			w.store.put("servers", s.id, s.entry("sk-c", int(coldTime.Milliseconds())))
			w.note("server %s has started again; it is cold for %v", s.id, coldTime)
		}
		time.Sleep(registerTime)
	}
	time.Sleep(coldTime)
	load.end()
	w.note("%s", load)
	broken := false
	for _, s := range returning {
		more, err := s.broken()
		if err != nil {
			return false, err
		}
		broken = broken || more
	}
	return broken, nil
}
