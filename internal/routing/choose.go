package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// affinityBound is the utilisation, as a multiple of the mean, up to which a target gets the
// requests of its prefixes.
const affinityBound = 1.25

// pickFree chooses among the candidates with free capacity, those of the local availability
// zone first: the target that the prefix is assigned to, or the less loaded of two.
func pickFree(local, peers []candidate, r Request, rng *rand.Rand) (Choice, bool) {
	var best candidate
	targets, zones := withCapacity(local, r.Busy), withCapacity(peers, r.Busy)
	switch {
	case len(targets) > 0 && r.PrefixHash != 0:
		best = pickByAffinity(targets, r.PrefixHash)
	case len(targets) > 0:
		best = pickLessLoadedOfTwo(targets, rng)
	case len(zones) > 0:
		best = pickLessLoadedOfTwo(zones, rng)
	default:
		return Choice{}, false
	}
	c := best.choice()
	c.NoWait = true
	return c, true
}

// withCapacity returns the candidates that have free capacity by estimate and are not in
// busy.
func withCapacity(cs []candidate, busy []string) []candidate {
	free := notBusy(cs, busy)
	return slices.DeleteFunc(free, func(c candidate) bool { return !c.hasCapacity() })
}

// notBusy returns the candidates that are not in busy.
func notBusy(cs []candidate, busy []string) []candidate {
	free := make([]candidate, 0, len(cs))
	for _, c := range cs {
		if !slices.Contains(busy, c.choice().Name()) {
			free = append(free, c)
		}
	}
	return free
}

// pickByAffinity returns the candidate with the highest rendezvous score for prefix among
// those whose utilisation is at most affinityBound times the mean. The bound follows
// Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
func pickByAffinity(cs []candidate, prefix uint64) candidate {
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

// pickLessLoadedOfTwo draws two candidates, each with a probability in proportion to its
// limit, and returns the one with the lower utilisation. The draw keeps many entries that
// have the same outdated report from all choosing the same candidate.
func pickLessLoadedOfTwo(cs []candidate, rng *rand.Rand) candidate {
	a, b := pickWeighted(cs, rng), pickWeighted(cs, rng)
	if b.utilisation() < a.utilisation() {
		return b
	}
	return a
}

// pickWeighted draws one candidate with a probability in proportion to its limit.
func pickWeighted(cs []candidate, rng *rand.Rand) candidate {
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

// crossZonePenalty is the time by which the wait in the local availability zone must exceed
// the wait in another one before a request that has to wait goes there.
const crossZonePenalty = 100 * time.Millisecond

// pickShorterWait returns the best candidate of the local availability zone, or the less
// loaded of two peers if its expected wait is shorter by more than crossZonePenalty. It
// returns false if there is no candidate.
func pickShorterWait(local, peers []candidate, prefix uint64, rng *rand.Rand) (candidate, bool) {
	switch {
	case len(local) == 0 && len(peers) == 0:
		return candidate{}, false
	case len(local) == 0:
		return pickLessLoadedOfTwo(peers, rng), true
	}
	near := pickLessLoadedOfTwo(local, rng)
	if prefix != 0 {
		near = pickByAffinity(local, prefix)
	}
	if len(peers) == 0 {
		return near, true
	}
	far := pickLessLoadedOfTwo(peers, rng)
	if far.expectedWait()+crossZonePenalty < near.expectedWait() {
		return far, true
	}
	return near, true
}
