package config

import (
	"errors"
	"hash/fnv"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// readState is the state of reading the head from the platform.
type readState struct {
	// next is when the next read is due.
	next time.Duration
	// deadline is when a read in flight times out.
	deadline time.Duration
	// failures is the number of consecutive failed reads.
	failures int
}

// watchState is the state of watching the head in the platform.
type watchState struct {
	// elected is true if this process is one of the watchers of its availability zone.
	elected bool
	// revision is the store's revision from which the next watch begins; valid if ready.
	revision uint64
	ready    bool
	// next is when the next watch may begin.
	next time.Duration
	// deadline is when a watch in flight times out; zero if there is none.
	deadline time.Duration
}

// electWatcher decides by rendezvous hashing over the live entries whether this process
// watches. Processes with different views of the live entries may decide differently. For
// a while, more entries than watchersPerZone may then watch, which costs calls, or fewer,
// in which case the availability zone relies on heartbeats.
func (f *Follower) electWatcher() {
	elected := f.opts.Entry && f.watcherPosition() < watchersPerZone
	if elected && !f.watch.elected && f.active != nil {
		f.read.next = min(f.read.next, f.now+f.jitter(tickInterval))
	}
	f.watch.elected = elected
}

// watcherPosition returns the number of live entries that precede this one in the election.
func (f *Follower) watcherPosition() int {
	preceding := 0
	own := rendezvousWeight(f.opts.Name)
	for _, name := range f.liveEntries {
		weight := rendezvousWeight(name)
		if name != f.opts.Name && (weight > own || weight == own && name < f.opts.Name) {
			preceding++
		}
	}
	return preceding
}

// rendezvousWeight returns the weight of an entry in the election of watchers.
func rendezvousWeight(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte("config-watcher/" + name))
	weight := hash.Sum64()
	// FNV-1a alone orders names that differ only in their last byte by that byte, so mix
	// the bits further.
	weight ^= weight >> 33
	weight *= 0xff51afd7ed558ccd
	return weight ^ weight>>33
}

// readHead reads the head when it is due and the budget allows it.
func (f *Follower) readHead() {
	if f.now < f.read.next || f.now < f.read.deadline || !f.takeToken() {
		return
	}
	f.read.deadline = f.now + callTimeout
	f.read.next = f.now + f.readInterval()
	f.emit(ReadHead{})
}

// readInterval returns the time until the next read.
func (f *Follower) readInterval() time.Duration {
	interval := idleReadInterval
	switch {
	case f.watch.elected:
		interval = pollInterval
	case f.active == nil:
		interval = firstReadInterval
	}
	if f.read.failures > 0 && interval < maxReadBackoff {
		interval = min(maxReadBackoff, interval*time.Duration(1+f.read.failures))
	}
	if f.watch.elected {
		return interval
	}
	return interval/2 + f.jitter(interval)
}

func (f *Follower) handleHeadRead(e HeadRead) {
	f.read.deadline = 0
	if e.Err != nil {
		f.read.failures++
		return
	}
	f.read.failures = 0
	if f.watch.deadline == 0 {
		f.watch.revision, f.watch.ready = e.Revision, true
	}
	if e.Value != nil {
		f.acceptHead(e.Value, true)
	}
}

// watchHead begins a watch if this process is a watcher, no watch is in flight and the
// budget allows it.
func (f *Follower) watchHead() {
	if !f.watch.elected || !f.watch.ready || f.now < f.watch.next || f.now < f.watch.deadline || !f.takeToken() {
		return
	}
	f.watch.deadline = f.now + watchWait + callTimeout
	f.watch.next = f.now + watchPause
	f.emit(WatchHead{Revision: f.watch.revision, Wait: watchWait})
}

func (f *Follower) handleWatchEnded(e WatchEnded) {
	f.watch.deadline = 0
	switch {
	case errors.Is(e.Err, platform.ErrCompacted):
		f.watch.ready = false
		f.read.next = min(f.read.next, f.now)
	case e.Err != nil:
		f.watch.next = f.now + pollInterval
	default:
		f.watch.revision = e.Revision
	}
	if e.Value != nil {
		f.acceptHead(e.Value, true)
	}
}
