package config

import (
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Timing and limits of a Follower.
const (
	// tickInterval is the interval between two Tick events.
	tickInterval = 200 * time.Millisecond
	// watchersPerZone is the number of entries of each availability zone that watch
	// the platform.
	watchersPerZone = 2
	// pollInterval is the interval between two reads of the head by a watcher; it bounds
	// the delay that a missed watch event causes.
	pollInterval = 2 * time.Second
	// idleReadInterval is the mean interval between two reads of the head by a process
	// that does not watch.
	idleReadInterval = 30 * time.Second
	// firstReadInterval is the interval between two reads by a process without a configuration.
	firstReadInterval = 2 * time.Second
	// maxReadBackoff is the maximum to which failed reads extend the read interval; a
	// longer interval is not extended.
	maxReadBackoff = 5 * time.Second
	// startGrace is the time for which a starting process waits for its peers before its
	// first read of the platform.
	startGrace = 300 * time.Millisecond
	// watchWait is the maximum time for which one watch call waits.
	watchWait = 10 * time.Second
	// watchPause is the minimum time between the starts of two watch calls.
	watchPause = 100 * time.Millisecond
	// callTimeout bounds a call to the platform, not including the wait of a watch.
	callTimeout = 3 * time.Second
	// peerTimeout bounds the wait for the answer of a peer.
	peerTimeout = 500 * time.Millisecond
	// maxHeadRequests is the number of unanswered head requests to peers after which a
	// process reads the head from the platform.
	maxHeadRequests = 3
	// catchUpGrace is the time that a peer with an older revision has to catch up by
	// itself before it is sent the head. The time to the next send doubles up to
	// maxHeadInterval while the peer's revision does not change.
	catchUpGrace    = 250 * time.Millisecond
	maxHeadInterval = time.Minute
	// maxAnswerSize bounds the files in one answer to a peer, in bytes, so that requests
	// on the same link do not wait for long. A single larger file is sent alone.
	maxAnswerSize = 256 << 10
	// fanout is the number of peers to which a new revision is announced.
	fanout = 4
	// budgetRate is the maximum rate of calls to the platform per second, watcherRate
	// the rate for watchers, and budgetBurst the maximum number of calls at once.
	budgetRate  = 1.0
	watcherRate = 4.0
	budgetBurst = 8.0
)

// FollowerOptions are the fixed properties of a Follower's process.
type FollowerOptions struct {
	// Name is the instance's name.
	Name string
	// Entry is true if the process is an entry; only entries watch the platform.
	Entry bool
	// Seed seeds the random choice of peers and the jitter of reads.
	Seed uint64
}

// Follower decides how one process follows the configuration. It is a pure state
// machine: it does no I/O and reads no clock. It is not safe for concurrent use.
//
// Two entries of each availability zone watch the platform. A process that activates a
// new revision announces it to a few peers, which fetch the files that they lack from
// it. The revisions in heartbeats cover the remaining peers: a process requests the head
// of a peer that is ahead, and sends its own head to a peer that stays behind. A revision
// is activated only if it is higher than the active one and all its files are present,
// undamaged and merge without a problem, so that no late answer brings an old revision back.
type Follower struct {
	opts    FollowerOptions
	random  *rand.Rand
	now     time.Duration
	effects []Effect

	active    *Head
	activeRaw []byte
	// activatedAt is when the active revision was activated.
	activatedAt time.Duration
	contents    contentStore
	pending     *pendingHead
	// lastRejected is the last head whose files did not merge in this process, and
	// lastDiverged the last one that had the active revision but other contents.
	lastRejected headID
	lastDiverged headID

	peers       map[string]*peerState
	liveEntries []string

	read        readState
	watch       watchState
	headRequest headRequestState

	tokens     float64
	refilledAt time.Duration
}

// headID identifies a head that was not activated.
type headID struct {
	digest   string
	revision uint64
}

// peerState is the state of a linked process.
type peerState struct {
	revision uint64
	// nextHeadAt is when the head is next sent to the peer if it stays behind, and
	// headInterval the time from that to the following send.
	nextHeadAt, headInterval time.Duration
}

// NewFollower returns the Follower of a process that starts at now.
func NewFollower(opts FollowerOptions, now time.Duration) *Follower {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(opts.Name))
	f := &Follower{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, hash.Sum64())),
		contents: contentStore{}, peers: map[string]*peerState{},
		now: now, refilledAt: now, tokens: budgetBurst,
	}
	f.read.next = now + startGrace + f.jitter(peerTimeout)
	return f
}

