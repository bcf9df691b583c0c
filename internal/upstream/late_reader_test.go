package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// TestTargetMayReadALongBodyLate guards against a call that is ended because its target, whose machine
// acknowledges all that it has room for, does not read the rest of a long body for a while.
func TestTargetMayReadALongBodyLate(t *testing.T) {
	for _, size := range []int{256 << 10, 1 << 20, 8 << 20} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = ln.Close() }()
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			time.Sleep(2 * userTimeout)
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			if n, err := io.Copy(io.Discard, r.Body); err == nil {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: a\r\nT-Read: %d\r\nContent-Length: 0\r\n\r\n", n)
			}
		}()
		answer, failure := New(HeaderNames{Attempt: "T-Id", NotExecuted: "T-Not-Run"}).Do(t.Context(), Call{
			Addr: ln.Addr().String(), Attempt: "a",
			Request: &http1.Request{
				Method: "POST", Target: "/", Header: http1.Header{{Name: "Host", Value: "h"}}, Body: make([]byte, size), HasBody: true,
			},
		})
		if assert.Check(t, failure == nil, "%d bytes: %v", size, failure) {
			assert.Equal(t, answer.Header.Get("T-Read"), fmt.Sprint(size))
			answer.Abort()
		}
	}
}
