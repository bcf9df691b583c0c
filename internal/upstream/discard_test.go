package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against connections that are lost with each refusal, and against those that are kept for or
// held by a body that does not end in time or is too long.
func TestDiscardKeepsTheConnectionOnlyAfterAWholeBody(t *testing.T) {
	const timeout = 300 * time.Millisecond
	head := "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: 1\r\nContent-Length: 4\r\n\r\n"
	for name, c := range map[string]struct {
		parts []string
		kept  bool
	}{
		"at once":  {[]string{head + "full"}, true},
		"late":     {[]string{head, "fu", "ll"}, true},
		"partial":  {[]string{head, "fu"}, false},
		"extra":    {[]string{head, "fullextra"}, false},
		"too long": {[]string{"HTTP/1.1 503 Full\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\n123456789"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := startTarget(t)
			go func() {
				conn, err := f.ln.Accept()
				if err != nil {
					return
				}
				f.conns <- conn
				if skipRequest(bufio.NewReader(conn)) == nil {
					writeParts(conn, c.parts)
				}
			}()
			client := New(testNames)
			a, failure := client.Do(context.Background(), call(f, "1"))
			assert.Assert(t, failure == nil, failure)
			begin := time.Now()
			a.Discard(4, timeout)
			assert.Assert(t, time.Since(begin) < timeout/3, "Discard has waited")
			if c.kept {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if client.HasOpenIdle(f.ln.Addr().String()) {
						return poll.Success()
					}
					return poll.Continue("the connection is not kept")
				}, poll.WithDelay(5*time.Millisecond))
				return
			}
			conn := <-f.conns
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(3*timeout)))
			_, err := conn.Read(make([]byte, 1))
			netErr, isNet := err.(net.Error)
			assert.Assert(t, !isNet || !netErr.Timeout(), "the connection is still open")
		})
	}
}

// writeParts writes the parts of an answer with a short pause after each.
func writeParts(conn net.Conn, parts []string) {
	for _, p := range parts {
		if _, err := io.WriteString(conn, p); err != nil {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}
