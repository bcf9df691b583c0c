package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

func init() { cases["blame"] = playBlame }

const (
	blameServers = 18
	blameCrashed = 3 // srv_crash, share 0.17
	blameRate    = 140
	blameBudget  = 8 * time.Second
	blameEvents  = 20
	blameGap     = 50 * time.Millisecond
	blameBefore  = 6 * time.Second
	blameDown    = 900 * time.Millisecond
	// blameCrashAt is the time of the crash after the machines are back.
	blameCrashAt = 250 * time.Millisecond
	blameCrash   = 4500 * time.Millisecond // for_s of the crash
	blameEntry   = 3600 * time.Millisecond // three heartbeat intervals, after which an entry is removed
	blameRecover = 12 * time.Second        // recoveryS
	blameAfter   = 15 * time.Second
	// blamePart is the part with which all prompts begin, for instance the instructions of the service.
	blamePart = "5c1e07a2"
)

// playBlame plays the case of a suspected prompt: all processes are killed, and some servers crash as they come back.
func playBlame(w *world) (bool, error) {
	w.store.put("config", "main", map[string]any{
		"version": 3, "tenants": []any{},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"services": []any{map[string]any{"name": "drafting-models", "healthCheckPath": "/health", "connectionLimit": 328}},
		"routes": []any{map[string]any{
			"name": "summary", "host": host, "pathPrefix": "/summary/", "kind": "streaming", "timeoutMs": blameBudget.Milliseconds(),
			"targetLatencyMs": 400, "targetGapMs": 120, "priority": 1, "service": "drafting-models", "maxAttempts": 2,
			"allowAnonymous": true, "sessionAffinity": true, "resumeStreams": true,
		}},
	})
	var servers []*server
	for i := range blameServers {
		s := &server{service: "drafting-models", zone: "pasig", addr: w.address(w.host(), "app"), slots: 12, id: "i-draft" + strconv.Itoa(i), serve: blameStream}
		if err := w.startServer(s); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	var gateways []*process
	for i := range 3 {
		p, err := w.startProcess("gateway", fmt.Sprintf("edge-pasig-%d", i+1), w.host(), "pasig", nil)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, p)
	}
	for _, p := range gateways {
		if !p.awaitReady(10 * time.Second) {
			return false, errors.New("a gateway is not ready")
		}
	}
	time.Sleep(3 * time.Second) // stabilityWindowMs
	t := newTraffic(w, gateways, blameRate, func() request {
		return request{id: newID(), method: "POST", path: "/summary/1", body: newID(), budget: blameBudget, headers: []string{
			"Model: m", "Token-Usage: 860,80", "Prompt-Prefix: " + blamePart + ":800," + newID() + ":60",
		}}
	})
	time.Sleep(blameBefore)
	first := time.Now()
	back := first
	if w.trouble() {
		var err error
		if back, err = disruptBlame(w, servers, gateways); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(back.Add(blameRecover + blameAfter)))
	return judgeRecover(w, t.end(), first, back.Add(blameRecover)), nil
}

// disruptBlame plays the disruptions and returns when the machines were back.
func disruptBlame(w *world, servers []*server, gateways []*process) (back time.Time, err error) {
	if w.mode != "crash" {
		w.logf("final fault: all processes are killed")
		var kills sync.WaitGroup
		for _, p := range gateways {
			kills.Go(p.kill)
		}
		kills.Wait()
		time.Sleep(blameDown)
		for _, p := range gateways {
			err = errors.Join(err, p.run())
		}
		w.logf("all processes are started again")
	}
	back = time.Now()
	if w.mode == "fault" {
		return back, err
	}
	time.Sleep(blameCrashAt)
	for _, s := range servers[:blameCrashed] {
		s.crash()
		old := s.id
		time.AfterFunc(blameEntry, func() { w.store.remove("servers", old) })
		time.AfterFunc(blameCrash, func() {
			s.mu.Lock()
			s.id += "b" // another lifetime
			s.mu.Unlock()
			if err := w.startServer(s); err != nil {
				w.logf("server %s can't start again: %v", s.id, err)
			}
		})
	}
	return back, err
}

// blameStream runs a request: the first event comes when the prompt is read.
func blameStream(s *server, c *call) {
	time.Sleep(350*time.Millisecond + rand.N(200*time.Millisecond))
	last := 0
	if text := c.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	_, err := io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+c.attempt+"\r\nResponse-Signature: r."+c.attempt+
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := last + 1; n <= blameEvents && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, c.attempt)
		_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(blameGap)
	}
	if err == nil {
		_, _ = io.WriteString(c.conn, "0\r\n\r\n")
	}
}
