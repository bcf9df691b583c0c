package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is one server of a service: PROTOCOL.md, "Servers".
type server struct {
	w       *world
	service string
	zone    string
	addr    string
	slots   int
	// serve answers a request that the server runs.
	serve func(s *server, c *call)
	// broken decides whether an answer is broken off: half of its body is sent, and then nothing
	// more on an open connection.
	broken func() bool

	mu      sync.Mutex
	ln      net.Listener
	conns   map[net.Conn]bool
	id      string
	running int
	// extra are further fields of the entry in the store.
	extra map[string]any
	// onArrival is called with each request, before it is decided on.
	onArrival func(s *server, q *http.Request)
}

// call is a request that a server has received.
type call struct {
	*http.Request
	attempt string
	body    string
	conn    net.Conn
}

// startServer starts a server and enters it in the store.
func (w *world) startServer(s *server) error {
	ln, err := net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.w, s.ln, s.conns = w, ln, map[net.Conn]bool{}
	s.mu.Unlock()
	s.register()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.handle(conn)
		}
	}()
	return nil
}

// crash ends the server: its connections are reset, and new ones are refused.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.logf("server %s crashes with %d connections and %d requests", s.id, len(s.conns), s.running)
	_ = s.ln.Close()
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// register writes the server's entry.
func (s *server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "concurrencySlots": s.slots,
		"state": "ready", "coldRemainingMs": 0, "stage": "combined", "sequence": 1,
	}
	for k, v := range s.extra {
		entry[k] = v
	}
	s.w.store.put("servers", s.id, entry)
}

func (s *server) handle(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	br := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		c := &call{Request: q, attempt: q.Header.Get("Attempt-Id"), body: string(body), conn: conn}
		if !s.answer(c) {
			return
		}
	}
}

// answer answers a request and reports whether the connection goes on.
func (s *server) answer(c *call) bool {
	s.mu.Lock()
	id := s.id
	s.mu.Unlock()
	if s.onArrival != nil {
		s.onArrival(s, c.Request)
	}
	if want := c.Header.Get("Expected-Instance"); want != "" && want != id {
		return s.write(c, 421, "Instance-Identifier: "+id+"\r\n", "")
	}
	if c.attempt == "" {
		return s.write(c, 400, "Not-Executed: 1\r\n", "")
	}
	if !s.take() {
		s.w.logf("server %s refuses %s: full", id, c.attempt)
		return s.write(c, 503, "Not-Executed: 1\r\n", `{"error":"all slots are taken"}`)
	}
	defer s.release()
	s.w.logf("server %s runs %s", id, c.attempt)
	s.serve(s, c)
	return true
}

func (s *server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// write sends a whole answer with a length.
func (s *server) write(c *call, status int, fields, body string) bool {
	s.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.mu.Unlock()
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nAttempt-Id: " + c.attempt + "\r\n" + fields +
		"Server-Load: " + load + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if len(body) > 1 && s.broken != nil && s.broken() {
		s.w.logf("server %s breaks off its answer %d to %s", s.id, status, c.attempt)
		_, _ = io.WriteString(c.conn, head+body[:len(body)/2])
		_, _ = io.Copy(io.Discard, c.conn) // until the other side closes
		return false
	}
	_, err := io.WriteString(c.conn, head+body)
	return err == nil
}

// plainAnswer runs a request for a time and answers it with 800 bytes.
func plainAnswer(work time.Duration) func(s *server, c *call) {
	body := make([]byte, 800)
	for i := range body {
		body[i] = 'x'
	}
	return func(s *server, c *call) {
		time.Sleep(work)
		s.write(c, 200, "Response-Signature: r."+c.attempt+"\r\n", string(body))
	}
}
