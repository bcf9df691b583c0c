// Package configlink connects a config.Driver to the links of a process: it handles the
// configuration messages among the events of a link.Handler, and notifies the Driver of
// the linked peers and their active revisions.
package configlink

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// Options are the settings of a Follower and its connections to its process.
type Options struct {
	// Identity is the identity of this process.
	Identity message.Identity
	// Store is the platform's store.
	Store platform.Store
	// Apply activates a configuration. Its revision is higher than in all earlier calls.
	Apply func(*config.Index)
	// Report receives events for the log.
	Report func(config.Report)
}

// Follower follows the configuration over the platform and the links.
type Follower struct {
	identity message.Identity
	driver   *config.Driver

	mu    sync.Mutex
	peers map[string][]link.Peer
}

// New returns a Follower; Run starts it.
func New(opts Options) *Follower {
	f := &Follower{identity: opts.Identity, peers: map[string][]link.Peer{}}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(opts.Identity.Name))
	f.driver = config.NewDriver(config.DriverOptions{
		Follower: config.FollowerOptions{
			Name: opts.Identity.Name, Entry: opts.Identity.Role == message.RoleEntry,
			Seed: opts.Identity.Incarnation ^ seed.Sum64(),
		},
		Store: opts.Store, Send: f.send, Apply: opts.Apply, Report: opts.Report,
	})
	return f
}

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) { f.driver.Run(ctx) }

// State returns the state for the state dump.
func (f *Follower) State() config.FollowerState { return f.driver.State() }

// Wrap returns a Handler that handles the configuration's messages and passes all
// other events on to next.
func (f *Follower) Wrap(next link.Handler) link.Handler { return &handler{f, next} }

// send sends m over the first open link to the peer.
func (f *Follower) send(peer string, m message.Message) {
	f.mu.Lock()
	links := slices.Clone(f.peers[peer])
	f.mu.Unlock()
	for _, l := range links {
		if l.Send(m) == nil {
			return
		}
	}
}

// addPeer records a link and notifies the Driver of the peer.
func (f *Follower) addPeer(p link.Peer) {
	name := p.Identity().Name
	f.mu.Lock()
	f.peers[name] = append(f.peers[name], p)
	entries := f.localEntries()
	f.mu.Unlock()
	f.driver.Post(config.PeerUp{Peer: name})
	f.driver.Post(config.LiveEntries{Names: entries})
}

// removePeer removes a link and notifies the Driver if it was the last one to the peer.
func (f *Follower) removePeer(p link.Peer) {
	name := p.Identity().Name
	f.mu.Lock()
	f.peers[name] = slices.DeleteFunc(f.peers[name], func(l link.Peer) bool { return l == p })
	lastLink := len(f.peers[name]) == 0
	if lastLink {
		delete(f.peers, name)
	}
	entries := f.localEntries()
	f.mu.Unlock()
	if lastLink {
		f.driver.Post(config.PeerDown{Peer: name})
		f.driver.Post(config.LiveEntries{Names: entries})
	}
}

// localEntries returns the names of the linked entries of the local availability zone.
// The caller holds f.mu.
func (f *Follower) localEntries() []string {
	var names []string
	for name, links := range f.peers {
		id := links[0].Identity()
		if id.Role == message.RoleEntry && id.AvailabilityZone == f.identity.AvailabilityZone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
