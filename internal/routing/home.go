package routing

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/gentiantrail/gentiantrail/internal/claims"
)

// pickHome chooses the home agent of r's idempotency key: the agent with the
// highest rendezvous score for the key's claim partition among all usable ones of the pool, in any
// availability zone. Entries whose views differ may choose differently; the
// claim's conditional update keeps that safe.
func (s *Snapshot) pickHome(p *Pool, r Request, rng *rand.Rand) (Choice, bool) {
	home := homeHash(r)
	var best Choice
	var highest uint64
	consider := func(agent string, c Choice) {
		score := rendezvous(home, agent)
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
