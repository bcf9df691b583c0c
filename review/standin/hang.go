package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["hang"] = playHang }

const (
	hangTimeout = 1500 * time.Millisecond // timeoutMs of the routes
	hangGrace   = 500 * time.Millisecond  // CONFIG: "0.5 s after it"
	hangBudget  = 4 * time.Second         // what the clients wait
	hangRate    = 300                     // requests a second
	hangTime    = 45 * time.Second
	// brokenShare is the share of its answers that the faulty one of the two servers breaks off.
	brokenShare = 0.05
	brokenSpell = 5 * time.Second // for_s
)

// playHang plays the case of unfinished refusals: a server breaks off some of its answers.
func playHang(w *world) (bool, error) {
	w.store.put("config", "main", map[string]any{
		"version": 3, "tenants": []any{},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"services": []any{map[string]any{"name": "permit-desk", "healthCheckPath": "/health", "connectionLimit": 100}},
		"routes": []any{
			map[string]any{
				"name": "issue", "host": host, "pathPrefix": "/issue/", "kind": "non_idempotent", "timeoutMs": hangTimeout.Milliseconds(),
				"targetLatencyMs": 300, "priority": 1, "service": "permit-desk", "maxAttempts": 2, "allowAnonymous": true,
			},
			map[string]any{
				"name": "status", "host": host, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": hangTimeout.Milliseconds(),
				"targetLatencyMs": 300, "priority": 1, "service": "permit-desk", "maxAttempts": 2, "allowAnonymous": true,
			},
		},
	})
	for i, zone := range []string{"sk-a", "sk-b"} {
		s := &server{service: "permit-desk", zone: zone, addr: w.address(w.host(), "app"), slots: 4, id: "i-permit" + zone, serve: plainAnswer(60 * time.Millisecond)}
		if w.trouble() && i == 1 {
			s.broken = func() bool { return w.inSpell(brokenSpell) && rand.Float64() < brokenShare }
		}
		if err := w.startServer(s); err != nil {
			return false, err
		}
	}
	var gateways []*process
	for i, zone := range []string{"sk-a", "sk-b", "sk-a", "sk-b", "sk-a", "sk-b", "sk-a", "sk-b"} {
		p, err := w.startProcess("gateway", fmt.Sprintf("edge-%s-%d", zone, 1+i/2), w.host(), zone, nil)
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
	answers := hangTraffic(w, gateways)
	return judgeHang(w, answers), nil
}

func hangTraffic(w *world, gateways []*process) []answer {
	var mu sync.Mutex
	var answers []answer
	var clients sync.WaitGroup
	for end := time.Now().Add(hangTime); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / hangRate))
		q := request{id: newID(), method: "POST", path: "/issue/1", body: "permit", budget: hangBudget}
		if rand.Float64() < 0.3 {
			q = request{id: newID(), method: "GET", path: "/status/1", budget: hangBudget}
		}
		front := gateways[rand.IntN(len(gateways))].front()
		clients.Go(func() {
			a := send(front, q)
			w.logf("client %s %s %s: %s after %d ms", q.method, q.path, q.id, a.result(), a.took().Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	clients.Wait()
	return answers
}

// judgeHang applies CONFIG: some requests last longer than their route's timeoutMs, and eight or more
// of them, and over a quarter, have no final answer half a second after it.
func judgeHang(w *world, answers []answer) bool {
	late, unanswered, ok := 0, 0, 0
	for i := range answers {
		a := &answers[i]
		if a.status == 200 && a.err == nil {
			ok++
		}
		if a.took() <= hangTimeout {
			continue
		}
		late++
		if a.took() > hangTimeout+hangGrace {
			unanswered++
		}
	}
	w.logf("%d requests, %d answered with 200; unanswered at the time-out: %d, half a second later: %d", len(answers), ok, late, unanswered)
	return unanswered >= 8 && 4*unanswered > late
}
