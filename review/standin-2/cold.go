package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case: a plain service whose servers may turn cold, in front of two gateways.
const (
	lookupService = "lookup"
	lookupHost    = "lookup.example"
	serverHost    = "127.0.2.1"
	coldPerSecond = 28
	// coldBound is coldPerS x coldOvershoot + coldSlack, the bound of the rule.
	coldBound = coldPerSecond*3/2 + 5
	coldTime  = 3 * time.Second
	// crashRate is a rate well above the one that a cold server tolerates.
	crashRate   = 2 * coldPerSecond
	lookupSlots = 12
	lookupWork  = 60 * time.Millisecond
	beatPeriod  = 1200 * time.Millisecond
	// lookupInterval is the time between two requests to one gateway: 125 a second in all.
	lookupInterval = 16 * time.Millisecond
	// killDelay is the time from when the server turns cold to the kill of a gateway.
	killDelay = 400 * time.Millisecond
	// coldRestart is the pause after which the platform starts a killed gateway again.
	coldRestart = 300 * time.Millisecond
)

// coldServer is a plain server that counts the requests that it gets while it is cold.
type coldServer struct {
	rec  *recorder
	id   string
	addr string

	mu sync.Mutex
	// coldFrom is when the server turned cold; zero while it is warm.
	coldFrom time.Time
	arrivals []time.Time
	running  int
	// most is the highest number of requests in one second while the server was cold.
	most    int
	crashed bool
	cut     int
	crash   chan struct{}
}

func (s *coldServer) turnCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldFrom, s.arrivals = time.Now(), nil
	s.rec.printf("server %s turns cold", s.id)
}

// coldRemaining returns how much longer the server stays cold.
func (s *coldServer) coldRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coldFrom.IsZero() {
		return 0
	}
	return max(0, coldTime-time.Since(s.coldFrom))
}

// arrive counts a request and reports whether the server takes it, or has crashed.
func (s *coldServer) arrive(attempt string) (taken, crashed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return false, true
	}
	now := time.Now()
	if !s.coldFrom.IsZero() && now.Sub(s.coldFrom) < coldTime {
		s.arrivals = append(s.arrivals, now)
		in := 0
		for _, at := range s.arrivals {
			if now.Sub(at) < time.Second {
				in++
			}
		}
		s.most = max(s.most, in)
		s.rec.printf("server %s gets request %s while it is cold, the %dth within a second", s.id, attempt, in)
		if in == coldBound+1 {
			s.rec.printf("BROKEN: FAILBACK: the cold server gets more than %d requests in one second", coldBound)
		}
		if in > crashRate {
			s.crashed = true
			s.cut = s.running
			s.rec.printf("server %s crashes with %d requests", s.id, s.running)
			close(s.crash)
			return false, true
		}
	}
	if s.running >= lookupSlots {
		return false, false
	}
	s.running++
	return true, false
}

// ServeHTTP implements http.Handler.
func (s *coldServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Identifier", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	taken, crashed := s.arrive(attempt)
	if crashed {
		panic(http.ErrAbortHandler)
	}
	if !taken {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-s.crash:
		panic(http.ErrAbortHandler)
	case <-time.After(lookupWork):
	}
	s.mu.Lock()
	s.running--
	running := s.running
	s.mu.Unlock()
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running, lookupSlots))
	w.Header().Set("Response-Signature", "sig."+attempt)
	s.rec.detail("server %s has run %s", s.id, attempt)
	_, _ = io.WriteString(w, "status of "+r.URL.Path)
}

// beat writes the server's entry to the store in each period. The entry says how long the server stays cold.
func (s *coldServer) beat(st *store, beats chan<- time.Time, stop <-chan struct{}) {
	ticker := time.NewTicker(beatPeriod)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		cold := s.coldRemaining().Milliseconds()
		st.put("servers", s.id, map[string]any{
			"service": lookupService, "address": s.addr, "zone": zone, "version": "v1", "concurrencySlots": lookupSlots,
			"state": "ready", "coldRemainingMs": cold, "sequence": sequence, "born": 1700000000000,
		})
		if cold > 0 {
			s.rec.printf("entry of %s says that it stays cold for %d ms", s.id, cold)
		}
		select {
		case beats <- time.Now():
		default:
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func lookupConfiguration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": lookupHost, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 4000, "targetLatencyMs": 300,
			"priority": 1, "service": lookupService, "maxAttempts": 2, "allowAnonymous": false,
		}},
		"services": []any{map[string]any{
			"name": lookupService, "healthCheckPath": "/health", "connectionLimit": 2000, "protocol": "h1", "tls": false,
			"coldStartS": coldTime.Seconds(), "coldPerS": float64(coldPerSecond),
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "accessKeys": []string{accessKey}, "priority": 1}},
	}
}

