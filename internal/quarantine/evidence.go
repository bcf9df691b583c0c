package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxEvidence bounds the subjects in one message, so that it fits a datagram.
	maxEvidence = 24
	// maxCrashes bounds the crashes of a subject in one message.
	maxCrashes = 8
	// clearedTime is how long other gateways are told that a subject is sound.
	clearedTime = 10 * time.Second
	// newsTime is how long after a change the evidence against a subject is in each message, so
	// that it gets through although messages are lost. After that it is told now and then, for
	// gateways that have started or were cut off: every quarantineRefresh for a quarantined
	// subject, which they may also read in the store, and every suspectRefresh for another one.
	newsTime          = 3 * time.Second
	quarantineRefresh = time.Second
	suspectRefresh    = 10 * time.Second
	// mergeSlack is the time by which the crash of another gateway may appear later than it
	// was, since its message has been on the way.
	mergeSlack = 500 * time.Millisecond
	// maxAgeMs bounds the ages of other gateways, in milliseconds: one day.
	maxAgeMs = 24 * 60 * 60 * 1000
)

// Evidence is what a gateway knows of one subject. Times are ages in milliseconds.
type Evidence struct {
	Subject string        `cbor:"1,keyasint"`
	Crashes []CrashReport `cbor:"2,keyasint,omitempty"`
	// Answered is true if an answer to the subject is remembered, which is AnsweredMs old.
	Answered   bool  `cbor:"3,keyasint,omitempty"`
	AnsweredMs int64 `cbor:"4,keyasint,omitempty"`
	// Quarantined is true if the subject is quarantined, so that its crashes count however old
	// they are.
	Quarantined bool `cbor:"5,keyasint,omitempty"`
}

// CrashReport is the end of a target under requests with a subject.
type CrashReport struct {
	Target uint32 `cbor:"1,keyasint"`
	AgeMs  int64  `cbor:"2,keyasint"`
	Begun  bool   `cbor:"3,keyasint,omitempty"`
}

// Evidence returns what other gateways should know now: the suspects with the most evidence against
// them, and the subjects that were cleared a short time ago.
func (t *Tracker) Evidence(now time.Duration) []Evidence {
	t.expire(now)
	var out []Evidence
	for subject := range t.cleared {
		if len(out) < maxEvidence/2 {
			out = append(out, t.evidenceOf(now, subject))
		}
	}
	due := t.suspectsToTell(now)
	for _, d := range due[:min(len(due), maxEvidence-len(out))] {
		t.suspects[d.subject].toldAt = now
		out = append(out, t.evidenceOf(now, d.subject))
	}
	return out
}

// rankedSuspect is a suspect with its rank in a message.
type rankedSuspect struct {
	subject string
	weight  int
	// toldAt and last are those of the suspect.
	toldAt, last time.Duration
}

// suspectsToTell returns the suspects that should be in a message. Those with the most evidence
// come first; others with equal evidence take turns, since a target that ends may have had more
// requests than one message can name.
func (t *Tracker) suspectsToTell(now time.Duration) []rankedSuspect {
	var due []rankedSuspect
	for subject, s := range t.suspects {
		if s.shouldTell(now, t.relay) {
			due = append(due, rankedSuspect{subject: subject, weight: s.weight(nil), toldAt: s.toldAt, last: s.last})
		}
	}
	slices.SortFunc(due, func(a, b rankedSuspect) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.toldAt, b.toldAt), cmp.Compare(b.last, a.last))
	})
	return due
}

// shouldTell reports whether a message of this time should contain the suspect. Only gateways that have
// seen one of its crashes repeat the evidence, so that messages do not grow with the number of gateways;
// others tell that they remember an answer, or pass new evidence on if relay is true.
func (s *suspect) shouldTell(now time.Duration, relay bool) bool {
	news := now-s.changedAt < newsTime
	if !s.seenHere {
		return news && (relay || s.answeredBefore)
	}
	refresh := suspectRefresh
	if s.tied != nil {
		refresh = quarantineRefresh
	}
	return news || now-s.toldAt >= refresh
}

func (t *Tracker) evidenceOf(now time.Duration, subject string) Evidence {
	e := Evidence{Subject: subject}
	if at, ok := t.answered.Time(subject); ok {
		e.Answered, e.AnsweredMs = true, (now - at).Milliseconds()
	}
	s := t.suspects[subject]
	if s == nil {
		return e
	}
	e.Quarantined = s.tied != nil
	for target, c := range s.crashes {
		if len(e.Crashes) == maxCrashes {
			break
		}
		e.Crashes = append(e.Crashes, CrashReport{Target: target, AgeMs: (now - c.at).Milliseconds(), Begun: c.begun})
	}
	return e
}

// Merge adds the evidence of another gateway.
func (t *Tracker) Merge(now time.Duration, evidence []Evidence) {
	for i := range evidence {
		t.mergeSubject(now, &evidence[i])
	}
	t.judge()
}

func (t *Tracker) mergeSubject(now time.Duration, e *Evidence) {
	answered, known := t.answered.Time(e.Subject)
	for _, c := range e.Crashes {
		age := time.Duration(min(max(0, c.AgeMs), maxAgeMs)) * time.Millisecond
		at := now - age
		if age > t.evidenceTime && !e.Quarantined || known && at <= answered+mergeSlack {
			continue
		}
		t.addCrash(now, e.Subject, c.Target, crash{at: at, begun: c.Begun})
	}
	s := t.suspects[e.Subject]
	if !e.Answered || s == nil {
		return
	}
	t.unjudged = t.unjudged || !s.answeredBefore
	s.answeredBefore = true
	t.clear(now-time.Duration(min(max(0, e.AnsweredMs), maxAgeMs))*time.Millisecond, e.Subject)
}

// expire forgets suspects without enough evidence whose crashes no longer count, and subjects that
// were cleared long enough ago. Quarantined subjects stay until an answer to them arrives.
func (t *Tracker) expire(now time.Duration) {
	for subject, s := range t.suspects {
		if s.tied == nil && now-s.last > t.evidenceTime {
			delete(t.suspects, subject)
		}
	}
	for subject, at := range t.cleared {
		if now-at > clearedTime {
			delete(t.cleared, subject)
		}
	}
}

// TakeChanged reports whether this gateway has seen a crash since the last call, which others
// should hear of at once. Those pass it on with their regular messages only, so that the
// messages after a crash grow with the number of gateways and not with its square.
func (t *Tracker) TakeChanged() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// Status is the state of one suspected subject.
type Status struct {
	Subject        string `json:"subject"`
	Crashes        int    `json:"crashes"`
	LastCrashMsAgo int64  `json:"last_crash_ms_ago"`
	Quarantined    bool   `json:"quarantined"`
}

// Status returns the state of each suspected subject.
func (t *Tracker) Status(now time.Duration) []Status {
	var out []Status
	for subject, s := range t.suspects {
		out = append(out, Status{Subject: subject, Crashes: len(s.crashes), LastCrashMsAgo: (now - s.last).Milliseconds(), Quarantined: s.tied != nil})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.LastCrashMsAgo, b.LastCrashMsAgo) })
	return out
}
