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
	"gotest.tools/v3/poll"
)

// Guards against a process that ends, or a connection that is closed, before the end of an
// answer has been sent: a stop must wait for a caller that reads its answer slowly.
func TestStopWaitsUntilAnswersAreSent(t *testing.T) {
	const size = 7 << 20 // more than the buffers of both sockets take
	gw := newTestGateway(t, respond(200, strings.Repeat("x", size))).waitReady()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		gw.g.Stop(t.Context())
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if gw.g.Ready() == nil {
			return poll.Continue("still ready")
		}
		return poll.Success()
	})
	c := gw.send(get("/safe/")...)
	gw.waitForRequest()
	select {
	case <-stopped:
		t.Error("the stop ended before the answer was sent")
	case <-time.After(stopIdleTime + sweepInterval + 5*stopPollInterval):
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Error("the stop did not end after the answer was sent")
	}
}

// Guards against a stop that ends between the end of a request's goroutine and the write of
// its last bytes by the event loop: the process would end without sending them.
func TestRequestIsInFlightUntilTheEventLoopHasWrittenItsAnswer(t *testing.T) {
	answer, release := make(chan struct{}), make(chan struct{})
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		<-answer
		respond(200, "x")(w, r)
	}).waitReady()
	c := gw.send(get("/safe/")...)
	gw.waitForRequest()
	gw.g.server.mu.Lock()
	for cc := range gw.g.server.conns {
		assert.NilError(t, cc.conn.Wake(func(gnet.Conn, error) error {
			<-release
			return nil
		}))
	}
	gw.g.server.mu.Unlock()
	close(answer)
	time.Sleep(300 * time.Millisecond) // the request's goroutine ends
	assert.Check(t, gw.g.inFlight.Load() == 1)
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if gw.g.inFlight.Load() != 0 {
			return poll.Continue("still in flight")
		}
		return poll.Success()
	}, poll.WithTimeout(2*time.Second))
}

// Guards against requests that end with their process and leave no trace: each must be named in the log.
func TestStopNamesTheRequestsThatItLeavesUnfinished(t *testing.T) {
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(2, 0)(w, r)
		<-r.Context().Done()
	}).waitReady()
	gw.g.opts.Settings.Limits.StopTimeout = stopMargin + stopLogInterval + 2*stopPollInterval
	c := gw.send(get("/stream/")...)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	events := make([]byte, len(eventsUpTo(2)))
	_, err = io.ReadFull(resp.Body, events)
	assert.NilError(t, err)
	gw.g.Stop(t.Context())
	for _, want := range [][]string{
		{"event=stopping", "requests=1", "signal_age_ms="},
		{"event=stop-waits", "requests=1"},
		{"event=unfinished", "request=a1", "route=stream", "target=t0", "attempts=1", "handled=false", "last_event=2", "last_event_ms_ago="},
		{"event=stop-ends", "requests=1"},
	} {
		_, found := gw.logs.find(want...)
		assert.Check(t, found, "no line with %v", want)
	}
}
