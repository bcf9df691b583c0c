package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// shortGrace is gracePeriodS at the start of the processes. The operator raises it to gracePeriod.
	shortGrace = 4 * time.Second
	// The streams have 40 events, one in 120 ms, the longest pause of the sheet: 4.8 s.
	streamEvents  = 40
	eventInterval = 120 * time.Millisecond
	// streamClients is the number of clients of each gateway. Each sends one request after the other.
	streamClients = 16
	// lateSend is how long after SIGTERM requests are excused that a server works on for longer.
	lateSend = 3 * time.Second
)

// run is the work of a server on a request.
type run struct{ begun, ended time.Time }

// streamServer is a model server without a group. It sends the events of its streams in time.
type streamServer struct {
	id string
	ln net.Listener
	w  *world

	mu   sync.Mutex
	runs map[string]run
}

func (w *world) startStreamServer(id string) (*streamServer, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &streamServer{id: id, ln: ln, w: w, runs: map[string]run{}}
	go func() { _ = http.Serve(ln, s) }() // until the process ends
	return s, nil
}

func (s *streamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if r.Header.Get("Expected-Instance") != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.record(id, run{begun: time.Now()})
	s.w.note("server %s runs %s", s.id, id)
	defer func() {
		s.record(id, run{ended: time.Now()})
		s.w.note("server %s ends %s", s.id, id)
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", s.id+"."+id)
	for n := 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: a piece\n\n", n); err != nil || r.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
		if n < streamEvents {
			time.Sleep(eventInterval)
		}
	}
}

func (s *streamServer) record(id string, r run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.runs[id]
	if r.begun.IsZero() {
		r.begun = old.begun
	}
	s.runs[id] = r
}

// request is a request of a client and what came of it.
type request struct {
	id string
	// sent is when its last byte was sent.
	sent, ended time.Time
	status      string
	whole       bool
	events      int
}

// streamClient sends requests on kept connections until its gateway accepts no connection any more.
func streamClient(w *world, k int, front string, done func() bool, report func(request)) {
	for n := 0; !done(); {
		c, err := net.Dial("tcp4", front)
		if err != nil {
			return
		}
		br := bufio.NewReader(c)
		for open := true; open && !done(); n++ {
			r := request{id: fmt.Sprintf("s%02d-%03d", k, n)}
			_, err := fmt.Fprintf(c, "POST /route-summary/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: 8000\r\nAuthorization: Bearer key-of-haulier\r\nContent-Length: 5\r\n\r\nhello", r.id)
			r.sent = time.Now()
			if err != nil {
				break
			}
			open = r.read(br)
			r.ended = time.Now()
			report(r)
			if !r.whole && r.status == "" {
				break
			}
			if r.status != "200" {
				time.Sleep(100 * time.Millisecond)
			}
		}
		_ = c.Close()
	}
}

// read reads the answer and reports whether the connection stays open.
func (r *request) read(br *bufio.Reader) (open bool) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	r.status = fmt.Sprint(resp.StatusCode)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			r.events++
		}
	}
	r.whole = lines.Err() == nil
	return r.whole && !resp.Close
}

// longerGrace plays rule LOST: the operator raises gracePeriodS, and a gateway is stopped later.
func longerGrace(w *world) (bool, error) {
	storeAddr, err := w.store.listen(nil)
	if err != nil {
		return false, err
	}
	config := deskConfig(0)
	config["routes"] = []any{map[string]any{
		"name": "route-summary", "host": "desk.example", "pathPrefix": "/route-summary/", "kind": "streaming", "service": "notice-drafter",
		"timeoutMs": 8000, "targetLatencyMs": 400, "targetGapMs": 120, "maxAttempts": 2, "priority": 1,
	}}
	config["services"] = []any{map[string]any{"name": "notice-drafter", "connectionLimit": 278}}
	w.store.put("config", "main", config)
	zones := []string{"sk-a", "sk-b", "sk-c"}
	var servers []*streamServer
	for i, zone := range zones {
		s, err := w.startStreamServer(fmt.Sprintf("drafter-%d", i))
		if err != nil {
			return false, err
		}
		w.store.put("servers", s.id, map[string]any{
			"service": "notice-drafter", "address": s.ln.Addr().String(), "zone": zone, "version": "v1", "concurrencySlots": 12,
			"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		servers = append(servers, s)
	}
	var gateways []*gateway
	for _, zone := range zones {
		g, err := w.startGateway("edge-"+zone+"-1", zone, storeAddr, shortGrace)
		if err != nil {
			return false, err
		}
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var requests []request // of the gateway that is stopped
	stop := false
	done := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return stop
	}
	var clients sync.WaitGroup
	for k := range streamClients * len(gateways) {
		clients.Go(func() {
			time.Sleep(time.Duration(k) * 100 * time.Millisecond)
			streamClient(w, k, gateways[k%len(gateways)].front, done, func(r request) {
				w.note("client: %s, sent at %.3f: status %q, %d events, whole %v", r.id, r.sent.Sub(w.begun).Seconds(), r.status, r.events, r.whole)
				mu.Lock()
				defer mu.Unlock()
				if k%len(gateways) == 0 {
					requests = append(requests, r)
				}
			})
		})
	}
	time.Sleep(6 * time.Second)
	grace := shortGrace
	if w.trouble {
		grace = gracePeriod
		if err := gateways[0].reload(grace); err != nil {
			return false, err
		}
		w.note("the settings of %s have gracePeriodS %v now; SIGHUP", gateways[0].name, grace.Seconds())
		time.Sleep(time.Second)
		log, err := os.ReadFile(gateways[0].log)
		if err != nil || !bytes.Contains(log, []byte("event=reloaded")) {
			return false, fmt.Errorf("%s has not reloaded its settings", gateways[0].name)
		}
		w.note("%s has logged that it has reloaded its settings", gateways[0].name)
	}
	time.Sleep(6 * time.Second)
	signalled := time.Now()
	w.note("SIGTERM to %s, SIGKILL after gracePeriodS, %v s", gateways[0].name, grace.Seconds())
	killed := gateways[0].stop(grace)
	w.note("%s ended %.3f s after SIGTERM, killed: %v", gateways[0].name, time.Since(signalled).Seconds(), killed)
	time.Sleep(time.Second)
	mu.Lock()
	stop = true
	mu.Unlock()
	clients.Wait()

	whole, refused, excused, lost := 0, 0, 0, 0
	runs := map[string]run{}
	for _, s := range servers {
		s.mu.Lock()
		for id, r := range s.runs {
			runs[id] = r
		}
		s.mu.Unlock()
	}
	for _, r := range requests {
		work, ran := runs[r.id]
		switch {
		case r.whole && r.status == "200" && r.events == streamEvents:
			whole++
		case r.whole && r.status == "503":
			refused++
		case r.whole || r.ended.Before(signalled):
			w.note("%s: another answer, or an end before SIGTERM", r.id)
		case !ran:
			w.note("%s ended without an answer, not passed on", r.id)
		case r.sent.Sub(signalled) <= lateSend && work.ended.After(signalled.Add(grace*5/6)):
			excused++ // the server was still at work in the last sixth of gracePeriodS
		default:
			lost++
			w.note("lost: %s, sent %.3f s after SIGTERM, broke off %.3f s after it, after %d events", r.id, r.sent.Sub(signalled).Seconds(), r.ended.Sub(signalled).Seconds(), r.events)
		}
	}
	w.note("requests to %s: %d answered, %d refused, %d excused, %d lost", gateways[0].name, whole, refused, excused, lost)
	if whole == 0 {
		return false, fmt.Errorf("no request was answered")
	}
	return lost > 0, nil
}
