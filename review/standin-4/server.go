package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// events is the number of events of a stream.
const events = 3

// arrival is a request that has reached a server.
type arrival struct {
	server, attempt string
	at              time.Time
	run             bool
}

// plainServer simulates a server of a plain service.
type plainServer struct {
	id, address string
	work        time.Duration
	server      http.Server
	arrivals    *arrivals
	// crashAt is the number of requests in a second at which the server crashes; zero means that it does not.
	crashAt int
	crashed atomic.Bool
	mu      sync.Mutex
	recent  []time.Time
}

// arrivals contains all requests that reached servers.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, x)
}

// list returns the arrivals so far.
func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.all...)
}

func startServer(id string, work time.Duration, a *arrivals) (*plainServer, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{id: id, address: ln.Addr().String(), work: work, arrivals: a}
	s.server.Handler = s
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// overloaded records a request and reports whether the server crashes on its rate.
func (s *plainServer) overloaded(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recent = append(s.recent, now)
	for now.Sub(s.recent[0]) >= time.Second {
		s.recent = s.recent[1:]
	}
	return s.crashAt > 0 && len(s.recent) >= s.crashAt
}

// stop ends the server with its connections.
func (s *plainServer) stop() { _ = s.server.Close() }

// entry is the entry that the server writes about itself.
func (s *plainServer) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": s.address, "zone": zone, "version": "v1", "concurrencySlots": 6, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Instance-Identifier", s.id)
	if r.URL.Path == "/health" {
		return
	}
	h.Set("Attempt-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		s.arrivals.add(arrival{server: s.id, attempt: id, at: time.Now()})
		return
	}
	s.arrivals.add(arrival{server: s.id, attempt: id, at: time.Now(), run: true})
	_, _ = io.Copy(io.Discard, r.Body)
	if s.overloaded(time.Now()) {
		s.crashed.Store(true)
		s.stop()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.work)
	h.Set("Response-Signature", "stand-in."+s.id)
	h.Set("Server-Load", "1,0,6")
	if r.Header.Get("Model") != "" {
		h.Set("Content-Type", "text/event-stream")
		for i := range events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i+1, i+1, id)
			_ = http.NewResponseController(w).Flush()
		}
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", s.id, id)
}
