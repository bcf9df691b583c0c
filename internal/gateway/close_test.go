package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"gotest.tools/v3/assert"
)

// connections returns the open connections of callers.
func (gw *testGateway) connections() []*callerConn {
	gw.g.server.mu.Lock()
	defer gw.g.server.mu.Unlock()
	var all []*callerConn
	for cc := range gw.g.server.conns {
		all = append(all, cc)
	}
	return all
}

// TestRequestThatArrivesBeforeItsIdleConnectionIsClosedIsAnswered guards against an idle connection that is closed
// although a request has arrived on it, which the busy event loop has not read yet.
func TestRequestThatArrivesBeforeItsIdleConnectionIsClosedIsAnswered(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	gw.waitUntil("the connections of the check are closed", func() bool { return len(gw.connections()) == 0 })
	c := gw.write("")
	gw.waitUntil("the connection is open", func() bool { return len(gw.connections()) == 1 })
	cc := gw.connections()[0]
	cc.waiting.Store(&wait{since: time.Now().Add(-time.Hour)})
	assert.NilError(t, cc.conn.Wake(func(gnet.Conn, error) error {
		time.Sleep(sweepInterval + 100*time.Millisecond) // the loop is busy while the idle connection is found
		return nil
	}))
	time.Sleep(50 * time.Millisecond)
	_, err := io.WriteString(c, strings.Join(get("/safe/"), "\r\n")+"\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
}

// TestConnectionOfACallerThatComesLateInAStopStaysOpen guards against a connection that is closed as idle right after
// it has been accepted, so that the request that its caller sends then has no answer.
func TestConnectionOfACallerThatComesLateInAStopStaysOpen(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	go gw.g.Stop(t.Context())
	time.Sleep(admissionTime + 100*time.Millisecond)
	gw.waitUntil("the connections of the check are closed", func() bool { return len(gw.connections()) == 0 })
	c := gw.write("")
	gw.waitUntil("the connection is open", func() bool { return len(gw.connections()) == 1 })
	gw.g.server.OnTick()
	time.Sleep(50 * time.Millisecond) // the event loop closes what is overdue
	_, err := io.WriteString(c, strings.Join(get("/safe/"), "\r\n")+"\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Check(t, resp.Close)
}
