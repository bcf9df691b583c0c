package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/claims"
)

// pickHome chooses among all usable agents of the pool, in any availability zone,
// by their rendezvous score for the claim partition of r's idempotency key. The
// highest one is the key's home agent. While the home has no free place, the next
// one with a free place is asked for it: partitions are few, so homes are loaded
// unevenly. Entries whose views differ may also choose differently; the claim's
// conditional update keeps both safe.
func (s *Snapshot) pickHome(p *Pool, r Request, rng *rand.Rand) (Choice, bool) {
	ranked := s.rankHomes(p, r, rng)
	if len(ranked) == 0 {
		return Choice{}, false
	}
	if len(r.Busy) < patientAttempts {
		for _, h := range ranked {
			if h.room() && !p.refusedBy(h.candidate, r.Busy) {
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

// home is a candidate with its rendezvous score.
type home struct {
	candidate
	score uint64
}

// rankHomes returns the usable candidates for r's key, the home agent first.
func (s *Snapshot) rankHomes(p *Pool, r Request, rng *rand.Rand) []home {
	key := homeHash(r)
	var homes []home
	for _, c := range s.ownCandidates(p, r, (*Target).Usable) {
		homes = append(homes, home{c, rendezvous(key, c.target.Agent)})
	}
	if r.Hops < MaxHops {
		for _, t := range p.Remote {
			if peer := p.peerIn(t.AvailabilityZone, r.Excluded, rng); peer != nil {
				c := candidate{guess: newGuess(&peer.Report, peer.Sent), peer: peer}
				homes = append(homes, home{c, rendezvous(key, t.Agent)})
			}
		}
	}
	slices.SortFunc(homes, func(a, b home) int { return cmp.Compare(b.score, a.score) })
	return homes
}

// refusedBy tells whether c, or for a peer any entry of its availability zone, is
// among names: entries of one zone ask the same agents.
func (p *Pool) refusedBy(c candidate, names []string) bool {
	if c.target != nil {
		return slices.Contains(names, c.target.Agent)
	}
	return p.zoneRefused(c.peer.AvailabilityZone, names)
}

func (p *Pool) zoneRefused(zone string, names []string) bool {
	return slices.ContainsFunc(p.Peers, func(peer Peer) bool {
		return peer.AvailabilityZone == zone && slices.Contains(names, peer.Entry)
	})
}

// peerIn returns a usable peer of an availability zone that has not refused, or nil.
func (p *Pool) peerIn(zone string, excluded []string, rng *rand.Rand) *Peer {
	if p.zoneRefused(zone, excluded) {
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

// homeHash returns the hash of the service and the key's claim partition, so that
// all keys of a partition are claimed by one agent and its writes do not conflict.
func homeHash(r Request) uint64 {
	key := claims.Key{Organisation: r.Organisation, Service: r.Service, IdempotencyKey: r.IdempotencyKey}
	partition := key.Partition(claims.DefaultPartitions)
	return xxhash.Sum64String(r.Service + "/" + strconv.FormatUint(uint64(partition), 10))
}

// rendezvous returns the score of name for key (Thaler and Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", 1998).
func rendezvous(key uint64, name string) uint64 {
	return mix(key ^ xxhash.Sum64String(name))
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
