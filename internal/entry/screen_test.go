package entry

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// maxRequestCrashes is the number of targets that one request may end in all: three until it has
// been found out, and three more.
const maxRequestCrashes = 3 + 3

// crashingAgents returns the function of agents whose targets end under requests to /x, with
// the number of ends.
func crashingAgents(e *Entry) (f agentFunc, ends *atomic.Int32) {
	ends = new(atomic.Int32)
	return func(p *linktest.Peer, m message.Message) {
		req, ok := m.(*message.Request)
		if !ok {
			return
		}
		if req.Path != "/x" {
			e.Message(p, &message.ResponseHead{ID: req.ID, Status: 200, Complete: true, Body: []byte("ok"), Length: 2, Load: warm})
			return
		}
		run := fmt.Sprint("run-", ends.Add(1))
		e.Message(p, &message.ResponseEnd{ID: req.ID, Load: warm, Failure: &message.Failure{Kind: apierr.KindTargetFailed, EndedTarget: run}})
	}, ends
}

// Guards against one request that comes again and crashes one target after the other.
func TestRequestThatCrashesTargetsEndsFewOfThem(t *testing.T) {
	s := newTestEntry(t)
	f, ends := crashingAgents(s.entry)
	for i := range 4 {
		s.addAgent(strings.Repeat("a", i+1), f)
	}
	for range 12 {
		s.call("GET", "/svc/x")
		assert.Equal(t, s.call("GET", "/svc/y").status, 200)
	}
	assert.Assert(t, ends.Load() >= 1 && ends.Load() <= maxRequestCrashes, "%d targets crashed", ends.Load())
	assert.Equal(t, s.call("GET", "/svc/x").status, 503)
}

// connect links two entries, which the other one knows by these names.
func connect(a, b *testEntry, nameOfA, nameOfB string) {
	var peerOfA, peerOfB *linktest.Peer
	id := func(name string) message.Identity {
		return message.Identity{Role: message.RoleEntry, Name: name, AvailabilityZone: testZone, Incarnation: 2}
	}
	peerOfA = linktest.NewPeer(id(nameOfB), func(m message.Message) error {
		go b.entry.Message(peerOfB, m)
		return nil
	})
	peerOfB = linktest.NewPeer(id(nameOfA), func(m message.Message) error {
		go a.entry.Message(peerOfA, m)
		return nil
	})
	a.entry.Up(peerOfA)
	b.entry.Up(peerOfB)
}

// Guards against entries that each have to find out by themselves, also if they have no link to the one
// that has found out.
func TestEvidenceOnARequestIsSharedWithOtherEntries(t *testing.T) {
	a, between, b := newTestEntry(t), newTestEntry(t), newTestEntry(t)
	connect(a, between, "a", "between")
	connect(between, b, "between", "b")
	f, _ := crashingAgents(b.entry)
	b.addAgent("agent", f)
	x := &exchange{req: message.Request{Organisation: "org", Service: "svc", Method: "GET", Path: "/x"}}
	for i := range 3 {
		a.entry.recordTargetEnd(x, &apierr.Error{Kind: apierr.KindTargetFailed, EndedTarget: fmt.Sprint(i)}, false)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := b.call("GET", "/svc/x").status; status != 503 {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
	assert.Equal(t, b.call("GET", "/svc/y").status, 200)
}

// Guards against a popular request that is refused because it was at targets that ended, although it
// was answered before.
func TestPopularRequestIsServedAfterTargetsEndUnderIt(t *testing.T) {
	s := newTestEntry(t)
	f, _ := crashingAgents(s.entry)
	s.addAgent("agent", f)
	assert.Equal(t, s.call("GET", "/svc/y").status, 200)
	x := &exchange{req: message.Request{Organisation: "org", Service: "svc", Method: "GET", Path: "/y"}}
	for i := range 3 {
		s.entry.recordTargetEnd(x, &apierr.Error{Kind: apierr.KindTargetFailed, EndedTarget: fmt.Sprint(i)}, false)
	}
	assert.Equal(t, s.call("GET", "/svc/y").status, 200)
}
