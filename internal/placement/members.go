package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// memberTimeout is the time without a message after which another gateway gets no share of
	// a target's rate. It is long, since a gateway that is only cut off from this one may go
	// on sending.
	memberTimeout = 10 * time.Second
	// memberCheckInterval is the interval at which silent gateways are looked for.
	memberCheckInterval = 500 * time.Millisecond
	// discoveryTime is the time after the start within which there may be other gateways that
	// are not known yet, and assumedMembers the number that is assumed then.
	discoveryTime  = 5 * time.Second
	assumedMembers = 64
	// assumedStarters is the same for the bound on the requests to a cold target, which is kept
	// over any second.
	assumedStarters = 512
)

// share returns this gateway's part of a number of requests to a target. The parts of all
// gateways that know each other sum up to the number: the remainder of the division goes to
// the first gateways in an order that depends on the target.
func (b *Balancer) share(now time.Duration, s *targetState, total int) int {
	b.updateMembers(now)
	n := len(b.members) + 1
	if !b.membersListed && len(b.members) == 0 && now < discoveryTime {
		return total / assumedMembers
	}
	if s.rankVersion != b.memberVersion {
		s.rank, s.rankVersion = b.rank(s.key), b.memberVersion
	}
	if s.rank < total%n {
		return total/n + 1
	}
	return total / n
}

// rank returns the number of other gateways that precede this one in the order of a target
// (rendezvous hashing).
func (b *Balancer) rank(key uint32) int {
	rank, own := 0, memberWeight(key, b.name)
	for _, member := range b.members {
		if w := memberWeight(key, member); w > own || w == own && member < b.name {
			rank++
		}
	}
	return rank
}

// startShare returns this gateway's part of the requests that a target may get within startSpan.
// Until the other gateways are known, it gets one request if it comes so early in the order of the
// target that it would get one among assumedStarters too.
func (b *Balancer) startShare(now time.Duration, s *targetState) int {
	b.updateMembers(now)
	if b.membersListed || len(b.members) > 0 || now >= discoveryTime {
		return b.share(now, s, s.StartRate)
	}
	if memberWeight(s.key, b.name)/(math.MaxUint64/assumedStarters) >= assumedStarters-uint64(min(s.StartRate, assumedStarters)) {
		return 1
	}
	return 0
}

// startsUnknown reports whether the process before this one may have used its share of the requests
// that a cold target may get within startSpan.
func startsUnknown(now time.Duration, s *targetState) bool { return s.Cold && now < startSpan }

// AddMembers adds the gateways that the store lists. They share the limits of targets until
// memberTimeout has passed, and after that if they send messages.
func (b *Balancer) AddMembers(now time.Duration, names []string) {
	for _, name := range names {
		if name != b.name {
			b.listed[name] = now
		}
	}
	b.membersListed, b.membersChanged = true, true
}

func memberWeight(key uint32, member string) uint64 {
	h := xxhash.NewWithSeed(uint64(key))
	_, _ = h.WriteString(member) // never fails
	return h.Sum64()
}

// updateMembers updates the names of the other gateways that get a share of limits: those from
// which a message has come, or which the store has listed, within memberTimeout.
func (b *Balancer) updateMembers(now time.Duration) {
	if !b.membersChanged && now-b.membersAt < memberCheckInterval {
		return
	}
	var members []string
	for name, p := range b.peers {
		if now-p.receivedAt <= memberTimeout {
			members = append(members, name)
		}
	}
	for name, at := range b.listed {
		if now-at > memberTimeout {
			delete(b.listed, name)
		} else {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	members = slices.Compact(members)
	b.membersChanged, b.membersAt = false, now
	if !slices.Equal(members, b.members) || b.memberVersion == 0 {
		b.members = members
		b.memberVersion++
	}
}
