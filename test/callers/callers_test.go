//go:build callers

package callers

import (
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// knownFields are the fields of a request with a key.
const knownFields = "Host: callers.example\r\nAttempt-Id: key-1-0\r\nAuthorization: Bearer key-1\r\n"

// origin is the path and the fields that requests of one kind share.
type origin struct{ name, path, fields string }

var served = origin{"served", "/once/x", knownFields}

// origins are where bodies are sent.
var origins = []origin{
	served,
	{"no route", "/none/x", knownFields},
	{"no key", "/once/x", "Host: callers.example\r\n"},
}

// post returns the head of a request with a body.
func (o origin) post(framing string) string {
	return "POST " + o.path + " HTTP/1.1\r\n" + o.fields + framing + "\r\n\r\n"
}

func (o origin) postLength(n int) string { return o.post("Content-Length: " + strconv.Itoa(n)) }

func (o origin) postChunked() string { return o.post("Transfer-Encoding: chunked") }

// write sends text in pieces of the size and reports whether all was sent.
func write(c net.Conn, text string, size int) bool {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

// repeat sends text again and again, in writes of some KiB, up to the number of bytes.
func repeat(c net.Conn, text string, total int) bool {
	block := strings.Repeat(text, 1+8<<10/len(text))
	for sent := 0; sent < total; sent += len(block) {
		if !write(c, block, len(block)) {
			return false
		}
	}
	return true
}

// TestBodies guards against a process that bodies of many callers at once drive out of memory.
func TestBodies(t *testing.T) {
	whole := strings.Repeat("x", bodyLimit)
	const chunk = 4 << 10
	rows := map[string]func(o origin, c net.Conn){
		"whole": func(o origin, c net.Conn) {
			for range 4 {
				if !write(c, o.postLength(bodyLimit)+whole, bodyLimit) {
					return
				}
			}
		},
		"one byte short":  func(o origin, c net.Conn) { write(c, o.postLength(bodyLimit)+whole[1:], bodyLimit) },
		"in small pieces": func(o origin, c net.Conn) { write(c, o.postLength(bodyLimit)+whole[1:], 512) },
		"chunked without end": func(o origin, c net.Conn) {
			_ = write(c, o.postChunked(), chunk) && repeat(c, "1000\r\n"+whole[:chunk]+"\r\n", bodyLimit-2*chunk)
		},
		"chunks of one byte": func(o origin, c net.Conn) {
			_ = write(c, o.postChunked(), chunk) && repeat(c, "1\r\nx\r\n", bodyLimit*5)
		},
		"length over the limit": func(o origin, c net.Conn) {
			_ = write(c, o.postLength(1<<30), chunk) && repeat(c, whole, 8<<20)
		},
		"chunks over the limit": func(o origin, c net.Conn) {
			_ = write(c, o.postChunked(), chunk) && repeat(c, "1000\r\n"+whole[:chunk]+"\r\n", 8<<20)
		},
		"one huge chunk": func(o origin, c net.Conn) {
			_ = write(c, o.postChunked()+"3ffff\r\n", chunk) && write(c, whole[2:], bodyLimit)
		},
		"chunk extensions": func(o origin, c net.Conn) {
			_ = write(c, o.postChunked(), chunk) && repeat(c, "1;"+whole[:240]+"\r\nx\r\n", 1<<20)
		},
		"trailer fields": func(o origin, c net.Conn) {
			_ = write(c, o.postChunked()+"0\r\n", chunk) && repeat(c, "a:\r\n", 1<<20)
		},
		"stopped in the body": func(o origin, c net.Conn) { write(c, o.postLength(bodyLimit)+whole[:bodyLimit/2], bodyLimit) },
	}
	for name, row := range rows {
		for _, o := range origins {
			t.Run(name+"/"+o.name, func(t *testing.T) {
				tb := newTestbed(t)
				tb.abuse(tb.listenAddr, crowd, func(c net.Conn) { row(o, c) })
				tb.check()
			})
		}
	}
}

// TestRequests guards against a process that other requests of many callers drive out of memory.
func TestRequests(t *testing.T) {
	get := "GET /once/x HTTP/1.1\r\n" + knownFields + "\r\n"
	long := "GET /once/" + strings.Repeat("x", 12<<10) + " HTTP/1.1\r\n" + knownFields + "\r\n"
	fields := "GET /once/x HTTP/1.1\r\n" + knownFields + strings.Repeat("a:\r\n", 3900) + "\r\n"
	for name, row := range map[string]func(c net.Conn){
		"many short fields": func(c net.Conn) { repeat(c, fields, 256<<10) },
		"pipelined":         func(c net.Conn) { repeat(c, get, 1<<20) },
		"answers not read":  func(c net.Conn) { repeat(c, long, 1<<20) },
		"one answer not read": func(c net.Conn) {
			write(c, long, len(long))
		},
		"bytes without a head": func(c net.Conn) { repeat(c, "x", 1<<20) },
		"slow head": func(c net.Conn) {
			for _, b := range []byte(fields) {
				if _, err := c.Write([]byte{b}); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		},
		"stopped in the head": func(c net.Conn) { write(c, fields[:15<<10], 15<<10) },
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t)
			tb.abuse(tb.listenAddr, crowd, row)
			tb.check()
		})
	}
}

// TestConnections guards against a process that runs out of descriptors.
func TestConnections(t *testing.T) {
	for name, text := range map[string]string{"idle": "", "stopped in the head": "GET /once/x HTTP/1.1\r\n"} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t)
			tb.abuse(tb.listenAddr, maxDescriptors+200, func(c net.Conn) { write(c, text, 1<<10) })
			tb.check()
		})
	}
}

// TestOtherAddresses guards against a process that floods of the readiness and admin addresses
// bring down.
func TestOtherAddresses(t *testing.T) {
	const head = " HTTP/1.1\r\nHost: x\r\n"
	admin := func(tb *testbed) string { return tb.adminAddr }
	ready := func(tb *testbed) string { return tb.readyAddr }
	for name, row := range map[string]struct {
		addr    func(*testbed) string
		text    string
		callers int
	}{
		"ready":        {ready, "GET /readyz" + head + "\r\n", crowd},
		"ready bodies": {ready, "POST /readyz" + head + "Content-Length: 4095\r\n\r\n" + strings.Repeat("x", 4095), crowd},
		"ready idle":   {ready, "", maxDescriptors + 200},
		"metrics":      {admin, "GET /metrics" + head + "\r\n", crowd},
		"dump":         {admin, "GET /debug/state" + head + "\r\n", crowd},
		"admin idle":   {admin, "", maxDescriptors + 200},
	} {
		t.Run(name, func(t *testing.T) {
			tb := newTestbed(t)
			tb.abuse(row.addr(tb), row.callers, func(c net.Conn) {
				if row.text != "" {
					repeat(c, row.text, 1<<20)
				}
			})
			tb.check()
		})
	}
}
