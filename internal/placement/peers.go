package placement

import "time"

// peerTrust is the age up to which another gateway's word on its work counts.
const peerTrust = time.Second

// peerWork is the work that another gateway has at each target.
type peerWork struct {
	work map[string]int
	at   time.Duration
}

// PeerReported takes in the work that another gateway has at its targets; those that
// it doesn't name have none.
func (b *Balancer) PeerReported(now time.Duration, peer string, work map[string]int) {
	b.peers[peer] = peerWork{work: work, at: now}
}

// workOfPeers returns the work of the other gateways at a target, and whether any of
// them has reported lately.
func (b *Balancer) workOfPeers(now time.Duration, id string) (int, bool) {
	total, heard := 0, false
	for _, p := range b.peers {
		if now-p.at <= peerTrust {
			total += p.work[id]
			heard = true
		}
	}
	return total, heard
}

// Work returns the requests that this process has at each target that has any.
func (b *Balancer) Work() map[string]int {
	work := make(map[string]int, len(b.targets))
	for id, s := range b.targets {
		if s.inFlight > 0 {
			work[id] = s.inFlight
		}
	}
	return work
}
