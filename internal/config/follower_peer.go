package config

import (
	"bytes"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// headRequestState is the state of the requests to peers for a higher head.
type headRequestState struct {
	// deadline is when the Follower stops waiting for the peer that was asked last.
	deadline time.Duration
	// attempts is the number of requests without success.
	attempts int
}

// announce sends the active head to a few peers that lack it.
func (f *Follower) announce() {
	behind := f.peersWhere(func(p *peerState) bool { return p.revision < f.active.Revision })
	for _, peer := range behind[:min(fanout, len(behind))] {
		f.sendHead(peer)
	}
}

func (f *Follower) sendHead(peer string) {
	f.emit(SendPeer{Peer: peer, Message: &message.ConfigHead{Head: f.activeRaw}})
}

// setPeerRevision records the active revision of a peer.
func (f *Follower) setPeerRevision(peer string, revision uint64) {
	p, ok := f.peers[peer]
	if !ok {
		return
	}
	if p.revision != revision {
		p.nextHeadAt, p.headInterval = 0, catchUpGrace
	}
	p.revision = revision
}

// sendHeadIfBehind sends the head to a peer that did not catch up by itself in time.
func (f *Follower) sendHeadIfBehind(peer string) {
	p, ok := f.peers[peer]
	if !ok || p.revision >= f.Revision() {
		return
	}
	if p.nextHeadAt == 0 {
		p.headInterval = catchUpGrace
		p.nextHeadAt = max(f.now, f.activatedAt+catchUpGrace)
	}
	if f.now < p.nextHeadAt {
		return
	}
	p.nextHeadAt = f.now + p.headInterval
	p.headInterval = min(2*p.headInterval, maxHeadInterval)
	f.sendHead(peer)
}

func (f *Follower) handlePeerHead(e PeerHead) {
	f.acceptHead(e.Head, false)
	switch {
	case f.pending != nil && bytes.Equal(e.Head, f.pending.raw):
		f.setPeerRevision(e.Peer, f.pending.head.Revision)
	case f.active != nil && bytes.Equal(e.Head, f.activeRaw):
		f.setPeerRevision(e.Peer, f.active.Revision)
	default:
		f.handleDifferentHead(e)
	}
	if f.latestRevision() >= f.highestPeer() {
		f.headRequest = headRequestState{}
	}
}

// handleDifferentHead records the revision of a peer that has another head, and sends
// the active head to a peer that is behind.
func (f *Follower) handleDifferentHead(e PeerHead) {
	h, err := DecodeHead(e.Head)
	if err != nil {
		return
	}
	f.setPeerRevision(e.Peer, h.Revision)
	if h.Revision < f.Revision() {
		f.sendHead(e.Peer)
	}
}

// handlePeerFetch sends the files that a peer requests, or the head if it requests none.
// Files that do not fit into one answer are omitted; the peer requests them again.
func (f *Follower) handlePeerFetch(e PeerFetch) {
	if f.active == nil {
		return
	}
	if len(e.Digests) == 0 {
		f.sendHead(e.Peer)
		return
	}
	answer, size := &message.ConfigFiles{}, 0
	for _, digest := range e.Digests {
		content, ok := f.contents.get(digest)
		if !ok {
			continue
		}
		size += len(content)
		if size > maxAnswerSize && len(answer.Files) > 0 {
			break
		}
		answer.Files = append(answer.Files, message.ConfigFile{Digest: digest, Content: content})
	}
	f.emit(SendPeer{Peer: e.Peer, Message: answer})
}

// requestHead requests the head of a peer whose revision is higher than the known ones,
// from one peer at a time. A process without a configuration asks any peer.
func (f *Follower) requestHead() {
	known := max(f.latestRevision(), f.lastRejected.revision)
	if f.now < f.headRequest.deadline || known > 0 && f.highestPeer() <= known {
		return
	}
	ahead := f.peersWhere(func(p *peerState) bool { return known == 0 || p.revision > known })
	if len(ahead) == 0 {
		return
	}
	f.headRequest.attempts++
	f.headRequest.deadline = f.now + peerTimeout
	if f.headRequest.attempts > maxHeadRequests {
		f.headRequest.attempts = 0
		if known > 0 {
			f.read.next = min(f.read.next, f.now)
		}
	}
	f.emit(SendPeer{Peer: ahead[0], Message: &message.ConfigFetch{}})
}

// highestPeer returns the highest active revision of a peer.
func (f *Follower) highestPeer() uint64 {
	var highest uint64
	for _, p := range f.peers {
		highest = max(highest, p.revision)
	}
	return highest
}