// lookups sends idempotent requests at a constant rate until stop is closed. A client that can't connect gives up.
type lookups struct {
	rec                   *recorder
	base                  string
	http                  *http.Client
	sent, served, refused *atomic.Int64
}

func (l *lookups) run(every time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			go l.one(n)
		}
	}
}

func (l *lookups) one(n int) {
	id := fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, n)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/status/%d", l.base, n), nil)
	if err != nil {
		panic(err)
	}
	req.Host = lookupHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Milliseconds", "4000")
	req.Header.Set("Authorization", "Bearer "+accessKey)
	l.sent.Add(1)
	l.rec.detail("client sends %s to %s", id, l.base)
	resp, err := l.http.Do(req)
	if err != nil {
		l.rec.printf("client: %s has no answer: %v", id, err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	l.rec.detail("client: %s is answered %d", id, resp.StatusCode)
	switch {
	case resp.StatusCode == http.StatusOK:
		l.served.Add(1)
	case resp.StatusCode == http.StatusServiceUnavailable:
		l.refused.Add(1)
	}
}

// coldCase checks that a cold server gets no more requests in one second than the bound. With trouble, one of two
// gateways is killed just after the server has turned cold, and started again.
func coldCase(targets, folder string, trouble bool, rec *recorder) (int, error) {
	gateways := []string{"127.0.1.1", "127.0.1.2"}
	free, err := freePorts(append([]string{storeHost, serverHost}, gateways...), 6)
	if err != nil {
		return exitNotRun, err
	}
	p := ports{front: free[0], ready: free[1], admin: free[2], peer: free[3], app: free[4], store: free[5]}
	st := newStore()
	st.put("config", "main", lookupConfiguration())
	if err := serve(fmt.Sprintf("%s:%d", storeHost, p.store), st); err != nil {
		return exitNotRun, err
	}
	s := &coldServer{rec: rec, id: "i-lookup", addr: fmt.Sprintf("%s:%d", serverHost, p.app), crash: make(chan struct{})}
	if err := serve(s.addr, s); err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	defer close(stop)
	beats := make(chan time.Time)
	go s.beat(st, beats, stop)
	d := &deployment{targets: targets, folder: folder, rec: rec}
	defer d.end()
	var programs []*program
	for i, host := range gateways {
		g, err := d.add(fmt.Sprintf("gateway-%d", i+1), "gentiantrail-gateway", gatewaySettings(fmt.Sprintf("edge-%d", i+1), host, p))
		if err != nil {
			return exitNotRun, err
		}
		programs = append(programs, g)
		if err := g.start(); err != nil {
			return exitNotRun, err
		}
	}
	time.Sleep(12 * time.Second) // both gateways have run for a while and know each other
	<-beats
	var sent, served, refused atomic.Int64
	for _, host := range gateways {
		l := &lookups{
			rec: rec, base: fmt.Sprintf("http://%s:%d", host, p.front), sent: &sent, served: &served, refused: &refused,
			http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		}
		go l.run(lookupInterval, stop)
	}
	// The gateways use their shares at the begin of each second from here on, and five periods of the entry are six
	// seconds.
	for range 5 {
		<-beats
	}
	rec.printf("requests so far: %d sent, %d served, %d refused", sent.Load(), served.Load(), refused.Load())
	if served.Load() == 0 {
		return exitNotRun, fmt.Errorf("no request was served")
	}
	rec.detailed.Store(true)
	s.turnCold()
	time.Sleep(killDelay)
	if trouble {
		go programs[0].killAndRestart(coldRestart)
	}
	time.Sleep(coldTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.printf("requests: %d sent, %d served, %d refused; the cold server got at most %d in one second, the bound is %d; %d were cut off by its crash",
		sent.Load(), served.Load(), refused.Load(), s.most, coldBound, s.cut)
	if s.most > coldBound {
		rec.printf("result: FAILBACK is broken")
		return exitBroken, nil
	}
	rec.printf("result: the bound was kept")
	return exitHeld, nil
}
