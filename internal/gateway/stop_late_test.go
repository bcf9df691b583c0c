package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateCallers send requests that may run once, some on new connections and some on kept ones, each with
// an id of its own, and record the ids that were answered by a target and those that were refused.
type lateCallers struct {
	gw                *testGateway
	mu                sync.Mutex
	answered, refused map[string]bool
	wg                sync.WaitGroup
}

// call sends a request on c, or on a new connection if c is nil, and returns the connection if it may be
// used again.
func (l *lateCallers) call(id string, c net.Conn) net.Conn {
	if c == nil {
		var err error
		if c, err = net.Dial("tcp4", l.gw.addr); err != nil {
			return nil
		}
	}
	request := "GET /once/x HTTP/1.1\r\nHost: h\r\nT-Id: " + id + "\r\nAuthorization: Bearer key\r\n\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		return nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = c.Close()
		return nil
	}
	_, err = io.Copy(io.Discard, resp.Body)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered[id] = err == nil && resp.StatusCode == 200
	l.refused[id] = err == nil && resp.StatusCode == 503
	if err != nil || resp.Close {
		_ = c.Close()
		return nil
	}
	return c
}

// TestLateRequestsOfAStopAreAnsweredOrRefused guards against requests that are taken late in a planned
// stop, reach a target and are cut off at its end without an answer: they come at all times of the stop.
func TestLateRequestsOfAStopAreAnsweredOrRefused(t *testing.T) {
	const work, interval, keepers = 1500 * time.Millisecond, 100 * time.Millisecond, 4
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		respond(200, "x")(w, r)
	}
	gw := newTestGateway(t, slow, slow, slow, slow, slow, slow, slow, slow).waitReady()
	l := &lateCallers{gw: gw, answered: map[string]bool{}, refused: map[string]bool{}}
	stopped := make(chan struct{})
	for k := range keepers {
		l.wg.Go(func() {
			var c net.Conn
			for n := 0; ; n++ {
				c = l.call(fmt.Sprintf("kept-%d-%d", k, n), c)
				select {
				case <-stopped:
					return
				case <-time.After(interval):
				}
			}
		})
	}
	begin := time.Now()
	go func() {
		defer close(stopped)
		gw.g.Stop(t.Context())
	}()
	for n := 0; ; n++ {
		select {
		case <-stopped:
		case <-time.After(interval):
			l.wg.Go(func() { l.call(fmt.Sprint("new-", n), nil) })
			continue
		}
		break
	}
	assert.Check(t, time.Since(begin) > stopIdleTime+work/2, "no request came late")
	time.Sleep(work / 6) // callers read what was written before the end
	l.check()
}

// check compares what the target has got by the end of the stop with what callers have been told.
func (l *lateCallers) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, target := range l.gw.targets {
		for _, r := range target.requests() {
			id := r.Header.Get("T-Id")
			assert.Check(l.gw.t, l.answered[id], "%s was passed on and has no answer at the end of the stop", id)
			assert.Check(l.gw.t, !l.refused[id], "%s was passed on and refused", id)
		}
	}
	refused := 0
	for _, r := range l.refused {
		if r {
			refused++
		}
	}
	assert.Check(l.gw.t, len(l.answered) > 0 && refused > 0, "%d requests, %d refused", len(l.answered), refused)
}
