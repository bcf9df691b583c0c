package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"gotest.tools/v3/assert"
)

// stopAndClose stops the gateway and closes its sockets, as its program does. The channel is closed after that; the
// test does not end before.
func (gw *testGateway) stopAndClose() <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		gw.g.Stop(context.Background())
		_ = gw.g.server.engine.Stop(context.Background())
	}()
	gw.t.Cleanup(func() { <-closed })
	return closed
}

// waitForEnd waits until the gateway refuses all requests.
func (gw *testGateway) waitForEnd() {
	gw.t.Helper()
	gw.waitUntil("the stop is at its end", gw.ending)
}

// ending reports whether the gateway refuses all requests.
func (gw *testGateway) ending() bool {
	gw.g.server.gate.Lock()
	defer gw.g.server.gate.Unlock()
	return gw.g.server.ending
}

// expectRefusal sends a request and requires that it is refused as not run.
func expectRefusal(t *testing.T, name string, c net.Conn) {
	t.Helper()
	_, err := io.WriteString(c, strings.Join(get("/safe/"), "\r\n")+"\r\n\r\n")
	assert.NilError(t, err, name)
	expectRefused(t, name, c)
}

// expectRefused requires that the request that was sent is refused as not run.
func expectRefused(t *testing.T, name string, c net.Conn) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err, name)
	assert.Equal(t, resp.StatusCode, 503, name)
	assert.Check(t, resp.Close, name)
}

// keepOpen connects a caller, and keeps its idle connection from being closed before the end of a stop.
func (gw *testGateway) keepOpen() (net.Conn, *callerConn) {
	gw.t.Helper()
	c := gw.write("")
	gw.waitUntil("the connection is open", func() bool { return len(gw.connections()) == 1 })
	cc := gw.connections()[0]
	cc.waiting.Store(&wait{since: time.Now().Add(time.Hour)})
	return c, cc
}

// TestRequestOnItsWayAtTheEndOfAStopIsRefused guards against a connection that is closed under a request of a caller
// who has just connected, or whose last answer has just ended.
func TestRequestOnItsWayAtTheEndOfAStopIsRefused(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	gw.stopAndClose()
	time.Sleep(stopIdleTime)
	c, _ := gw.keepOpen()
	gw.waitForEnd()
	time.Sleep(requestTime / 5)
	expectRefusal(t, "the caller who connected before the end", c)
}

// TestRequestThatABusyLoopHasNotReadAtTheEndOfAStopIsRefused guards against requests that are reset unread, since the
// event loop was busy when its stop was asked for.
func TestRequestThatABusyLoopHasNotReadAtTheEndOfAStopIsRefused(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	gw.stopAndClose()
	time.Sleep(stopIdleTime)
	kept, cc := gw.keepOpen()
	busy, sent := make(chan struct{}), make(chan struct{})
	assert.NilError(t, cc.conn.Wake(func(gnet.Conn, error) error {
		close(busy)
		<-sent
		for !gw.ending() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(requestTime + 200*time.Millisecond)
		return nil
	}))
	<-busy
	fresh := gw.write("")
	request := strings.Join(get("/safe/"), "\r\n") + "\r\n\r\n"
	for _, c := range []net.Conn{kept, fresh} {
		_, err := io.WriteString(c, request)
		assert.NilError(t, err)
	}
	close(sent)
	expectRefused(t, "a kept connection", kept)
	expectRefused(t, "a connection that was not accepted yet", fresh)
}

// TestEndOfAnAnswerOnAKeptConnectionArrivesInAStop guards against the end of an answer that is reset with its idle
// connection, while its caller reads it slowly.
func TestEndOfAnAnswerOnAKeptConnectionArrivesInAStop(t *testing.T) {
	const events, size = 12, 60 << 10
	gw := newTestGateway(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Sign", "signed")
		for id := 1; id <= events; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", size))
		}
	}).waitReady()
	closed := gw.stopAndClose()
	c := gw.write("")
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err := io.WriteString(c, strings.Join(get("/stream/"), "\r\n")+"\r\n\r\n")
	assert.NilError(t, err)
	select {
	case <-closed:
	case <-time.After(stopIdleTime + 2*sweepInterval + requestTime):
	}
	_, err = io.WriteString(c, strings.Join(get("/safe/"), "\r\n")+"\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Check(t, !resp.Close)
	n, err := io.Copy(io.Discard, resp.Body)
	assert.Check(t, err, "%d of about %d bytes have arrived", n, events*size)
}

// TestStopThatLeavesAPartOfARequestIsNotWhole guards against an exit code that hides a request which was cut off
// before all of it had arrived.
func TestStopThatLeavesAPartOfARequestIsNotWhole(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	gw.g.opts.Settings.Limits.StopTimeout = 1200 * time.Millisecond
	gw.write(post("/safe/", 1000) + "abc")
	gw.waitUntil("a part has been read", func() bool { return gw.held() > 0 })
	assert.Check(t, !gw.g.Stop(t.Context()))
	_, found := gw.logs.find("event=stop-ends", "requests=0", "connections=1")
	assert.Check(t, found)
}

// TestHeadsAfterTheEndOfAStopAreRefused guards against requests that are handled at the end of a stop since their
// head alone determines the answer, and callers who are asked for a body that nobody reads.
func TestHeadsAfterTheEndOfAStopAreRefused(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	gw.g.server.end()
	for _, head := range []string{post("/nowhere/", 1000), post("/safe/", 1000, "Expect: 100-continue")} {
		status, _ := readAnswer(t, bufio.NewReader(gw.write(head)))
		assert.Equal(t, status, 503)
	}
}
