package main

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drainTime is drainMs of a small deployment, and stabilityWindow its stabilityWindowMs.
	drainTime       = 2 * time.Second
	stabilityWindow = 3 * time.Second
)

func init() { cases["lost-removal"] = lostRemoval }

// lostRemoval has two servers leave that never say that they are draining, six seconds apart. With the disruption, the
// store loses one answer: that to the watch of one gateway with the removal of the first server. The rule DRAIN is
// checked for the second one, whose removal the store acknowledges more than stabilityWindow later.
func lostRemoval(s *scene) (bool, error) {
	st := newStore(s.record)
	st.put("config", "main", smallConfig())
	var all arrivals
	servers := map[string]*plainServer{}
	for _, id := range []string{"i-a", "i-b", "i-c", "i-d"} {
		server, err := startServer(id, 60*time.Millisecond, &all)
		if err != nil {
			return false, err
		}
		defer server.stop()
		servers[id] = server
		st.put("servers", id, server.entry("records", "z1"))
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	var crowds []*clients
	for _, name := range []string{"edge-1", "edge-2", "edge-3"} {
		address, err := st.listen(name)
		if err != nil {
			return false, err
		}
		p, err := startGateway(s.root, s.dir, name, "z1", address)
		if err != nil {
			return false, err
		}
		s.processes = append(s.processes, p)
		if err := p.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		crowds = append(crowds, newClients(p, http.MethodGet, "records.example", "/lookup/1", s.record),
			newClients(p, http.MethodPost, "records.example", "/correct/1", s.record))
	}
	for _, c := range crowds {
		wg.Add(1)
		go c.run(40*time.Millisecond, done, &wg)
	}
	time.Sleep(5 * time.Second)

	if s.trouble {
		st.loseNext("edge-1", "servers")
	}
	s.record.linef("the entry of i-a is removed; it serves for drainMs and half a second more")
	st.put("servers", "i-a", nil)
	time.Sleep(drainTime + 500*time.Millisecond)
	servers["i-a"].stop()
	s.record.linef("i-a has ended")
	time.Sleep(stabilityWindow + 500*time.Millisecond)

	acknowledged := st.put("servers", "i-b", nil)
	s.record.linef("the entry of i-b is removed; it serves for drainMs and three seconds more")
	time.Sleep(drainTime + 3*time.Second)
	servers["i-b"].stop()
	s.record.linef("i-b has ended")
	time.Sleep(3 * time.Second)
	close(done)
	wg.Wait()

	broken, late := false, map[string]int{}
	var first, last time.Time
	for _, a := range all.list() {
		if a.server != "i-b" || !a.run || !a.at.After(acknowledged.Add(drainTime)) {
			continue
		}
		gateway := strings.Join(strings.SplitN(a.attempt, "-", 3)[:2], "-")
		late[gateway]++
		if !broken {
			first = a.at
		}
		last, broken = a.at, true
		s.record.linef("request %s reached i-b at %.3f s, %.3f s after the removal was acknowledged", a.attempt, s.record.at(a.at), a.at.Sub(acknowledged).Seconds())
	}
	for _, c := range crowds {
		s.record.linef("%s %s: answers by status %s", c.gateway.name, c.method, c.summary())
	}
	s.record.linef("answers of the store that were lost: %d", st.answersLost())
	if s.trouble && st.answersLost() == 0 {
		return false, errors.New("no answer of the store was lost")
	}
	if broken {
		s.record.linef("requests that reached i-b later than drainMs, by gateway: %v; from %.3f s to %.3f s after the acknowledgement",
			late, first.Sub(acknowledged).Seconds(), last.Sub(acknowledged).Seconds())
	}
	return broken, nil
}

// smallConfig returns a configuration with one plain service.
func smallConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-lookup", "host": "records.example", "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": 800,
			"targetLatencyMs": 100, "priority": 2, "service": "records", "maxAttempts": 2, "allowAnonymous": false,
		}, {
			"name": "r-correct", "host": "records.example", "pathPrefix": "/correct/", "kind": "non_idempotent", "timeoutMs": 800,
			"targetLatencyMs": 100, "priority": 2, "service": "records", "maxAttempts": 1, "allowAnonymous": false,
		}},
		"services": []map[string]any{{
			"name": "records", "healthCheckPath": "/health", "connectionLimit": 52, "protocol": "h1", "tls": false, "coldStartS": 0.0,
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{},
	}
}
