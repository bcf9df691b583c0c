package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/testserver"
)

// uploadBytes is more than the buffers of both sockets hold, so that the request is still being written
// when the target answers.
const uploadBytes = 12 << 20

// targetConn is a connection at a target whose request has begun to arrive.
type targetConn struct {
	*net.TCPConn
	request *bufio.Reader
}

// startEarlyTarget starts a target that calls serve for each connection once a part of a request has arrived,
// and closes the connection afterwards.
func startEarlyTarget(t *testing.T, serve func(c targetConn)) (addr string) {
	t.Helper()
	return testserver.Serving(t, func(c *net.TCPConn) {
		request := bufio.NewReader(c)
		if _, err := request.Peek(1); err == nil {
			serve(targetConn{c, request})
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

func send(c targetConn, answer string) { _, _ = io.WriteString(c, answer) }

func reset(c targetConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

const unframed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"

// Guards against a part of an answer that is taken for the whole: its target answers a request that is still
// being written, without a length, and resets the connection. The system may report the reset to the write
// only, and then the read gets the end of the connection.
func TestUnframedAnswerThatIsResetIsIncomplete(t *testing.T) {
	resetAfter := func(d time.Duration) func(targetConn) {
		return func(c targetConn) {
			send(c, unframed)
			time.Sleep(d)
			reset(c)
		}
	}
	for name, serve := range map[string]func(c targetConn){
		"at once":             resetAfter(0),
		"soon":                resetAfter(5 * time.Millisecond),
		"later":               resetAfter(50 * time.Millisecond),
		"closed while unread": func(c targetConn) { send(c, unframed) },
		"failure": func(c targetConn) {
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
	closeWrite := func(c targetConn) {
		send(c, unframed)
		_ = c.CloseWrite()
	}
	for name, serve := range map[string]func(c targetConn){
		"length, reset": func(c targetConn) {
			send(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\npart")
			time.Sleep(5 * time.Millisecond)
			reset(c)
		},
		"upload read, then closed": func(c targetConn) {
			if req, err := http.ReadRequest(c.request); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				send(c, unframed)
			}
		},
		"half closed, rest read": func(c targetConn) {
			closeWrite(c)
			_, _ = io.Copy(io.Discard, c)
		},
		"half closed, rest unread": func(c targetConn) {
			closeWrite(c)
			<-t.Context().Done()
		},
		"half closed, reset at once": func(c targetConn) {
			closeWrite(c)
			reset(c)
		},
		"half closed, reset later": func(c targetConn) {
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
	addr := startEarlyTarget(t, func(c targetConn) {
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
