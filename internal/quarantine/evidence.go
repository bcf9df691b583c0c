package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxEvidence bounds the parts in one message, so that it fits a datagram.
	maxEvidence = 24
	// maxCrashes bounds the crashes of a part in one message.
	maxCrashes = 8
	// clearedTime is how long other gateways are told that a part is sound.
	clearedTime = 10 * time.Second
	// mergeSlack is the time by which the crash of another gateway may appear later than it
	// was, since its message has been on the way.
	mergeSlack = 500 * time.Millisecond
	// maxAgeMs bounds the ages of other gateways, in milliseconds: one day.
	maxAgeMs = 24 * 60 * 60 * 1000
)

// Evidence is what a gateway knows of one part. Times are ages in milliseconds.
type Evidence struct {
	Part    string        `cbor:"1,keyasint"`
	Crashes []CrashReport `cbor:"2,keyasint,omitempty"`
	// Answered is true if an answer to the part is remembered, which is AnsweredMs old.
	Answered   bool  `cbor:"3,keyasint,omitempty"`
	AnsweredMs int64 `cbor:"4,keyasint,omitempty"`
}

// CrashReport is the end of a target under requests with a part.
type CrashReport struct {
	Target uint32 `cbor:"1,keyasint"`
	AgeMs  int64  `cbor:"2,keyasint"`
	Begun  bool   `cbor:"3,keyasint,omitempty"`
}

// Evidence returns what other gateways should know: the suspects with the most evidence against
// them, and the parts that were cleared a short time ago.
func (t *Tracker) Evidence(now time.Duration) []Evidence {
	t.expire(now)
	var out []Evidence
	for p := range t.cleared {
		if len(out) < maxEvidence/2 {
			out = append(out, t.evidenceOf(now, p))
		}
	}
	ranked := slices.SortedFunc(maps.Keys(t.suspects), func(a, b string) int { return t.compareEvidence(b, a) })
	for _, p := range ranked[:min(len(ranked), maxEvidence-len(out))] {
		out = append(out, t.evidenceOf(now, p))
	}
	return out
}

func (t *Tracker) evidenceOf(now time.Duration, p string) Evidence {
	e := Evidence{Part: p}
	if at, ok := t.answered.time(p); ok {
		e.Answered, e.AnsweredMs = true, (now - at).Milliseconds()
	}
	s := t.suspects[p]
	if s == nil {
		return e
	}
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
		t.mergePart(now, &evidence[i])
	}
	t.judge()
}

func (t *Tracker) mergePart(now time.Duration, e *Evidence) {
	answered, known := t.answered.time(e.Part)
	for _, c := range e.Crashes {
		age := time.Duration(min(max(0, c.AgeMs), maxAgeMs)) * time.Millisecond
		at := now - age
		if age > t.evidenceTime || known && at <= answered+mergeSlack {
			continue
		}
		t.addCrash(now, e.Part, c.Target, crash{at: at, begun: c.Begun})
	}
	s := t.suspects[e.Part]
	if !e.Answered || s == nil {
		return
	}
	t.unjudged = t.unjudged || !s.answeredBefore
	s.answeredBefore = true
	t.clear(now-time.Duration(min(max(0, e.AnsweredMs), maxAgeMs))*time.Millisecond, e.Part)
}

// expire forgets suspects without enough evidence whose crashes no longer count, and parts that
// were cleared long enough ago. Quarantined parts stay until an answer to them arrives.
func (t *Tracker) expire(now time.Duration) {
	for p, s := range t.suspects {
		if s.tied == nil && now-s.last > t.evidenceTime {
			delete(t.suspects, p)
		}
	}
	for p, at := range t.cleared {
		if now-at > clearedTime {
			delete(t.cleared, p)
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

// Status is the state of one suspected part.
type Status struct {
	Part           string `json:"part"`
	Crashes        int    `json:"crashes"`
	LastCrashMsAgo int64  `json:"last_crash_ms_ago"`
	Quarantined    bool   `json:"quarantined"`
}

// Status returns the state of each suspected part.
func (t *Tracker) Status(now time.Duration) []Status {
	var out []Status
	for p, s := range t.suspects {
		out = append(out, Status{Part: p, Crashes: len(s.crashes), LastCrashMsAgo: (now - s.last).Milliseconds(), Quarantined: s.tied != nil})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.LastCrashMsAgo, b.LastCrashMsAgo) })
	return out
}
