package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// maxRetired is the maximum number of replaced incarnations that are stored for one
// name.
const maxRetired = 8

// Tracker tracks the states of all peers of a process.
type Tracker struct {
	cfg   Config
	peers map[string]*peerRecord
}

// peerRecord contains the observations of the peer of one name.
type peerRecord struct {
	identity    message.Identity
	retired     []uint64 // earlier incarnations, oldest first
	lastSeen    time.Time
	leaving     bool
	linkLost    bool // the link ended after lastSeen
	failures    int  // consecutive failed dispatches
	lastFailure time.Time
}

// New returns a Tracker without peers.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), peers: map[string]*peerRecord{}}
}

// RecordActivity records a sign of life of an incarnation, such as a heartbeat or a
// new link, and whether the incarnation is leaving. Leaving is final for an
// incarnation. An incarnation that was not seen before replaces the current one, and
// signs of life of a replaced incarnation have no effect. Incarnation numbers are
// random, so incarnations are ordered by their first sign of life.
func (t *Tracker) RecordActivity(now time.Time, id message.Identity, leaving bool) {
	r := t.peers[id.Name]
	switch {
	case r == nil:
		r = &peerRecord{identity: id}
		t.peers[id.Name] = r
	case r.identity.Incarnation == id.Incarnation:
		r.identity = id
	case slices.Contains(r.retired, id.Incarnation):
		return
	default:
		r = r.replacementRecord(id)
		t.peers[id.Name] = r
	}
	r.lastSeen = latest(r.lastSeen, now)
	r.linkLost = false
	r.leaving = r.leaving || leaving
}

// replacementRecord returns the record of a new incarnation.
func (r *peerRecord) replacementRecord(id message.Identity) *peerRecord {
	retired := append(slices.Clone(r.retired), r.identity.Incarnation)
	if len(retired) > maxRetired {
		retired = retired[len(retired)-maxRetired:]
	}
	return &peerRecord{identity: id, retired: retired}
}

// RecordFailure records that a dispatch to the peer failed without an answer from the
// peer.
func (t *Tracker) RecordFailure(now time.Time, name string) {
	if r := t.peers[name]; r != nil {
		r.failures++
		r.lastFailure = latest(r.lastFailure, now)
	}
}

// RecordSuccess records that the peer answered a dispatch.
func (t *Tracker) RecordSuccess(name string) {
	if r := t.peers[name]; r != nil {
		r.failures = 0
	}
}

// RecordLinkLoss records that the last link to the peer ended.
func (t *Tracker) RecordLinkLoss(name string) {
	if r := t.peers[name]; r != nil {
		r.linkLost = true
	}
}

// State returns the state of one peer; ok is false for an unknown name.
func (t *Tracker) State(now time.Time, name string) (p Peer, ok bool) {
	r := t.peers[name]
	if r == nil {
		return Peer{}, false
	}
	return t.evaluate(now, r), true
}

// States returns the states of all peers, sorted by name, and removes peers that
// were silent for Config.ForgetAfter.
func (t *Tracker) States(now time.Time) []Peer {
	peers := make([]Peer, 0, len(t.peers))
	for name, r := range t.peers {
		if now.Sub(r.lastSeen) >= t.cfg.ForgetAfter {
			delete(t.peers, name)
			continue
		}
		peers = append(peers, t.evaluate(now, r))
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Identity.Name, b.Identity.Name) })
	return peers
}

func (t *Tracker) evaluate(now time.Time, r *peerRecord) Peer {
	silence := max(now.Sub(r.lastSeen), 0)
	p := Peer{Identity: r.identity, Silence: silence}
	switch {
	case silence >= t.cfg.DeadAfter:
		p.State, p.Reason = Dead, ReasonSilent
	case r.leaving:
		p.State, p.Reason = Leaving, ReasonAnnounced
	case r.linkLost:
		p.State, p.Reason = Suspect, ReasonLinkLost
	case silence >= t.cfg.SuspectAfter:
		p.State, p.Reason = Suspect, ReasonSilent
	case r.failures >= t.cfg.FailureLimit && now.Sub(r.lastFailure) < t.cfg.FailureHold:
		p.State, p.Reason = Suspect, ReasonFailures
	default:
		p.State, p.Reason = Live, ReasonActive
	}
	return p
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
