// Package quarantine finds what targets crash on, and decides which requests must not reach a
// target because of it.
//
// A subject is what requests have in common that may make targets crash: a part of their prompts,
// or the fingerprint of a request that comes again. The evidence against a subject is the set of
// targets that ended while they had a request with it that did not count as answered. A successful
// answer to a request speaks for its subjects, and so does a stream that went on for some time
// after its first event. A subject is quarantined once the evidence against it, less what other
// quarantined subjects explain, reaches a limit. Gateways exchange their evidence.
//
// A Tracker is a state machine without I/O: callers pass in the time since their start and must
// not use it concurrently.
package quarantine

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// A crash under a request whose answer had begun weighs more than one under a request that
	// may still have waited, and a crash under a subject weighs more if no answer to the subject is
	// remembered: two, three, four or six targets end before a subject is quarantined.
	weightBegun, weightWaiting           = 6, 4
	weightBegunKnown, weightWaitingKnown = 3, 2
	quarantineWeight                     = 12

	// evidenceTime is how long a crash counts against a subject that is not quarantined, and the
	// least time between the last crash under a quarantined one and a trial of it.
	evidenceTime = 10 * time.Minute
	// evidenceJitter is the part of evidenceTime by which it differs between gateways, so that
	// one of them finds out first and tells the others.
	evidenceJitter = 0.2
	// suspectPause is the time after a crash in which no other request with a suspected subject
	// is let through: the crashed request is tried again in that time.
	suspectPause = 1500 * time.Millisecond
	// trialTime is the time between two requests with a suspected subject.
	trialTime = 2 * time.Second
	// trialSpacing is the mean time between the first trials of two gateways after suspectPause,
	// so that the crash under one is known before the next; maxTrialSpread bounds that of all of
	// them.
	trialSpacing   = 200 * time.Millisecond
	maxTrialSpread = 3 * time.Second

	// A quarantined subject that was answered before may be sound: if most requests have it, all
	// targets that end together speak against it. It is tried again after retryGrowth times the
	// time over which targets have ended under it, so that the time from the first end to a
	// retry grows by the factor retryGrowth+1. retrySpacing is the mean time between the first
	// retries of two gateways.
	retryGrowth  = 7
	retrySpacing = 500 * time.Millisecond

	// maxAnswered bounds the subjects whose answers are remembered, and maxSuspects the subjects
	// with evidence against them.
	maxAnswered = 16384
	maxSuspects = 1024
	// maxKeptCrashes bounds the crashes that are kept against a subject.
	maxKeptCrashes = 32
)

// never is the time of an event that has not happened.
const never = time.Duration(math.MinInt64 / 2)

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Allowed means that no subject of the request is under suspicion.
	Allowed Verdict = iota
	// Trial means that the request has a suspected subject and is the one that is let through.
	Trial
	// Held means that another request with a suspected subject is being tried.
	Held
	// Quarantined means that targets crash on the request.
	Quarantined
)

// String returns the verdict's name for logs.
func (v Verdict) String() string { return [...]string{"allowed", "trial", "held", "quarantined"}[v] }

// crash is the end of a target under a request with a subject.
type crash struct {
	at    time.Duration
	begun bool
}

// suspect is a subject with evidence against it.
type suspect struct {
	crashes map[uint32]crash
	// last is the time of the last crash.
	last time.Duration
	// answeredBefore is true if this gateway or another one remembers an answer to the subject
	// from before its first crash.
	answeredBefore bool
	// nextTrial is the earliest time of the next request that is let through.
	nextTrial time.Duration
	// tied are the subjects, including this one, that the same crashes speak against; nil unless
	// the subject is quarantined. Only requests with all of them are refused.
	tied []string
	// seenHere is true if this gateway has seen one of the crashes itself, and unsaved if it has
	// seen one that is not in the subject's record.
	seenHere, unsaved bool
	// quarantined is true once the subject has been quarantined.
	quarantined bool
	// changedAt is the time of the last change of the evidence, and toldAt that of the last
	// message with it.
	changedAt, toldAt time.Duration
	retrial
}

