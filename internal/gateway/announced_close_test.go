package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnswerArrivesWhenItsCallerGoesOnSending guards against the end of an answer that is lost since its connection
// is closed, as the answer has announced, while the caller sends further requests.
func TestAnswerArrivesWhenItsCallerGoesOnSending(t *testing.T) {
	const size = 4 << 20
	body := strings.Repeat("x", size)
	gw := newTestGateway(t, respond(200, body)).waitReady()
	c, err := net.Dial("tcp4", gw.addr)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(16<<10))
	_, err = io.WriteString(c, strings.Join(get("/safe/", "Connection: close"), "\r\n")+"\r\n\r\n")
	assert.NilError(t, err)
	gw.waitForRequest()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for range 3000 { // until the connection is closed
			if _, err := io.WriteString(c, "\r\n"); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(100 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	n, err := io.Copy(io.Discard, slowReader{resp.Body})
	assert.Check(t, err, "%d of %d bytes have arrived", n, size)
	_ = c.Close()
	<-sent
}

// slowReader reads as fast as 64 MB/s.
type slowReader struct{ io.Reader }

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 64<<10)])
}
