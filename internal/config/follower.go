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
	// tickInterval is the time between two Ticks.
	tickInterval = 200 * time.Millisecond
	// watchersPerZone is the number of entries of an availability zone that watch
	// the platform.
	watchersPerZone = 2
	// pollInterval is the time between two reads of the head by a watcher; it bounds
	// the harm of a missed watch event.
	pollInterval = 2 * time.Second
	// idleReadInterval is the mean time between two reads of the head by a process
	// that does not watch.
	idleReadInterval = 30 * time.Second
	// firstReadInterval is the time between two reads by a process without a configuration.
	firstReadInterval = 2 * time.Second
	// maxReadBackoff bounds the time between two reads that fail.
	maxReadBackoff = 5 * time.Second
	// startGrace is the time in which a starting process waits for its neighbours.
	startGrace = 300 * time.Millisecond
	// watchWait is the longest wait of one watch call.
	watchWait = 10 * time.Second
	// watchPause is the least time between two watch calls.
	watchPause = 100 * time.Millisecond
	// callTimeout bounds a call to the platform, a watch's wait not counted.
	callTimeout = 3 * time.Second
	// peerTimeout bounds the wait for a peer's answer.
	peerTimeout = 500 * time.Millisecond
	// maxPeerAsks is the number of asked peers after which a process reads for itself.
	maxPeerAsks = 3
	// helpGrace is the time in which a peer that is behind may catch up by itself;
	// it doubles up to maxHelpWait as long as the peer stays at its revision.
	helpGrace   = 250 * time.Millisecond
	maxHelpWait = time.Minute
	// maxAnswerSize bounds the files in one answer to a peer in bytes, so that requests
	// on the same link do not wait for long; a single larger file is sent alone.
	maxAnswerSize = 256 << 10
	// fanout is the number of peers to which a new revision is announced.
	fanout = 4
	// budgetRate, for watchers watcherRate, and budgetBurst bound the calls to the
	// platform, per second.
	budgetRate  = 1.0
	watcherRate = 4.0
	budgetBurst = 8.0
)

// FollowerOptions are the fixed properties of a Follower's process.
type FollowerOptions struct {
	// Name is the instance's name.
	Name string
	// Entry tells that the process is an entry; only entries watch the platform.
	Entry bool
	// Seed seeds the choice of peers and the spread of reads.
	Seed uint64
}

// Follower decides how one process follows the configuration. It is a pure state
// machine: it does no I/O and reads no clock. It is not safe for concurrent use.
//
// Two entries of each availability zone watch the platform. A process that puts a
// new revision in force announces it to a few peers, which fetch the files that
// they lack from it. The revisions in heartbeats tell the rest: a process asks a
// peer that is ahead, and sends its head to a peer that stays behind. A revision is put in force only if it
// is higher than the one in force and its files are whole and merge without a
// problem, so that no late answer brings an old revision back.
type Follower struct {
	opts   FollowerOptions
	random *rand.Rand
	now    time.Duration
	out    []Effect

	active    *Head
	activeRaw []byte
	// activated is when the revision in force came into force.
	activated time.Duration
	contents  contentStore
	pending   *pendingHead
	// rejected is the last head that did not merge here, and diverged the last one
	// that had the revision in force but other contents.
	rejected refusedHead
	diverged refusedHead

	peers   map[string]*followerPeer
	entries []string

	read  readState
	watch watchState
	ask   askState

	tokens   float64
	refilled time.Duration
}

// refusedHead identifies a head that was not put in force.
type refusedHead struct {
	digest   string
	revision uint64
}

// followerPeer is what is known of a linked process.
type followerPeer struct {
	revision uint64
	// nextHelp is when a peer that stays behind is sent the head, and helpWait the
	// time to the next time after that.
	nextHelp, helpWait time.Duration
}

// NewFollower returns the Follower of a process that starts at now.
func NewFollower(opts FollowerOptions, now time.Duration) *Follower {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(opts.Name))
	f := &Follower{
		opts: opts, random: rand.New(rand.NewPCG(opts.Seed, hash.Sum64())),
		contents: contentStore{}, peers: map[string]*followerPeer{},
		now: now, refilled: now, tokens: budgetBurst,
	}
	f.read.next = now + startGrace + f.jitter(peerTimeout)
	return f
}

// Step handles one event at the monotonic time now and returns what is to be done.
func (f *Follower) Step(now time.Duration, ev Event) []Effect {
	f.now, f.out = now, nil
	f.handle(ev)
	f.electWatcher()
	f.fetchPending()
	f.askPeer()
	f.readHead()
	f.watchHead()
	return f.out
}

func (f *Follower) handle(ev Event) {
	switch e := ev.(type) {
	case PeerUp:
		f.peers[e.Peer] = &followerPeer{}
	case PeerDown:
		delete(f.peers, e.Peer)
	case LiveEntries:
		f.entries = slices.Clone(e.Names)
	case PeerRevision:
		f.noteRevision(e.Peer, e.Revision)
		f.helpPeer(e.Peer)
	case PeerHead:
		f.peerHead(e)
	case PeerFetch:
		f.answerFetch(e)
	case PeerFiles:
		f.peerFiles(e)
	case HeadRead:
		f.headRead(e)
	case FilesRead:
		f.filesRead(e)
	case WatchEnded:
		f.watchEnded(e)
	}
}

// Revision returns the revision in force, zero if there is none.
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
	// Watcher tells that the process watches the platform.
	Watcher bool `json:"watcher"`
	Peers   int  `json:"peers"`
	// HighestPeer is the highest revision that a peer has in force.
	HighestPeer uint64 `json:"highest_peer"`
	// ReadFailures counts the reads of the platform that failed in a row.
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

// known returns the highest revision that is in force or being fetched.
func (f *Follower) known() uint64 {
	if f.pending != nil {
		return f.pending.head.Revision
	}
	return f.Revision()
}

func (f *Follower) emit(e Effect) { f.out = append(f.out, e) }

// jitter returns a random duration below limit.
func (f *Follower) jitter(limit time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(limit)))
}

// peersWhere returns the names of peers that ok accepts, in a random order.
func (f *Follower) peersWhere(ok func(*followerPeer) bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(f.peers)) {
		if ok(f.peers[name]) {
			names = append(names, name)
		}
	}
	f.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// takeToken takes one call to the platform from the budget.
func (f *Follower) takeToken() bool {
	rate := budgetRate
	if f.watch.elected {
		rate = watcherRate
	}
	f.tokens = min(budgetBurst, f.tokens+(f.now-f.refilled).Seconds()*rate)
	f.refilled = f.now
	if f.tokens < 1 {
		return false
	}
	f.tokens--
	return true
}
