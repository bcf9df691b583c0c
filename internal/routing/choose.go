package routing

import (
	"math"
	"math/rand/v2"
)

// affinityBound is the utilisation, in means, up to which a target keeps its prefixes.
const affinityBound = 1.25

// pickTarget chooses among the targets with room: the one that the prefix
// belongs to, or the better of two. Ref. for the bound: Mirrokni, Thorup and
// Zadimoghaddam, "Consistent Hashing with Bounded Loads", SODA 2018.
func pickTarget(cs []candidate, prefix uint64, rng *rand.Rand) (Choice, bool) {
	open := withRoom(cs)
	if len(open) == 0 {
		return Choice{}, false
	}
	if prefix != 0 {
		return affine(open, prefix).choice(), true
	}
	return betterOfTwo(open, rng).choice(), true
}

// pickPeer chooses among the peers whose availability zone has room.
func pickPeer(cs []candidate, rng *rand.Rand) (Choice, bool) {
	open := withRoom(cs)
	if len(open) == 0 {
		return Choice{}, false
	}
	return betterOfTwo(open, rng).choice(), true
}

func withRoom(cs []candidate) []candidate {
	open := make([]candidate, 0, len(cs))
	for _, c := range cs {
		if c.room() {
			open = append(open, c)
		}
	}
	return open
}

// affine returns the candidate with the highest rendezvous score for prefix
// among those that are within affinityBound of the mean utilisation.
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

// shortestWait returns the candidate with the shortest expected wait.
func shortestWait(groups ...[]candidate) (candidate, bool) {
	var best candidate
	found := false
	for _, cs := range groups {
		for _, c := range cs {
			if !found || c.wait() < best.wait() {
				best, found = c, true
			}
		}
	}
	return best, found
}
