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
	// fromPlatform is true if the head was read from the platform.
	fromPlatform bool
	// tried are the sources that were asked for the files: names of peers, or
	// platformSource.
	tried []string
	// deadline is when the Follower stops waiting for the source that was asked last.
	deadline time.Duration
}

// platformSource represents the platform in the list of tried sources.
const platformSource = ""

// acceptHead makes a head from a peer or from the platform the pending one if its
// revision is higher than the active and the pending one. It ignores the head that was
// rejected last.
func (f *Follower) acceptHead(raw []byte, fromPlatform bool) {
	if f.isActiveOrPending(raw) {
		return
	}
	h, err := DecodeHead(raw)
	if err != nil {
		f.emit(Report{Kind: ReportDamaged, Detail: err.Error()})
		return
	}
	f.checkDiverged(h, raw)
	if h.Revision <= f.latestRevision() || Digest(raw) == f.lastRejected.digest {
		return
	}
	f.pending = &pendingHead{head: h, raw: slices.Clone(raw), fromPlatform: fromPlatform}
}

// isActiveOrPending reports whether raw is the active or the pending head.
func (f *Follower) isActiveOrPending(raw []byte) bool {
	return f.active != nil && bytes.Equal(raw, f.activeRaw) || f.pending != nil && bytes.Equal(raw, f.pending.raw)
}

// checkDiverged reports, once, a different head with the active revision.
func (f *Follower) checkDiverged(h *Head, raw []byte) {
	if f.active == nil || h.Revision != f.active.Revision {
		return
	}
	digest := Digest(raw)
	if f.lastDiverged.digest == digest {
		return
	}
	f.lastDiverged = headID{digest, h.Revision}
	f.emit(Report{Kind: ReportDiverged, Revision: h.Revision, Detail: "received a different head with the active revision"})
}

// fetchPending activates the pending head once all its files are present. Otherwise it
// requests the missing files from the next source when the last one has timed out.
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
	f.requestFiles(p, missing)
}

// requestFiles requests missing files from the next source. For a head that was read
// from the platform, the platform is asked first, otherwise the peers that have the revision.
func (f *Follower) requestFiles(p *pendingHead, missing []FileRef) {
	platformTried := slices.Contains(p.tried, platformSource)
	if p.fromPlatform && !platformTried && f.readFilesFromPlatform(p, missing) {
		return
	}
	peers := f.peersWhere(func(peer *peerState) bool { return peer.revision >= p.head.Revision })
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
		f.readFilesFromPlatform(p, missing)
		return
	}
	p.tried = nil
	p.deadline = f.now + peerTimeout
}

// readFilesFromPlatform reads missing files from the platform if the budget allows it.
func (f *Follower) readFilesFromPlatform(p *pendingHead, missing []FileRef) bool {
	if !f.takeToken() {
		return false
	}
	p.tried = append(p.tried, platformSource)
	p.deadline = f.now + callTimeout
	f.emit(ReadFiles{Refs: missing})
	return true
}

// missing returns the files of h whose contents this process does not have.
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

// activate merges the files of the pending head and activates it if they are valid.
func (f *Follower) activate(p *pendingHead) {
	f.pending = nil
	c, problems := p.head.Build(f.contents.get)
	if len(problems) > 0 {
		f.lastRejected = headID{Digest(p.raw), p.head.Revision}
		f.emit(Report{Kind: ReportRejected, Revision: p.head.Revision, Detail: problems[0].String()})
		return
	}
	f.active, f.activeRaw, f.activatedAt = p.head, p.raw, f.now
	f.pruneContents()
	if !f.watch.elected {
		f.read.next = f.now + f.readInterval()
	}
	f.emit(Activate{Config: c})
	f.announce()
}

// pruneContents removes contents that the active head does not use.
func (f *Follower) pruneContents() {
	kept := contentStore{}
	for _, ref := range f.active.Files {
		kept[ref.Digest] = f.contents[ref.Digest]
	}
	f.contents = kept
}

// addFiles stores contents that the pending head lacks, and reports whether there were
// any. If files are still missing, the next source is asked without delay.
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

func (f *Follower) handlePeerFiles(e PeerFiles) {
	files := make([]File, 0, len(e.Files))
	for _, file := range e.Files {
		if Digest(file.Content) != file.Digest {
			f.emit(Report{Kind: ReportDamaged, Detail: "digest mismatch of a file from peer " + e.Peer})
			continue
		}
		files = append(files, File{Content: file.Content})
	}
	if f.addFiles(files) {
		// The peer may have omitted files to limit the answer's size; it may be asked again.
		f.pending.tried = slices.DeleteFunc(f.pending.tried, func(name string) bool { return name == e.Peer })
	}
}

func (f *Follower) handleFilesRead(e FilesRead) {
	if e.Err == nil {
		f.addFiles(e.Files)
		return
	}
	// The file objects of a replaced head are removed, so read the current head.
	f.read.next = min(f.read.next, f.now)
	if f.pending != nil {
		f.pending.deadline = f.now + f.jitter(peerTimeout)
	}
}
