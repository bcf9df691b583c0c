package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

func init() { cases["resume"] = playResume }

const (
	resumeAttempts = 2 // maxAttempts of the route
	resumeBudget   = 8 * time.Second
	resumeRate     = 75 // requests a second
	resumeTime     = 60 * time.Second
	resumeServers  = 5
	resumeEvents   = 13
	resumeGap      = 40 * time.Millisecond
	// The disruptions at their doses: garble on three of five servers, which break off 5% of their
	// streams, and answer_lost on three of five servers, which lose 30% of their answers.
	garbleShare = 0.05
	lostShare   = 0.3
	lossSpell   = 4 * time.Second // for_s of both
)

// runs notes at which servers each attempt of a client has run.
type runs struct {
	mu sync.Mutex
	at map[string]map[string]bool
}

func (r *runs) add(attempt, server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at[attempt] == nil {
		r.at[attempt] = map[string]bool{}
	}
	r.at[attempt][server] = true
}

// playResume plays the case of resumed streams: servers break off streams, and lose answers to requests that they ran.
func playResume(w *world) (bool, error) {
	w.store.put("config", "main", map[string]any{
		"version": 3, "tenants": []any{},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"services": []any{map[string]any{"name": "drafting-models", "healthCheckPath": "/health", "connectionLimit": 328}},
		"routes": []any{map[string]any{
			"name": "summary", "host": host, "pathPrefix": "/summary/", "kind": "streaming", "timeoutMs": resumeBudget.Milliseconds(),
			"targetLatencyMs": 400, "targetGapMs": 120, "priority": 1, "service": "drafting-models", "maxAttempts": resumeAttempts,
			"allowAnonymous": true, "sessionAffinity": true, "resumeStreams": true,
		}},
	})
	ran := &runs{at: map[string]map[string]bool{}}
	for i := range resumeServers {
		garbles, loses := w.trouble() && i < 3, w.trouble() && i >= 2
		s := &server{
			service: "drafting-models", zone: "pasig", addr: w.address(w.host(), "app"), slots: 12, id: "i-draft" + strconv.Itoa(i),
			serve: func(s *server, c *call) { stream(s, c, ran, garbles, loses) },
		}
		if err := w.startServer(s); err != nil {
			return false, err
		}
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
	var clients sync.WaitGroup
	for end := time.Now().Add(resumeTime); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / resumeRate))
		id, part := newID(), newID()
		q := request{id: id, method: "POST", path: "/summary/1", body: "draft", budget: resumeBudget, headers: []string{
			"Model: m", "Token-Usage: 60,80", "Prompt-Prefix: 5c1e07a2:40," + part + ":20",
		}}
		front := gateways[rand.IntN(len(gateways))].front()
		clients.Go(func() {
			a := send(front, q)
			w.logf("client %s %s %s: %s after %d ms", q.method, q.path, q.id, a.result(), a.took().Milliseconds())
		})
	}
	clients.Wait()
	return judgeResume(w, ran), nil
}

// stream runs a request: it sends resumeEvents events, or those after Last-Event-Id. A server that
// garbles breaks off some streams in the middle of an event. A server that loses answers runs some
// requests to their first token and closes their connections with a reset before it has sent
// anything.
func stream(s *server, c *call, ran *runs, garbles, loses bool) {
	time.Sleep(resumeGap)
	ran.add(c.attempt, s.id) // the first token
	if loses && s.w.inSpell(lossSpell) && rand.Float64() < lostShare {
		s.w.logf("server %s has run %s, and its answer is lost", s.id, c.attempt)
		time.Sleep(resumeGap)
		if tcp, ok := c.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.conn.Close()
		return
	}
	last := 0
	if text := c.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(text)
	}
	cut := -1
	if garbles && s.w.inSpell(lossSpell) && rand.Float64() < garbleShare {
		cut = last + 1 + rand.IntN(resumeEvents)
	}
	_, err := io.WriteString(c.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+c.attempt+"\r\nResponse-Signature: r."+c.attempt+
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := last + 1; n <= resumeEvents && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, c.attempt)
		if n == cut {
			s.w.logf("server %s breaks off %s in event %d", s.id, c.attempt, n)
			_, _ = fmt.Fprintf(c.conn, "%x\r\n%s", len(event), event[:len(event)/2])
			_ = c.conn.Close()
			return
		}
		_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(resumeGap)
	}
	_, _ = io.WriteString(c.conn, "0\r\n\r\n")
}

// judgeResume applies BUDGET: more than three requests of clients run, in one client attempt, on more
// servers than their route's maxAttempts. No server ends or is cut off in this case.
func judgeResume(w *world, ran *runs) bool {
	ran.mu.Lock()
	defer ran.mu.Unlock()
	over, most := 0, 0
	for attempt, servers := range ran.at {
		most = max(most, len(servers))
		if len(servers) > resumeAttempts {
			over++
			w.logf("attempt %s has run on %d servers: %v", attempt, len(servers), servers)
		}
	}
	w.logf("%d requests have run; on more than %d servers: %d; most servers of one request: %d", len(ran.at), resumeAttempts, over, most)
	return over > 3
}
