package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestsReadBehindOneAnotherAreInFlightWithoutAGap guards against a stop that ends between the end of
// a request and the begin of the next one that has been read on its connection.
func TestRequestsReadBehindOneAnotherAreInFlightWithoutAGap(t *testing.T) {
	const requests = 100
	var handled atomic.Int64
	begun, release := make(chan struct{}), make(chan struct{})
	begin, end := sync.OnceFunc(func() { close(begun) }), sync.OnceFunc(func() { close(release) })
	defer end()
	defer begin()
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		switch handled.Add(1) {
		case 1:
			<-begun
		case requests:
			<-release
		}
		respond(200, "x")(w, r)
	}).waitReady()
	br := bufio.NewReader(gw.write(strings.Repeat(strings.Join(get("/safe/"), "\r\n")+"\r\n\r\n", requests)))
	gw.waitForRequest()
	gw.waitUntil("the others have been read", func() bool { return gw.held() > 0 })
	gaps := make(chan int, 1)
	go func() {
		n := 0
		for handled.Load() < requests && t.Context().Err() == nil {
			if gw.g.inFlight.Load() == 0 {
				n++
			}
		}
		gaps <- n
	}()
	begin()
	for i := range requests {
		if i == requests-1 {
			assert.Check(t, <-gaps == 0, "seen without a request in flight")
			end()
		}
		status, _ := readAnswer(t, br)
		assert.Equal(t, status, 200)
	}
}

// TestRequestThatArrivesSlowlyInAStopIsAnswered guards against a stop that ends while a part of a request
// has been read, although there is time left for the rest and an answer.
func TestRequestThatArrivesSlowlyInAStopIsAnswered(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		gw.g.Stop(t.Context())
	}()
	time.Sleep(stopIdleTime)
	request := strings.Join(get("/safe/"), "\r\n") + "\r\n\r\n"
	c := gw.write(request[:len(request)/2])
	time.Sleep(sweepInterval + 2*stopPollInterval)
	select {
	case <-stopped:
		t.Error("the stop ended before the rest of the request arrived")
	default:
	}
	_, err := io.WriteString(c, request[len(request)/2:])
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Check(t, resp.Close)
	assert.Check(t, resp.Header.Get("Retry-After") != "")
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Error("the stop did not end after the answer")
	}
}

// TestRequestPartlyReadBehindAStreamIsAnsweredInAStop guards against a stop that closes a connection behind an
// answer which has not announced it, while the next request is arriving.
func TestRequestPartlyReadBehindAStreamIsAnsweredInAStop(t *testing.T) {
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		streamEvents(1, 0)(w, r)
		<-release
	}).waitReady()
	request := strings.Join(get("/safe/"), "\r\n") + "\r\n\r\n"
	c := gw.send(get("/stream/")...)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	go gw.g.Stop(t.Context())
	_, err = io.WriteString(c, request[:len(request)/2])
	assert.NilError(t, err)
	gw.waitUntil("a part has been read", func() bool { return gw.g.view.Load().stopping && gw.held() > 0 })
	end()
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	_, err = io.WriteString(c, request[len(request)/2:])
	assert.NilError(t, err)
	resp, err = http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Check(t, resp.Close)
}

// TestRequestsAfterTheEndOfAStopAreRefused guards against requests that are taken while the process ends, and are cut
// off with it.
func TestRequestsAfterTheEndOfAStopAreRefused(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	kept := gw.write("")
	gw.g.server.end()
	for _, c := range []net.Conn{kept, gw.write("")} {
		_, err := io.WriteString(c, strings.Join(get("/safe/"), "\r\n")+"\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 503)
		assert.Equal(t, resp.Header.Get("T-Id"), "a1")
		assert.Check(t, resp.Close)
	}
	gw.waitForLog("event=request-rejected", "request=a1", "kind=draining")
	assert.Equal(t, len(gw.targets[0].requests()), 0)
}
