package entry

import (
	"io"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// addFailingOnce links two agents that answer "abcd". Of the first request, the body's second half is replaced by fail.
func addFailingOnce(s *testEntry, length int64, fail func(p *linktest.Peer, id uint64)) (sent *atomic.Int64) {
	for range 11 { // a new entry has no repeats yet
		s.entry.recordSuccess()
	}
	sent = new(atomic.Int64)
	f := func(p *linktest.Peer, m message.Message) {
		req, ok := m.(*message.Request)
		if !ok {
			return
		}
		s.entry.Message(p, &message.ResponseHead{ID: req.ID, Status: 200, Length: length})
		s.entry.Message(p, &message.ResponseData{ID: req.ID, Data: []byte("ab")})
		if sent.Add(1) == 1 {
			fail(p, req.ID)
			return
		}
		s.entry.Message(p, &message.ResponseData{ID: req.ID, Offset: 2, Data: []byte("cd")})
		s.entry.Message(p, &message.ResponseEnd{ID: req.ID, Length: 4, Load: warm})
	}
	s.addAgent("agent-a", f)
	s.addAgent("agent-bb", f)
	return sent
}

// endWith returns a function that ends an answer with a failure.
func endWith(e *Entry, k apierr.Kind) func(*linktest.Peer, uint64) {
	return func(p *linktest.Peer, id uint64) {
		e.Message(p, &message.ResponseEnd{ID: id, Length: 2, Load: warm, Failure: &message.Failure{Kind: k}})
	}
}

// TestFailedBodyOfAShortAnswerIsRepeated guards against an error for a caller to whom nothing was sent yet, when
// another target could answer.
func TestFailedBodyOfAShortAnswerIsRepeated(t *testing.T) {
	for name, fail := range map[string]func(*Entry) func(*linktest.Peer, uint64){
		"the target's body is cut off": func(e *Entry) func(*linktest.Peer, uint64) { return endWith(e, apierr.KindTruncated) },
		"the link is lost": func(e *Entry) func(*linktest.Peer, uint64) {
			return func(p *linktest.Peer, _ uint64) { e.Down(p, io.EOF) }
		},
	} {
		s := newTestEntry(t)
		sent := addFailingOnce(s, 4, fail(s.entry))
		got := s.call("GET", "/svc/x")
		assert.NilError(t, got.readErr, name)
		assert.Equal(t, got.status, 200, name)
		assert.Equal(t, got.body, "abcd", name)
		assert.Equal(t, sent.Load(), int64(2), name)
		assert.Equal(t, s.entry.calls.size(), 0, name)
		assert.Equal(t, s.entry.limiter.inFlight(), 0, name)
	}
}

// TestBegunAnswersAreNotRepeated guards against a second run of a request that is not idempotent, whatever the kind of
// the failure after its head, and of one of whose answer the caller has a part.
func TestBegunAnswersAreNotRepeated(t *testing.T) {
	for _, kind := range []apierr.Kind{apierr.KindTruncated, apierr.KindDraining} {
		s := newTestEntry(t)
		sent := addFailingOnce(s, 4, endWith(s.entry, kind))
		got := s.call("POST", "/svc/once")
		assert.Equal(t, got.header.Get("Gentiantrail-Error"), apierr.KindTruncated.String())
		assert.Equal(t, got.header.Get("Gentiantrail-Outcome"), "unknown")
		assert.Equal(t, sent.Load(), int64(1))
	}
	s := newTestEntry(t)
	sent := addFailingOnce(s, -1, endWith(s.entry, apierr.KindTruncated))
	assert.Assert(t, s.call("GET", "/svc/x").readErr != nil)
	assert.Equal(t, sent.Load(), int64(1))
}

// TestRepeatOfABodyIsWithinTheBudget guards against repeats of failed bodies that no budget bounds.
func TestRepeatOfABodyIsWithinTheBudget(t *testing.T) {
	s := newTestEntry(t)
	sent := addFailingOnce(s, 4, endWith(s.entry, apierr.KindTruncated))
	for s.entry.budget.Take() {
		continue
	}
	got := s.call("GET", "/svc/x")
	assert.Equal(t, got.header.Get("Gentiantrail-Error"), apierr.KindTruncated.String())
	assert.Equal(t, sent.Load(), int64(1))
}
