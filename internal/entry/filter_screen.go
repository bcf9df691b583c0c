package entry

import (
	"hash/maphash"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// suspects keeps the evidence on requests that targets crash on. It is safe for concurrent use.
type suspects struct {
	// seed is the seed of the keys in answered.
	seed maphash.Seed
	// active is true while there is evidence against any request.
	active atomic.Bool

	mu       sync.Mutex
	tracker  *quarantine.Tracker
	answered quarantine.Answered[uint64]
}

func newSuspects() *suspects {
	tracker := quarantine.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	tracker.Relay() // entries have links to few entries of other availability zones
	return &suspects{seed: maphash.MakeSeed(), tracker: tracker}
}

// identity returns what the request has in common with its repeats.
func (x *exchange) identity() quarantine.Identity {
	return quarantine.Identity{Fields: []string{x.req.Organisation, x.req.Service, x.req.Method, x.req.Path}, Body: x.req.Body}
}

// subjects returns the request's fingerprint, as the subject of evidence. It reads the whole body
// when it is first called.
func (x *exchange) subjects() []string {
	if x.fingerprint == "" {
		x.fingerprint = x.identity().Fingerprint()
	}
	return []string{x.fingerprint}
}

// screen refuses a request that targets crash on, or for which another one is being tried.
func screen(e *Entry, x *exchange) *apierr.Error {
	s := e.suspects
	if !s.active.Load() {
		return nil
	}
	subjects := x.subjects()
	s.mu.Lock()
	verdict, wait := s.tracker.Admit(e.now(), subjects)
	s.mu.Unlock()
	if verdict == quarantine.Allowed || verdict == quarantine.Trial {
		return nil
	}
	return quarantineError(verdict, wait)
}

// checkQuarantine refuses another attempt at a request that has been quarantined in the meantime.
func (e *Entry) checkQuarantine(x *exchange) *apierr.Error {
	s := e.suspects
	if !s.active.Load() {
		return nil
	}
	subjects := x.subjects()
	s.mu.Lock()
	wait, refused := s.tracker.Refuses(e.now(), subjects)
	s.mu.Unlock()
	if !refused {
		return nil
	}
	return quarantineError(quarantine.Quarantined, wait)
}

// quarantineError returns the error of a request that may be sent again after wait.
func quarantineError(verdict quarantine.Verdict, wait time.Duration) *apierr.Error {
	err := apierr.New(apierr.KindQuarantined, verdict.String())
	err.RetryAfter = wait
	return err
}

// recordAnswered records a complete answer to a request.
func (e *Entry) recordAnswered(x *exchange) {
	s := e.suspects
	key := x.identity().LocalKey(s.seed)
	var subjects []string
	if s.active.Load() {
		subjects = x.subjects()
	}
	s.mu.Lock()
	s.answered.Record(e.now(), key)
	s.tracker.RecordAnswer(e.now(), subjects)
	decisions := s.tracker.TakeDecisions()
	s.mu.Unlock()
	e.logDecisions(decisions)
}

// recordTargetEnd records the failure of a request if its target has ended under it.
func (e *Entry) recordTargetEnd(x *exchange, err *apierr.Error, answerBegun bool) {
	if err == nil || err.EndedTarget == "" {
		return
	}
	s := e.suspects
	key, subjects := x.identity().LocalKey(s.seed), x.subjects()
	s.mu.Lock()
	if at, ok := s.answered.Time(key); ok {
		s.tracker.RecordAnswer(at, subjects)
	}
	s.tracker.RecordCrash(e.now(), uint32(xxhash.Sum64String(err.EndedTarget)), subjects, answerBegun)
	s.mu.Unlock()
	if e.applyEvidence() {
		e.tryPost(evidenceChanged{})
	}
}

// mergeEvidence adds the evidence of another entry.
func (e *Entry) mergeEvidence(evidence []quarantine.Evidence) {
	if len(evidence) == 0 {
		return
	}
	e.suspects.mu.Lock()
	e.suspects.tracker.Merge(e.now(), evidence)
	e.suspects.mu.Unlock()
	e.applyEvidence()
}

// applyEvidence logs what follows from new evidence, and reports whether the other entries should
// hear of it at once.
func (e *Entry) applyEvidence() (changed bool) {
	s := e.suspects
	s.mu.Lock()
	s.active.Store(s.tracker.Suspects())
	changed = s.tracker.TakeChanged()
	decisions := s.tracker.TakeDecisions()
	s.mu.Unlock()
	e.logDecisions(decisions)
	return changed
}

// evidence returns what the other entries should know now.
func (e *Entry) evidence(now time.Duration, entries int) []quarantine.Evidence {
	s := e.suspects
	if !s.active.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetGateways(entries)
	evidence := s.tracker.Evidence(now)
	s.active.Store(s.tracker.Suspects())
	return evidence
}

// logDecisions writes a log line for each change of what is believed of a request.
func (e *Entry) logDecisions(decisions []quarantine.Decision) {
	for _, d := range decisions {
		e.opts.Logger.Warn().Str("event", "belief").Str("topic", "quarantine").Str("subject", d.Subject).
			Str("outcome", string(d.Outcome)).Int("crashes", d.Crashes).Msg("")
	}
}
