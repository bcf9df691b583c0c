package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/claims"
)

// pickHome chooses among all usable agents of the pool, in any availability zone, by their
// rendezvous score for the claim partition of r's idempotency key. The agent with the
// highest score is the key's home agent. While the home agent has no free slot, the next
// one with a free slot is chosen: partitions are few, so home agents are loaded unevenly.
// Entries with different snapshots may choose different agents; the conditional update of
// the claim keeps both safe.
func (s *Snapshot) pickHome(p *Pool, r Request, rng *rand.Rand) (Choice, bool) {
	ranked := s.rankHomes(p, r, rng)
	if len(ranked) == 0 {
		return Choice{}, false
	}
	if len(r.Busy) < shortWaitAttempts {
		for _, h := range ranked {
			if h.hasCapacity() && !p.listedIn(h.candidate, r.Busy) {
				c := h.choice()
				c.NoWait = true
				return c, true
			}
		}
	}
	if r.NoWait {
		return Choice{}, false
	}
	return ranked[0].choice(), true
}

// scoredCandidate is a candidate with its rendezvous score.
type scoredCandidate struct {
	candidate
	score uint64
}

// rankHomes returns the usable candidates for r's key, the home agent first.
func (s *Snapshot) rankHomes(p *Pool, r Request, rng *rand.Rand) []scoredCandidate {
	key := homeHash(r)
	var scored []scoredCandidate
	for _, c := range s.localCandidates(p, r, (*Target).Usable) {
		scored = append(scored, scoredCandidate{c, rendezvous(key, c.target.Agent)})
	}
	if r.Hops < MaxHops {
		for _, t := range p.Remote {
			if peer := p.peerIn(t.AvailabilityZone, r.Excluded, rng); peer != nil {
				c := candidate{estimate: newEstimate(&peer.Report, peer.Requests), peer: peer}
				scored = append(scored, scoredCandidate{c, rendezvous(key, t.Agent)})
			}
		}
	}
	slices.SortFunc(scored, func(a, b scoredCandidate) int { return cmp.Compare(b.score, a.score) })
	return scored
}

// listedIn reports whether c is among names. For a peer it reports whether any entry of the
// peer's availability zone is: entries of one zone send to the same agents.
func (p *Pool) listedIn(c candidate, names []string) bool {
	if c.target != nil {
		return slices.Contains(names, c.target.Agent)
	}
	return p.zoneListedIn(c.peer.AvailabilityZone, names)
}

func (p *Pool) zoneListedIn(zone string, names []string) bool {
	return slices.ContainsFunc(p.Peers, func(peer Peer) bool {
		return peer.AvailabilityZone == zone && slices.Contains(names, peer.Entry)
	})
}

// peerIn returns a random usable peer in zone. It returns nil if there is none, or if an
// entry of the zone is among excluded.
func (p *Pool) peerIn(zone string, excluded []string, rng *rand.Rand) *Peer {
	if p.zoneListedIn(zone, excluded) {
		return nil
	}
	var found *Peer
	seen := 0
	for i := range p.Peers {
		peer := &p.Peers[i]
		if peer.AvailabilityZone != zone || !peer.usable() {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			found = peer
		}
	}
	return found
}

// homeHash returns the hash of the service and the key's claim partition, so that one agent
// claims all keys of a partition and the writes of the partition do not conflict.
func homeHash(r Request) uint64 {
	key := claims.Key{Organisation: r.Organisation, Service: r.Service, IdempotencyKey: r.IdempotencyKey}
	partition := key.Partition(claims.DefaultPartitions)
	return xxhash.Sum64String(r.Service + "/" + strconv.FormatUint(uint64(partition), 10))
}

// rendezvous returns the score of name for key (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998).
func rendezvous(key uint64, name string) uint64 {
	return splitMix64(key ^ xxhash.Sum64String(name))
}

// splitMix64 is the finaliser of SplitMix64.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
