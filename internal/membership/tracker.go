package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// maxRetired is the number of replaced incarnations remembered for one name.
const maxRetired = 8

// Tracker keeps the beliefs about all peers of a process.
type Tracker struct {
	cfg   Config
	peers map[string]*record
}

// record is what was observed of the peer of one name.
type record struct {
	identity  message.Identity
	retired   []uint64 // earlier incarnations, oldest first
	lastHeard time.Time
	leaving   bool
	lost      bool // the link ended after lastHeard
	failures  int  // dispatches that failed in a row
	failedAt  time.Time
}

// New returns a Tracker that knows no peers.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg.withDefaults(), peers: map[string]*record{}}
}

// Heard records a sign of life of an incarnation and whether it is leaving.
// Leaving is final for an incarnation. An incarnation that was not seen before
// replaces the known one; frames of a replaced incarnation change nothing.
// Incarnations are random, so their order is that of their first sign of life.
func (t *Tracker) Heard(now time.Time, id message.Identity, leaving bool) {
	r := t.peers[id.Name]
	switch {
	case r == nil:
		r = &record{identity: id}
		t.peers[id.Name] = r
	case r.identity.Incarnation == id.Incarnation:
		r.identity = id
	case slices.Contains(r.retired, id.Incarnation):
		return
	default:
		r = r.replacedBy(id)
		t.peers[id.Name] = r
	}
	r.lastHeard = later(r.lastHeard, now)
	r.lost = false
	r.leaving = r.leaving || leaving
}

// replacedBy returns the record of a new incarnation.
func (r *record) replacedBy(id message.Identity) *record {
	retired := append(slices.Clone(r.retired), r.identity.Incarnation)
	if len(retired) > maxRetired {
		retired = retired[len(retired)-maxRetired:]
	}
	return &record{identity: id, retired: retired}
}

// Failed records that a dispatch to the peer failed without an answer from it.
func (t *Tracker) Failed(now time.Time, name string) {
	if r := t.peers[name]; r != nil {
		r.failures++
		r.failedAt = later(r.failedAt, now)
	}
}

// Succeeded records that a dispatch was answered.
func (t *Tracker) Succeeded(name string) {
	if r := t.peers[name]; r != nil {
		r.failures = 0
	}
}

// Lost records that the last link to the peer ended.
func (t *Tracker) Lost(name string) {
	if r := t.peers[name]; r != nil {
		r.lost = true
	}
}

// State returns the belief about one peer; ok is false for an unknown name.
func (t *Tracker) State(now time.Time, name string) (p Peer, ok bool) {
	r := t.peers[name]
	if r == nil {
		return Peer{}, false
	}
	return t.judge(now, r), true
}

// States returns the beliefs about all peers, sorted by name, and forgets peers
// that were silent for the forget timeout.
func (t *Tracker) States(now time.Time) []Peer {
	peers := make([]Peer, 0, len(t.peers))
	for name, r := range t.peers {
		if now.Sub(r.lastHeard) >= t.cfg.ForgetAfter {
			delete(t.peers, name)
			continue
		}
		peers = append(peers, t.judge(now, r))
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Identity.Name, b.Identity.Name) })
	return peers
}

func (t *Tracker) judge(now time.Time, r *record) Peer {
	silence := max(now.Sub(r.lastHeard), 0)
	p := Peer{Identity: r.identity, Silence: silence}
	switch {
	case silence >= t.cfg.DeadAfter:
		p.State, p.Reason = Dead, ReasonSilent
	case r.leaving:
		p.State, p.Reason = Leaving, ReasonAnnounced
	case r.lost:
		p.State, p.Reason = Suspect, ReasonLinkLost
	case silence >= t.cfg.SuspectAfter:
		p.State, p.Reason = Suspect, ReasonSilent
	case r.failures >= t.cfg.FailureLimit && now.Sub(r.failedAt) < t.cfg.FailureHold:
		p.State, p.Reason = Suspect, ReasonFailures
	default:
		p.State, p.Reason = Live, ReasonHeard
	}
	return p
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
