package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// affinityBound is the utilisation, in means, up to which a target keeps its prefixes.
const affinityBound = 1.25

// pickFree chooses among the candidates with room, the own availability zone
// first: the target that the prefix belongs to, or the better of two.
func pickFree(own, peers []candidate, r Request, rng *rand.Rand) (Choice, bool) {
	var best candidate
	targets, zones := withRoom(own, r.Busy), withRoom(peers, r.Busy)
	switch {
	case len(targets) > 0 && r.PrefixHash != 0:
		best = affine(targets, r.PrefixHash)
	case len(targets) > 0:
		best = betterOfTwo(targets, rng)
	case len(zones) > 0:
		best = betterOfTwo(zones, rng)
	default:
		return Choice{}, false
	}
	c := best.choice()
	c.NoWait = true
	return c, true
}

// withRoom returns the candidates that look free and have not been found busy.
func withRoom(cs []candidate, busy []string) []candidate {
	open := notBusy(cs, busy)
	return slices.DeleteFunc(open, func(c candidate) bool { return !c.room() })
}

// notBusy returns the candidates that have not been found busy.
func notBusy(cs []candidate, busy []string) []candidate {
	open := make([]candidate, 0, len(cs))
	for _, c := range cs {
		if !slices.Contains(busy, c.choice().Name()) {
			open = append(open, c)
		}
	}
	return open
}

// affine returns the candidate with the highest rendezvous score for prefix
// among those that are within affinityBound of the mean utilisation. Ref. for the
// bound: Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
// Loads", SODA 2018.
func affine(cs []candidate, prefix uint64) candidate {
	load, limit := 0, 0
	for _, c := range cs {
		load += c.load
		limit += c.limit
	}
	mean := float64(load+1) / float64(limit)
	best, found := cs[0], false
	var highest uint64
	for _, c := range cs {
		bound := math.Ceil(affinityBound * mean * float64(c.limit))
		if float64(c.load+1) > bound {
			continue
		}
		if score := rendezvous(prefix, c.target.Agent); !found || score > highest {
			best, highest, found = c, score, true
		}
	}
	return best
}

// betterOfTwo draws two candidates, each with a chance in proportion to its
// limit, and returns the one with the lower utilisation. Many entries that see
// the same late report do not all choose the same candidate.
func betterOfTwo(cs []candidate, rng *rand.Rand) candidate {
	a, b := draw(cs, rng), draw(cs, rng)
	if b.ratio() < a.ratio() {
		return b
	}
	return a
}

func draw(cs []candidate, rng *rand.Rand) candidate {
	total := 0
	for _, c := range cs {
		total += c.limit
	}
	at := rng.IntN(total)
	for _, c := range cs {
		if at < c.limit {
			return c
		}
		at -= c.limit
	}
	return cs[len(cs)-1]
}

// crossZonePenalty is the wait that the own availability zone may have before a
// busy request goes to another one.
const crossZonePenalty = 100 * time.Millisecond

// shorterWait returns the best of the own availability zone, or the better of two
// peers if it waits shorter by more than crossZonePenalty.
func shorterWait(own, peers []candidate, prefix uint64, rng *rand.Rand) (candidate, bool) {
	switch {
	case len(own) == 0 && len(peers) == 0:
		return candidate{}, false
	case len(own) == 0:
		return betterOfTwo(peers, rng), true
	}
	near := betterOfTwo(own, rng)
	if prefix != 0 {
		near = affine(own, prefix)
	}
	if len(peers) == 0 {
		return near, true
	}
	far := betterOfTwo(peers, rng)
	if far.wait()+crossZonePenalty < near.wait() {
		return far, true
	}
	return near, true
}
