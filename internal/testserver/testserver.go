// Package testserver provides servers for tests that answer with given bytes.
package testserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Answering returns the address of a server that answers each call with the same bytes and closes the
// connection. It ends with the test.
func Answering(t testing.TB, answer string) (addr string) {
	return Serving(t, func(c *net.TCPConn) {
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			_, _ = io.WriteString(c, answer)
		}
	})
}

// Resetting returns the address of a server that answers each call with the same bytes once a part of it has
// arrived, and resets the connection. It ends with the test.
func Resetting(t testing.TB, answer string) (addr string) {
	return Serving(t, func(c *net.TCPConn) {
		if _, err := c.Read(make([]byte, 1<<10)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
		_ = c.SetLinger(0)
	})
}

// Serving returns the address of a server that calls handle for each connection, on a goroutine of its own, and
// closes the connection afterwards. It ends with the test.
func Serving(t testing.TB, handle func(c *net.TCPConn)) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}
