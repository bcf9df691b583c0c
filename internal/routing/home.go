package routing

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pickHome chooses the home agent of r's idempotency key: the agent with the
// highest rendezvous score among all usable ones of the pool, in any
// availability zone. Entries whose views differ may choose differently; the
// claim's conditional update keeps that safe.
func (s *Snapshot) pickHome(p *Pool, r Request, rng *rand.Rand) (Choice, bool) {
	key := keyHash(r)
	var best Choice
	var highest uint64
	consider := func(agent string, c Choice) {
		score := rendezvous(key, agent)
		if best.Destination == ToNobody || score > highest {
			best, highest = c, score
		}
	}
	for i := range p.Targets {
		t := &p.Targets[i]
		if !s.Drained && t.Usable() && !slices.Contains(r.Excluded, t.Agent) {
			consider(t.Agent, Choice{Destination: ToAgent, Target: t})
		}
	}
	if r.Hops < MaxHops {
		for _, t := range p.Remote {
			if peer := p.peerIn(t.AvailabilityZone, r.Excluded, rng); peer != nil {
				consider(t.Agent, Choice{Destination: ToPeer, Peer: peer})
			}
		}
	}
	return best, best.Destination != ToNobody
}

// peerIn returns a usable peer of an availability zone, or nil.
func (p *Pool) peerIn(zone string, excluded []string, rng *rand.Rand) *Peer {
	var found *Peer
	seen := 0
	for i := range p.Peers {
		peer := &p.Peers[i]
		if peer.AvailabilityZone != zone || !peer.usable() || slices.Contains(excluded, peer.Entry) {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			found = peer
		}
	}
	return found
}

// keyHash returns the hash of organisation, service and key.
func keyHash(r Request) uint64 {
	return xxhash.Sum64String(r.Organisation + "\x00" + r.Service + "\x00" + r.IdempotencyKey)
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
