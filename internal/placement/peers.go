package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// peerTrust is the age up to which another gateway's word on its work counts.
const peerTrust = time.Second

// peerWork is the work that another gateway has at each target.
type peerWork struct {
	work map[uint32]int
	at   time.Duration
}

// Key shortens a target's id for messages among gateways. Two targets with one key
// only count as having the work of both.
func Key(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// PeerReported takes in the work that another gateway has at its targets; those that
// it doesn't name have none.
func (b *Balancer) PeerReported(now time.Duration, peer string, work map[uint32]int) {
	b.peers[peer] = peerWork{work: work, at: now}
}

// workOfPeers returns the work of the other gateways at a target, and whether any of
// them has reported lately.
func (b *Balancer) workOfPeers(now time.Duration, key uint32) (int, bool) {
	total, heard := 0, false
	for _, p := range b.peers {
		if now-p.at <= peerTrust {
			total += p.work[key]
			heard = true
		}
	}
	return total, heard
}

// Work returns the requests that this process has at each target that has any.
func (b *Balancer) Work() map[uint32]int {
	work := make(map[uint32]int, len(b.targets))
	for _, s := range b.targets {
		if s.inFlight > 0 {
			work[s.key] += s.inFlight
		}
	}
	return work
}
