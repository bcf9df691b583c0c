package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// plainServer is a server of a plain service that speaks HTTP/1.1 with raw bytes.
type plainServer struct {
	id   string
	ln   net.Listener
	w    *world
	runs atomic.Int64
	// wrongEvery is the number of answers of which one has a wrong byte; zero means none.
	wrongEvery atomic.Int64
	work       time.Duration

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	// onArrival, if set, is called with the attempt id of each request that runs.
	onArrival func(id string)
}

func (w *world) startPlainServer(id string, work time.Duration) (*plainServer, error) {
	s := &plainServer{id: id, w: w, work: work, conns: map[net.Conn]struct{}{}}
	return s, s.listen("127.0.0.1:0")
}

func (s *plainServer) listen(addr string) error {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s.ln = ln
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// crash ends the server: its connections are reset, and its port has no listener.
func (s *plainServer) crash() {
	_ = s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// startAgain starts the server at its address, with its identifier.
func (s *plainServer) startAgain() error { return s.listen(s.addr()) }

func (s *plainServer) addr() string { return s.ln.Addr().String() }

func (s *plainServer) serve(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := c.Write(s.answer(r)); err != nil {
			return
		}
	}
}

// answer runs a request and returns the bytes of its answer.
func (s *plainServer) answer(r *http.Request) []byte {
	id := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expected-Instance"); want != s.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.w.note("server %s runs %s", s.id, id)
	if f := s.arrivalFunc(); f != nil {
		f(id)
	}
	n := s.runs.Add(1)
	time.Sleep(s.work)
	body := strings.Repeat("x", 800)
	raw := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: 1,0,6\r\nContent-Length: %d\r\n\r\n%s",
		id, s.id, id, len(body), body))
	if every := s.wrongEvery.Load(); every > 0 && n%every == 0 {
		raw[bytes.IndexByte(raw, 'O')] = '\n' // the first byte of the reason phrase
		s.w.note("server %s ran %s; the status line of its answer has a wrong byte: %q", s.id, id, raw[:bytes.IndexByte(raw, '\r')])
	}
	return raw
}

func (s *plainServer) arrivalFunc() func(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.onArrival
}

func (s *plainServer) setArrivalFunc(f func(id string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onArrival = f
}

// entry is the entry of a plain server in the store.
func (s *plainServer) entry(zone string, coldMs int) map[string]any {
	return map[string]any{
		"service": "permit-desk", "address": s.addr(), "zone": zone, "version": "v1", "concurrencySlots": 6,
		"state": "ready", "coldRemainingMs": coldMs, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

// deskConfig is a configuration with one route of each plain kind to the service permit-desk.
func deskConfig(coldPerS float64) map[string]any {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "desk.example", "pathPrefix": "/" + name + "/", "kind": kind, "service": "permit-desk",
			"timeoutMs": 4000, "targetLatencyMs": 300, "maxAttempts": attempts, "priority": 2,
		}
	}
	service := map[string]any{"name": "permit-desk", "connectionLimit": 100}
	if coldPerS > 0 {
		service["coldPerS"] = coldPerS
	}
	return map[string]any{
		"version":  7,
		"routes":   []any{route("permit-issue", "non_idempotent", 1), route("permit-status", "idempotent", 2)},
		"services": []any{service},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "haulier", "accessKeys": []string{"key-of-haulier"}}},
	}
}

// statusLine is the grammar of RFC 9112, section 4.
var statusLine = regexp.MustCompile(`^HTTP/1\.1 [0-9]{3} [\t \x21-\x7e\x80-\xff]*$`)

// call sends one request on a connection and reads what comes back. whole is false if the connection ends first or
// nothing comes in time.
func call(c net.Conn, br *bufio.Reader, id, path string) (head []byte, whole bool) {
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Milliseconds: 4000\r\nAuthorization: Bearer key-of-haulier\r\nContent-Length: 5\r\n\r\nhello", path, id)
	if err != nil {
		return nil, false
	}
	_ = c.SetReadDeadline(time.Now().Add(4500 * time.Millisecond))
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		b, err := br.ReadByte()
		if err != nil {
			return head, false
		}
		head = append(head, b)
	}
	length := 0
	for _, line := range strings.Split(string(head), "\r\n") {
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(v)
		}
	}
	_, err = io.CopyN(io.Discard, br, int64(length))
	return head, err == nil
}

// garbledStatusLine plays rule MIXED: servers hand out wrong bytes.
func garbledStatusLine(w *world) (bool, error) {
	storeAddr, err := w.store.listen(nil)
	if err != nil {
		return false, err
	}
	w.store.put("config", "main", deskConfig(0))
	var garbling *plainServer
	for i, zone := range []string{"sk-a", "sk-b", "sk-c"} {
		s, err := w.startPlainServer(fmt.Sprintf("desk-%d", i), 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		w.store.put("servers", s.id, s.entry(zone, 0))
		garbling = s
	}
	var fronts []string
	for _, zone := range []string{"sk-a", "sk-b", "sk-c"} {
		g, err := w.startGateway("edge-"+zone+"-1", zone, storeAddr, gracePeriod)
		if err != nil {
			return false, err
		}
		if err := g.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
		fronts = append(fronts, g.front)
	}
	time.Sleep(time.Second) // the gateways get to know each other
	begin := time.Now()
	if w.trouble {
		garbling.wrongEvery.Store(50) // x = 0.02 of the answers of one server of three
		w.note("server %s spoils one in 50 of its answers for 5.5 s", garbling.id)
		time.AfterFunc(5500*time.Millisecond, func() { garbling.wrongEvery.Store(0) })
	}
	var mu sync.Mutex
	sent, good, failed, malformed, unreadable := 0, 0, 0, 0, 0
	var clients sync.WaitGroup
	for k := range 12 {
		clients.Go(func() {
			c, err := net.Dial("tcp4", fronts[k%len(fronts)])
			if err != nil {
				return
			}
			br := bufio.NewReader(c)
			for n := 0; time.Since(begin) < 8*time.Second; n++ {
				id := fmt.Sprintf("a%02d-%05d", k, n)
				begun := time.Since(w.begun)
				head, whole := call(c, br, id, "/permit-issue/2f")
				line, _, _ := strings.Cut(string(head), "\r\n")
				w.note("client: %s sent at %.3f, got %q", id, begun.Seconds(), line)
				mu.Lock()
				sent++
				_, stdErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(append(head, make([]byte, 800)...))), nil)
				switch {
				case whole && !statusLine.MatchString(line):
					malformed++
					if stdErr != nil {
						unreadable++
					}
					w.note("client: %s got bytes that are no answer in the protocol: %q; net/http: %v", id, string(head), stdErr)
				case whole && strings.HasPrefix(line, "HTTP/1.1 200"):
					good++
				default:
					failed++
					w.note("client: %s failed; whole answer: %v", id, whole)
				}
				mu.Unlock()
				if !whole {
					_ = c.Close()
					if c, err = net.Dial("tcp4", fronts[k%len(fronts)]); err != nil {
						return
					}
					br = bufio.NewReader(c)
				}
				time.Sleep(20 * time.Millisecond)
			}
			_ = c.Close()
		})
	}
	clients.Wait()
	w.note("requests %d: answered with success %d, failed %d, bytes that are no answer %d (net/http can't read %d of them)", sent, good, failed, malformed, unreadable)
	if good == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return malformed > 0, nil
}
