package config

import (
	"bytes"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// pendingHead is a head whose files are being fetched.
type pendingHead struct {
	head *Head
	raw  []byte
	// fromPlatform tells that the head was read from the platform.
	fromPlatform bool
	// tried are the sources that were asked; "" is the platform.
	tried []string
	// deadline is when the asked source is given up.
	deadline time.Duration
}

// platformSource stands for the platform in the list of tried sources.
const platformSource = ""

// adopt takes a head from a peer or from the platform if it is higher than all
// that is known.
func (f *Follower) adopt(raw []byte, fromPlatform bool) {
	if f.holds(raw) {
		return
	}
	h, err := DecodeHead(raw)
	if err != nil {
		f.emit(Report{Kind: ReportDamaged, Detail: err.Error()})
		return
	}
	f.checkDiverged(h, raw)
	if h.Revision <= f.known() || Digest(raw) == f.rejected.digest {
		return
	}
	f.pending = &pendingHead{head: h, raw: slices.Clone(raw), fromPlatform: fromPlatform}
}

// holds reports whether raw is the head in force or the one being fetched.
func (f *Follower) holds(raw []byte) bool {
	return f.active != nil && bytes.Equal(raw, f.activeRaw) || f.pending != nil && bytes.Equal(raw, f.pending.raw)
}

// checkDiverged reports, once, another head with the revision in force.
func (f *Follower) checkDiverged(h *Head, raw []byte) {
	if f.active == nil || h.Revision != f.active.Revision {
		return
	}
	digest := Digest(raw)
	if f.diverged.digest == digest {
		return
	}
	f.diverged = refusedHead{digest, h.Revision}
	f.emit(Report{Kind: ReportDiverged, Revision: h.Revision, Detail: "another head has the revision in force"})
}

// fetchPending puts the pending head in force once its files are there, and asks
// the next source for them otherwise.
func (f *Follower) fetchPending() {
	p := f.pending
	if p == nil {
		return
	}
	missing := f.missing(p.head)
	if len(missing) == 0 {
		f.activate(p)
		return
	}
	if f.now < p.deadline {
		return
	}
	f.askSource(p, missing)
}

// askSource asks the next source for missing files: the platform first for a head
// that came from there, else first the peers that have the revision.
func (f *Follower) askSource(p *pendingHead, missing []FileRef) {
	platformTried := slices.Contains(p.tried, platformSource)
	if p.fromPlatform && !platformTried && f.askPlatform(p, missing) {
		return
	}
	peers := f.peersWhere(func(peer *followerPeer) bool { return peer.revision >= p.head.Revision })
	for _, peer := range peers {
		if slices.Contains(p.tried, peer) {
			continue
		}
		p.tried = append(p.tried, peer)
		p.deadline = f.now + peerTimeout
		f.emit(SendPeer{Peer: peer, Message: &message.ConfigFetch{Digests: digests(missing)}})
		return
	}
	if !platformTried {
		f.askPlatform(p, missing)
		return
	}
	p.tried = nil
	p.deadline = f.now + peerTimeout
}

// askPlatform reads missing files from the platform if the budget allows it.
func (f *Follower) askPlatform(p *pendingHead, missing []FileRef) bool {
	if !f.takeToken() {
		return false
	}
	p.tried = append(p.tried, platformSource)
	p.deadline = f.now + callTimeout
	f.emit(ReadFiles{Refs: missing})
	return true
}

// missing returns the files of h whose contents are not here.
func (f *Follower) missing(h *Head) []FileRef {
	var refs []FileRef
	for _, ref := range h.Files {
		if _, ok := f.contents.get(ref.Digest); !ok {
			refs = append(refs, ref)
		}
	}
	return refs
}

func digests(refs []FileRef) []string {
	list := make([]string, 0, len(refs))
	for _, ref := range refs {
		list = append(list, ref.Digest)
	}
	return list
}

// activate merges the pending head and puts it in force.
func (f *Follower) activate(p *pendingHead) {
	f.pending = nil
	c, problems := p.head.Build(f.contents.get)
	if len(problems) > 0 {
		f.rejected = refusedHead{Digest(p.raw), p.head.Revision}
		f.emit(Report{Kind: ReportRejected, Revision: p.head.Revision, Detail: problems[0].String()})
		return
	}
	f.active, f.activeRaw, f.activated = p.head, p.raw, f.now
	f.forgetContents()
	if !f.watch.elected {
		f.read.next = f.now + f.readInterval()
	}
	f.emit(Activate{Config: c})
	f.announce()
}

// forgetContents drops contents that the head in force does not use.
func (f *Follower) forgetContents() {
	kept := contentStore{}
	for _, ref := range f.active.Files {
		kept[ref.Digest] = f.contents[ref.Digest]
	}
	f.contents = kept
}

// addFiles keeps contents that the pending head lacks and lets the next source be
// asked at once if some are still missing. It reports whether there were any.
func (f *Follower) addFiles(files []File) bool {
	if f.pending == nil {
		return false
	}
	wanted := digests(f.missing(f.pending.head))
	added := false
	for _, file := range files {
		digest := Digest(file.Content)
		if slices.Contains(wanted, digest) {
			f.contents[digest] = file.Content
			added = true
		}
	}
	f.pending.deadline = f.now
	return added
}

func (f *Follower) peerFiles(e PeerFiles) {
	files := make([]File, 0, len(e.Files))
	for _, file := range e.Files {
		if Digest(file.Content) != file.Digest {
			f.emit(Report{Kind: ReportDamaged, Detail: "file from " + e.Peer})
			continue
		}
		files = append(files, File{Content: file.Content})
	}
	if f.addFiles(files) {
		// The peer may have left files out; it may be asked again.
		f.pending.tried = slices.DeleteFunc(f.pending.tried, func(name string) bool { return name == e.Peer })
	}
}

func (f *Follower) filesRead(e FilesRead) {
	if e.Err == nil {
		f.addFiles(e.Files)
		return
	}
	// The objects of a head that has been replaced are removed; read the new one.
	f.read.next = min(f.read.next, f.now)
	if f.pending != nil {
		f.pending.deadline = f.now + f.jitter(peerTimeout)
	}
}
