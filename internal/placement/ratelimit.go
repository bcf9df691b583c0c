package placement

import (
	"slices"
	"time"
)

const (
	// limitSpan is the time over which the starts at a target are compared with the rate that
	// it states. The targets count over a span of the same length.
	limitSpan = 4 * time.Second
	// limitMemory is how long after the last answer that stated a rate the rate applies. If no
	// gateway sends the target anything, no answer can withdraw it.
	limitMemory = time.Minute
	// limitTellTime is how long a gateway tells the others of a rate whose value has changed.
	limitTellTime = 3 * time.Second
	// limitRetellInterval and limitRetellTime are the interval at which a rate that still holds
	// is told again, and for how long.
	limitRetellInterval = 15 * time.Second
	limitRetellTime     = time.Second
	// maxLimitsToTell bounds the limits in one message. If there are more, each message has
	// other ones, since the order of the targets is random.
	maxLimitsToTell = 128
	// maxStatedRate bounds a stated rate, in requests per second.
	maxStatedRate = 1e6
)

// RateLimit is a target's statement of the rate at which it takes requests from all gateways
// together. The zero value states that there is no limit.
type RateLimit struct {
	Limited bool
	// Rate is in requests per second.
	Rate float64
}

// limitState is what is known of a target's RateLimit.
type limitState struct {
	RateLimit
	// observedAt is the time of the newest answer that is known to state the limit.
	observedAt time.Duration
	// seenAt is the time of the newest such answer that this gateway got, and changedAt the
	// time since which this gateway's answers have stated it. Both are only valid if seen is
	// true.
	seenAt, changedAt time.Duration
	seen              bool
}

// PeerLimit is a target's RateLimit in a message between gateways.
type PeerLimit struct {
	// Key is the TargetKey of the target's id.
	Key uint32
	RateLimit
	// Age is the time since the sender has got the answer that states the limit.
	Age time.Duration
}

// HandleRateLimit handles the limit that a target states in an answer, to a request that was
// sent at the given time. It reports whether this changes the limit that applies.
//
// An answer that was on its way when the current limit was stated does not raise it.
func (b *Balancer) HandleRateLimit(now time.Duration, id string, limit RateLimit, sent time.Duration) bool {
	s := b.targets[id]
	if s == nil {
		return false
	}
	limit.Rate = min(limit.Rate, maxStatedRate)
	l := &s.limit
	current := l.at(now)
	if looser(limit, current) && sent < l.observedAt {
		return false
	}
	if !limit.Limited && !current.Limited && !l.seen {
		return false // most targets never state a limit
	}
	if !l.seen || l.RateLimit != limit {
		l.changedAt = now
	}
	l.RateLimit, l.observedAt, l.seenAt, l.seen = limit, now, now, true
	return limit != current
}

// looser reports whether limit a allows more than limit b.
func looser(a, b RateLimit) bool {
	return b.Limited && (!a.Limited || a.Rate > b.Rate)
}

// at returns the limit that applies.
func (l *limitState) at(now time.Duration) RateLimit {
	if now-l.observedAt > limitMemory {
		return RateLimit{}
	}
	return l.RateLimit
}

// LimitsToTell returns the limits that the other gateways should learn of. Each gateway tells
// only what it has read itself, so that an old statement does not circulate.
func (b *Balancer) LimitsToTell(now time.Duration) []PeerLimit {
	var told []PeerLimit
	for _, s := range b.targets {
		l := &s.limit
		if len(told) == maxLimitsToTell {
			break
		}
		if !l.seen || now-l.seenAt > limitMemory {
			continue
		}
		age := now - l.changedAt
		if age < limitTellTime || l.Limited && age%limitRetellInterval < limitRetellTime {
			told = append(told, PeerLimit{Key: s.key, RateLimit: l.RateLimit, Age: now - l.seenAt})
		}
	}
	return told
}

// HandlePeerLimits handles the limits that another gateway has read, and returns the ids of the
// targets whose limit this changes.
func (b *Balancer) HandlePeerLimits(now time.Duration, limits []PeerLimit) (changed []string) {
	for _, p := range limits {
		if p.Age < 0 || !(p.Rate >= 0) {
			continue
		}
		p.Rate = min(p.Rate, maxStatedRate)
		for _, s := range b.byKey[p.Key] {
			if s.limit.adopt(now, &p) {
				changed = append(changed, s.ID)
			}
		}
	}
	return changed
}

// adopt adopts a limit that another gateway has read, if it is newer than the one that is
// known. It reports whether this changes the limit that applies.
func (l *limitState) adopt(now time.Duration, p *PeerLimit) bool {
	observed := now - p.Age
	if observed <= l.observedAt {
		return false
	}
	current := l.at(now)
	if l.RateLimit != p.RateLimit {
		l.RateLimit, l.seen = p.RateLimit, false
	}
	l.observedAt = observed
	return l.at(now) != current
}

// TargetLimit returns the limit of a target.
func (b *Balancer) TargetLimit(now time.Duration, id string) RateLimit {
	if s := b.targets[id]; s != nil {
		return s.limit.at(now)
	}
	return RateLimit{}
}

// withinLimit reports whether this gateway may send a target another request under the
// target's limit.
func (b *Balancer) withinLimit(now time.Duration, s *targetState) bool {
	limit := s.limit.at(now)
	if !limit.Limited {
		return true
	}
	if limit.Rate <= 0 {
		return false
	}
	if quota := int(limit.Rate * limitSpan.Seconds()); quota >= 1 {
		return s.startsWithin(now, limitSpan) < b.share(now, s, quota)
	}
	gap := time.Duration(float64(time.Second) / limit.Rate)
	return b.share(now, s, 1) > 0 && (!s.started || now-s.lastStart >= gap)
}

// startTimes contains the times of the starts of requests at a target.
type startTimes struct {
	// times contains the starts within the last limitSpan, oldest first.
	times []time.Duration
	// lastStart is the time of the last start; it is valid if started is true.
	lastStart time.Duration
	started   bool
}

func (s *startTimes) add(now time.Duration) {
	old, _ := slices.BinarySearch(s.times, now-limitSpan+1)
	s.times = append(slices.Delete(s.times, 0, old), now)
	s.lastStart, s.started = now, true
}

// startsWithin returns the number of starts less than span ago; span is at most limitSpan.
func (s *startTimes) startsWithin(now, span time.Duration) int {
	first, _ := slices.BinarySearch(s.times, now-span+1)
	return len(s.times) - first
}
