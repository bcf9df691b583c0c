package config

import (
	"bytes"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// askState is the state of asking peers for a higher head.
type askState struct {
	// deadline is when the asked peer is given up.
	deadline time.Duration
	// tries counts the peers asked in vain.
	tries int
}

// announce sends the head in force to a few peers that lack it.
func (f *Follower) announce() {
	behind := f.peersWhere(func(p *followerPeer) bool { return p.revision < f.active.Revision })
	for _, peer := range behind[:min(fanout, len(behind))] {
		f.sendHead(peer)
	}
}

func (f *Follower) sendHead(peer string) {
	f.emit(SendPeer{Peer: peer, Message: &message.ConfigHead{Head: f.activeRaw}})
}

// noteRevision records the revision that a peer has in force.
func (f *Follower) noteRevision(peer string, revision uint64) {
	p, ok := f.peers[peer]
	if !ok {
		return
	}
	if p.revision != revision {
		p.nextHelp, p.helpWait = 0, helpGrace
	}
	p.revision = revision
}

// helpPeer sends the head to a peer that has stayed behind.
func (f *Follower) helpPeer(peer string) {
	p, ok := f.peers[peer]
	if !ok || p.revision >= f.Revision() {
		return
	}
	if p.nextHelp == 0 {
		p.helpWait = helpGrace
		p.nextHelp = max(f.now, f.activated+helpGrace)
	}
	if f.now < p.nextHelp {
		return
	}
	p.nextHelp = f.now + p.helpWait
	p.helpWait = min(2*p.helpWait, maxHelpWait)
	f.sendHead(peer)
}

func (f *Follower) peerHead(e PeerHead) {
	f.adopt(e.Head, false)
	switch {
	case f.pending != nil && bytes.Equal(e.Head, f.pending.raw):
		f.noteRevision(e.Peer, f.pending.head.Revision)
	case f.active != nil && bytes.Equal(e.Head, f.activeRaw):
		f.noteRevision(e.Peer, f.active.Revision)
	default:
		f.peerDiffers(e)
	}
	if f.known() >= f.highestPeer() {
		f.ask = askState{}
	}
}

// peerDiffers notes the revision of a peer that has another head, and helps a peer
// that is behind.
func (f *Follower) peerDiffers(e PeerHead) {
	h, err := DecodeHead(e.Head)
	if err != nil {
		return
	}
	f.noteRevision(e.Peer, h.Revision)
	if h.Revision < f.Revision() {
		f.sendHead(e.Peer)
	}
}

// answerFetch sends the files that a peer asks for, or the head if it names none.
// Files that do not fit into one answer are left out; the peer asks again.
func (f *Follower) answerFetch(e PeerFetch) {
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

// askPeer asks one peer at a time for its head if it is higher than what is known.
// A process without a configuration asks any peer.
func (f *Follower) askPeer() {
	known := max(f.known(), f.rejected.revision)
	if f.now < f.ask.deadline || known > 0 && f.highestPeer() <= known {
		return
	}
	ahead := f.peersWhere(func(p *followerPeer) bool { return known == 0 || p.revision > known })
	if len(ahead) == 0 {
		return
	}
	f.ask.tries++
	f.ask.deadline = f.now + peerTimeout
	if f.ask.tries > maxPeerAsks {
		f.ask.tries = 0
		if known > 0 {
			f.read.next = min(f.read.next, f.now)
		}
	}
	f.emit(SendPeer{Peer: ahead[0], Message: &message.ConfigFetch{}})
}

// highestPeer returns the highest revision that a peer has in force.
func (f *Follower) highestPeer() uint64 {
	var highest uint64
	for _, p := range f.peers {
		highest = max(highest, p.revision)
	}
	return highest
}
