package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/testserver"
)

// uploadBytes is more than the buffers of both sockets hold, so that the request is still being written
// when the target answers.
const uploadBytes = 12 << 20

// startEarlyTarget starts a target that calls serve for each connection once a part of a request has arrived,
// and closes the connection afterwards.
func startEarlyTarget(t *testing.T, serve func(c *net.TCPConn)) (addr string) {
	t.Helper()
	return testserver.Serving(t, func(c *net.TCPConn) {
		if _, err := c.Read(make([]byte, 1024)); err == nil {
			serve(c)
		}
	})
}

// startUpload makes a call with a large body.
func startUpload(t *testing.T, addr string) (*Answer, *Failure) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return New(testNames).Do(ctx, Call{
		Addr: addr, Attempt: "1",
		Request: &http1.Request{
			Method: "POST", Target: "/", Header: http1.Header{{Name: "Host", Value: "h"}}, Body: make([]byte, uploadBytes), HasBody: true,
		},
	})
}

// upload makes a call with a large body and returns the body of its answer.
func upload(t *testing.T, addr string) (string, error) {
	t.Helper()
	a, failure := startUpload(t, addr)
	if failure != nil {
		return "", failure
	}
	defer a.Abort()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func send(c net.Conn, answer string) { _, _ = io.WriteString(c, answer) }

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

const unframed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"

// Guards against a part of an answer that is taken for the whole: its target answers a request that is still
// being written, without a length, and resets the connection. The system may report the reset to the write
// only, and then the read gets the end of the connection.
func TestUnframedAnswerThatIsResetIsIncomplete(t *testing.T) {
	resetAfter := func(d time.Duration) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			send(c, unframed)
			time.Sleep(d)
			reset(c)
		}
	}
	for name, serve := range map[string]func(c *net.TCPConn){
		"at once":             resetAfter(0),
		"soon":                resetAfter(5 * time.Millisecond),
		"later":               resetAfter(50 * time.Millisecond),
		"closed while unread": func(c *net.TCPConn) { send(c, unframed) },
		"failure": func(c *net.TCPConn) {
			send(c, "HTTP/1.1 413 Too Large\r\nX-Id: 1\r\n\r\npart")
			reset(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startEarlyTarget(t, serve)
			complete := 0
			const calls = 10
			for range calls {
				if _, err := upload(t, addr); err == nil {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "%d of %d answers look complete", complete, calls)
		})
	}
}

// Guards against whole answers that are dropped because their request is still being written, or because the
// connection is reset after their end.
func TestWholeAnswerBesideAnUploadIsDelivered(t *testing.T) {
	closeWrite := func(c *net.TCPConn) {
		send(c, unframed)
		_ = c.CloseWrite()
	}
	for name, serve := range map[string]func(c *net.TCPConn){
		"length, reset": func(c *net.TCPConn) {
			send(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\npart")
			time.Sleep(5 * time.Millisecond)
			reset(c)
		},
		"upload read, then closed": func(c *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, c, uploadBytes-1024)
			_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, _ = io.Copy(io.Discard, c)
			send(c, unframed)
		},
		"half closed, rest read": func(c *net.TCPConn) {
			closeWrite(c)
			_, _ = io.Copy(io.Discard, c)
		},
		"half closed, rest unread": func(c *net.TCPConn) {
			closeWrite(c)
			<-t.Context().Done()
		},
		"half closed, reset at once": func(c *net.TCPConn) {
			closeWrite(c)
			reset(c)
		},
		"half closed, reset later": func(c *net.TCPConn) {
			closeWrite(c)
			time.Sleep(5 * time.Millisecond)
			reset(c)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := startEarlyTarget(t, serve)
			for range 10 {
				body, err := upload(t, addr)
				assert.NilError(t, err)
				assert.Equal(t, body, "part")
			}
		})
	}
}

// Guards against an error that ends a body being taken for its end.
func TestResetIsNoEndOfAStream(t *testing.T) {
	addr := startEarlyTarget(t, func(c *net.TCPConn) {
		send(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nid: 1\ndata: x\n\n")
		reset(c)
	})
	for range 10 {
		a, failure := startUpload(t, addr)
		if failure != nil {
			continue
		}
		events := NewEventReader(a.Body)
		_, err := events.Next()
		for err == nil {
			_, err = events.Next()
		}
		assert.Assert(t, !errors.Is(err, io.EOF), "the stream looks complete")
		a.Abort()
	}
}