// Tracker keeps the evidence of one gateway and of those that it hears from.
type Tracker struct {
	suspects map[string]*suspect
	answered Answered[string]
	// cleared contains the subjects whose suspicion an answer has ended, for other gateways.
	cleared map[string]time.Duration
	// evidenceTime is this gateway's own time for which a crash counts.
	evidenceTime time.Duration
	// gateways is the number of gateways, and turn this one's place among their retries, from
	// 0 to 1.
	gateways int
	turn     float64
	// relay is true if new evidence of others is passed on.
	relay bool
	// changed is true if this gateway has seen crashes since TakeChanged was called.
	changed bool
	// unjudged is true if evidence has changed since the last judgement.
	unjudged bool
	// judged is true if a judgement since TakeJudged was called has quarantined a subject.
	judged    bool
	decisions []Decision
}

// Decision is a change of what is believed of a subject, for the log.
type Decision struct {
	Subject string
	Outcome Outcome
	Crashes int
	// Released is true if the subject is sound and was quarantined before.
	Released bool
}

// Outcome is what is believed of a subject.
type Outcome string

// The outcomes.
const (
	OutcomeSuspected   Outcome = "suspected"
	OutcomeQuarantined Outcome = "quarantined"
	OutcomeSound       Outcome = "sound"
)

// New returns a Tracker without evidence.
func New(rng *rand.Rand) *Tracker {
	spread := 1 + evidenceJitter*(2*rng.Float64()-1)
	return &Tracker{
		suspects: map[string]*suspect{}, cleared: map[string]time.Duration{},
		evidenceTime: time.Duration(spread * float64(evidenceTime)), gateways: 1, turn: rng.Float64(),
	}
}

// SetGateways sets the number of gateways, which take turns in trying a subject again.
func (t *Tracker) SetGateways(n int) { t.gateways = max(1, n) }

// Relay has new evidence of others passed on, for fleets in which not all reach each other.
func (t *Tracker) Relay() { t.relay = true }

// Suspects reports whether there is evidence against any subject.
func (t *Tracker) Suspects() bool { return len(t.suspects) > 0 }

// Admit decides on a request with the subjects that is about to be sent to a target. For a request
// that must not be sent, wait is the time after which it may be decided on again.
func (t *Tracker) Admit(now time.Duration, subjects []string) (v Verdict, wait time.Duration) {
	if len(t.suspects) == 0 {
		return Allowed, 0
	}
	if wait, refused := t.Refuses(now, subjects); refused {
		return Quarantined, wait
	}
	var trials []*suspect
	for _, subject := range subjects {
		s := t.suspects[subject]
		switch {
		case s == nil || s.tied == nil && s.answeredBefore:
			continue // requests with a widely shared part go on until it is quarantined
		case now < s.nextTrial:
			v, wait = Held, max(wait, s.nextTrial-now)
		}
		trials = append(trials, s)
	}
	if v == Held || len(trials) == 0 {
		return v, wait
	}
	for _, s := range trials {
		s.nextTrial = now + trialTime
		s.beginTrial(now)
	}
	return Trial, 0
}

// ReturnTrial takes back the verdict Trial on a request with the subjects that reached no
// target, so that another request is let through in its place.
func (t *Tracker) ReturnTrial(subjects []string) {
	for _, subject := range subjects {
		if s := t.suspects[subject]; s != nil {
			s.nextTrial = s.last + suspectPause
			s.returnTrial()
		}
	}
}

// Refuses reports whether a subject of a request is quarantined, and after which time a gateway
// tries it again. It applies to requests that were admitted before.
func (t *Tracker) Refuses(now time.Duration, subjects []string) (wait time.Duration, refused bool) {
	for _, subject := range subjects {
		s := t.suspects[subject]
		if s == nil || !s.refuses(subjects) {
			continue
		}
		if left := t.retryWait(now, s); left > 0 {
			s.refusedAt = now
			return left, true
		}
	}
	return 0, false
}

// retryWait returns the time after which a gateway tries a quarantined subject again, or zero if
// this one may do so now.
func (t *Tracker) retryWait(now time.Duration, s *suspect) time.Duration {
	if !s.answeredBefore {
		return t.retrialWait(now, s)
	}
	first := max(suspectPause, retryGrowth*(s.last-s.firstCrash()))
	own := first + time.Duration(t.turn*float64(t.gateways)*float64(retrySpacing))
	if left := s.last + own - now; left > 0 {
		return max(s.last+first-now, min(left, trialTime))
	}
	return 0
}