// Step handles one event at the monotonic time now and returns the effects to execute.
func (f *Follower) Step(now time.Duration, ev Event) []Effect {
	f.now, f.effects = now, nil
	f.handle(ev)
	f.electWatcher()
	f.fetchPending()
	f.requestHead()
	f.readHead()
	f.watchHead()
	return f.effects
}

func (f *Follower) handle(ev Event) {
	switch e := ev.(type) {
	case PeerUp:
		f.peers[e.Peer] = &peerState{}
	case PeerDown:
		delete(f.peers, e.Peer)
	case LiveEntries:
		f.liveEntries = slices.Clone(e.Names)
	case PeerRevision:
		f.setPeerRevision(e.Peer, e.Revision)
		f.sendHeadIfBehind(e.Peer)
	case PeerHead:
		f.handlePeerHead(e)
	case PeerFetch:
		f.handlePeerFetch(e)
	case PeerFiles:
		f.handlePeerFiles(e)
	case HeadRead:
		f.handleHeadRead(e)
	case FilesRead:
		f.handleFilesRead(e)
	case WatchEnded:
		f.handleWatchEnded(e)
	}
}

// Revision returns the active revision, zero if there is none.
func (f *Follower) Revision() uint64 {
	if f.active == nil {
		return 0
	}
	return f.active.Revision
}

// FollowerState is the state of a Follower for the state dump.
type FollowerState struct {
	Revision uint64 `json:"revision"`
	// Pending is a higher revision whose files are being fetched, or zero.
	Pending uint64 `json:"pending"`
	// Watcher is true if the process watches the platform.
	Watcher bool `json:"watcher"`
	Peers   int  `json:"peers"`
	// HighestPeer is the highest active revision of a peer.
	HighestPeer uint64 `json:"highest_peer"`
	// ReadFailures is the number of consecutive failed reads of the platform.
	ReadFailures int `json:"read_failures"`
}

// State returns the state for the state dump.
func (f *Follower) State() FollowerState {
	s := FollowerState{
		Revision: f.Revision(), Watcher: f.watch.elected, Peers: len(f.peers),
		HighestPeer: f.highestPeer(), ReadFailures: f.read.failures,
	}
	if f.pending != nil {
		s.Pending = f.pending.head.Revision
	}
	return s
}

// latestRevision returns the pending revision, or the active one if none is pending.
func (f *Follower) latestRevision() uint64 {
	if f.pending != nil {
		return f.pending.head.Revision
	}
	return f.Revision()
}

func (f *Follower) emit(e Effect) { f.effects = append(f.effects, e) }

// jitter returns a random duration below limit.
func (f *Follower) jitter(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// peersWhere returns the names of peers that ok accepts, in a random order.
func (f *Follower) peersWhere(ok func(*peerState) bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		if ok(f.peers[name]) {
			names = append(names, name)
		}
	}
	f.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// takeToken takes one call to the platform from the budget; it returns false if the
// budget is used up.
func (f *Follower) takeToken() bool {
	rate := budgetRate
	if f.watch.elected {
		rate = watcherRate
	}
	f.tokens = min(budgetBurst, f.tokens+(f.now-f.refilledAt).Seconds()*rate)
	f.refilledAt = f.now
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}
