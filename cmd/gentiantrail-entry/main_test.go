package main

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/daemon"
	"github.com/gentiantrail/gentiantrail/internal/entry"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// TestListenerIsClosedAfterAStopThatWasForced guards against callers who connect to a process that only ends, and get no
// answer when it is gone.
func TestListenerIsClosedAfterAStopThatWasForced(t *testing.T) {
	s := &settings.Entry{Limits: settings.DefaultEntryLimits()}
	s.Limits.StopTimeout = time.Millisecond // less than any stop takes
	p := daemon.NewProcess(message.Identity{Role: message.RoleEntry, Name: "entry", AvailabilityZone: "zone"})
	e := entry.New(entry.Options{
		Identity: p.Identity, MaxRequests: 1, Dial: func(string) {}, StopDialling: func(string) {},
		Logger: p.Logger, Metrics: p.Metrics.Scope,
	})
	assert.NilError(t, p.OpenLinks("0123456789abcdef", "", e))
	assert.NilError(t, p.OpenAdmin("127.0.0.1:0", e.Ready, nil))
	go e.Run()
	server := e.NewServer(s.Limits)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(ln) }()
	resp, err := http.Get("http://" + ln.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.ErrorIs(t, stop(s, p, e, server), daemon.ErrStopTimeout)
	c, err := net.Dial("tcp4", ln.Addr().String())
	if err == nil {
		_ = c.Close()
		t.Fatal("the entry accepts callers after its stop")
	}
	assert.NilError(t, <-served)
}