// firstCrash returns the time of the first of the crashes that are kept.
func (s *suspect) firstCrash() time.Duration {
	at := s.last
	for _, c := range s.crashes {
		at = min(at, c.at)
	}
	return at
}

// refuses reports whether the subject is quarantined and the request has all of its tied.
func (s *suspect) refuses(subjects []string) bool {
	return s.tied != nil && !slices.ContainsFunc(s.tied, func(subject string) bool { return !slices.Contains(subjects, subject) })
}

// RecordAnswer records that a request with the subjects was answered by an answer that began at a
// time. It speaks against crashes up to that time only.
func (t *Tracker) RecordAnswer(began time.Duration, subjects []string) {
	for _, subject := range subjects {
		t.clear(began, subject)
	}
}

// clear records an answer to a subject at a time, which ends a suspicion from before.
func (t *Tracker) clear(at time.Duration, subject string) {
	t.answered.Record(at, subject)
	s := t.suspects[subject]
	if s == nil {
		return
	}
	for target, c := range s.crashes {
		if c.at <= at {
			delete(s.crashes, target)
			t.unjudged = true
		}
	}
	if len(s.crashes) == 0 {
		delete(t.suspects, subject)
		t.cleared[subject] = at
		t.decisions = append(t.decisions, Decision{Subject: subject, Outcome: OutcomeSound, Released: s.quarantined})
	}
	t.judge()
}

func (t *Tracker) decide(subject string, outcome Outcome, crashes int) {
	t.decisions = append(t.decisions, Decision{Subject: subject, Outcome: outcome, Crashes: crashes})
}

// TakeDecisions returns the decisions since the last call.
func (t *Tracker) TakeDecisions() []Decision {
	d := t.decisions
	t.decisions = nil
	return d
}

// RecordCrash records that a target ended under a request with the subjects. begun is true if the
// head of its answer had arrived.
func (t *Tracker) RecordCrash(now time.Duration, target uint32, subjects []string, begun bool) {
	for _, subject := range subjects {
		if t.addCrash(now, subject, target, crash{at: now, begun: begun}) {
			t.changed = true
			s := t.suspects[subject]
			s.seenHere, s.unsaved = true, true
		}
	}
	t.judge()
}

// addCrash reports whether the crash adds to the evidence.
func (t *Tracker) addCrash(now time.Duration, subject string, target uint32, c crash) bool {
	s := t.suspects[subject]
	if s == nil {
		t.makeRoom()
		_, known := t.answered.Time(subject)
		s = &suspect{crashes: map[uint32]crash{}, answeredBefore: known, last: c.at, toldAt: never}
		t.suspects[subject] = s
		delete(t.cleared, subject)
		t.decide(subject, OutcomeSuspected, 1)
	}
	old, ok := s.crashes[target]
	if ok && (old.begun || !c.begun) {
		return false
	}
	if ok {
		c.at = min(c.at, old.at)
	} else if len(s.crashes) >= maxKeptCrashes {
		s.dropOldest()
	}
	s.crashes[target] = c
	s.changedAt = now
	s.last = max(s.last, c.at)
	s.nextTrial = max(s.nextTrial, now+suspectPause+t.trialDelay())
	s.endTrial()
	t.unjudged = true
	return true
}

// trialDelay returns the time after suspectPause from which this gateway lets a request with a
// suspected subject through.
func (t *Tracker) trialDelay() time.Duration {
	spread := min(time.Duration(t.gateways-1)*trialSpacing, maxTrialSpread)
	return time.Duration(t.turn * float64(spread))
}

// dropOldest drops the crash that is longest ago.
func (s *suspect) dropOldest() {
	delete(s.crashes, slices.MinFunc(slices.Collect(maps.Keys(s.crashes)), func(a, b uint32) int {
		return cmp.Compare(s.crashes[a].at, s.crashes[b].at)
	}))
}

// makeRoom drops the suspect with the least evidence against it if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.suspects) >= maxSuspects {
		delete(t.suspects, slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), t.compareEvidence))
	}
}

// compareEvidence orders two suspects by the weight of the crashes under them, and then by the
// time of the last one.
func (t *Tracker) compareEvidence(a, b string) int {
	x, y := t.suspects[a], t.suspects[b]
	return cmp.Or(cmp.Compare(x.weight(nil), y.weight(nil)), cmp.Compare(x.last, y.last))
}
