package config

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// stepper is a Follower or a naive variant of one.
type stepper interface {
	Step(now time.Duration, ev Event) []Effect
	Revision() uint64
}

// sim runs followers on a simulated clock and network with a real publisher.
type sim struct {
	now         time.Duration
	seq         int
	timers      timerHeap
	random      *rand.Rand
	newFollower func(FollowerOptions, time.Duration) stepper
	store       *objectstore.Memory
	pub         *Publisher
	nodes       []*simNode

	platformDown    bool
	missWatchEvents bool
	// maxAnswerDelay is the maximum additional delay of the platform's answers.
	maxAnswerDelay time.Duration
	// partitioned contains the availability zones that are disconnected from the platform
	// and from the other zones.
	partitioned map[int]bool
	// newest is the newest accepted revision.
	newest        uint64
	platformCalls int
	bytesSent     int
	violations    []string
}

type simNode struct {
	name  string
	zone  int
	entry bool
	up    bool
	// frozen makes the node defer events until it is unfrozen.
	frozen   bool
	deferred []Event
	// incarnation is the number of starts; answers to earlier incarnations are dropped.
	incarnation   int
	f             stepper
	links         []*simNode
	highest       uint64
	platformCalls int
}

type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newSim returns a fleet whose entries link to all agents and entries of their zone
// and to some entries of the other zones.
func newSim(seed uint64, zoneCount, entries, agents int, newFollower func(FollowerOptions, time.Duration) stepper) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 7)), newFollower: newFollower, store: objectstore.New(), partitioned: map[int]bool{}}
	s.pub = &Publisher{Store: s.store}
	for z := range zoneCount {
		for i := range entries + agents {
			kind := "agent"
			if i < entries {
				kind = "entry"
			}
			s.nodes = append(s.nodes, &simNode{name: fmt.Sprintf("%s-%d-%d", kind, z, i), zone: z, entry: i < entries})
		}
	}
	for i, a := range s.nodes {
		for j, b := range s.nodes[:i] {
			same := a.zone == b.zone && (a.entry || b.entry)
			across := a.entry && b.entry && a.zone != b.zone && (i%entries+j%entries)%max(entries/2, 1) == 0
			if same || across {
				a.links, b.links = append(a.links, b), append(b.links, a)
			}
		}
	}
	for _, n := range s.nodes {
		s.after(s.randomDelay(500*time.Millisecond), func() { s.startNode(n) })
	}
	return s
}

func (s *sim) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit) + 1))
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.timers, timer{s.now + d, s.seq, run})
}

func (s *sim) runUntil(end time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= end {
		next := heap.Pop(&s.timers).(timer)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) startNode(n *simNode) {
	n.incarnation++
	n.up, n.highest = true, 0
	incarnation := n.incarnation
	n.f = s.newFollower(FollowerOptions{Name: n.name, Entry: n.entry, Seed: 1}, s.now)
	for _, peer := range n.links {
		if s.linked(n, peer) {
			s.deliver(n, PeerUp{peer.name})
			s.deliver(peer, PeerUp{n.name})
		}
	}
	s.sendLiveEntries(n.zone)
	var tick, heartbeat func()
	tick = func() {
		if n.incarnation == incarnation && n.up {
			s.step(n, Tick{})
			s.after(tickInterval, tick)
		}
	}
	heartbeat = func() {
		if n.incarnation == incarnation && n.up {
			s.heartbeat(n)
			s.after(time.Second, heartbeat)
		}
	}
	tick()
	s.after(s.randomDelay(time.Second), heartbeat)
}

func (s *sim) stopNode(n *simNode) {
	n.up = false
	for _, peer := range n.links {
		s.deliver(peer, PeerDown{n.name})
	}
	s.after(1500*time.Millisecond, func() { s.sendLiveEntries(n.zone) })
}

// sendLiveEntries sends the entries of a zone the list of its live entries.
func (s *sim) sendLiveEntries(zone int) {
	var live []string
	for _, n := range s.nodes {
		if n.zone == zone && n.entry && n.up {
			live = append(live, n.name)
		}
	}
	for _, n := range s.nodes {
		if n.zone == zone && n.entry {
			s.deliver(n, LiveEntries{live})
		}
	}
}

// heartbeat sends the node's revision to its linked entries; agents receive no heartbeats.
func (s *sim) heartbeat(n *simNode) {
	if n.frozen {
		return
	}
	for _, peer := range n.links {
		if !peer.entry {
			continue
		}
		s.send(n, peer, PeerRevision{n.name, n.f.Revision()})
	}
}

func (s *sim) linked(a, b *simNode) bool {
	return a.up && b.up && (a.zone == b.zone || !s.partitioned[a.zone] && !s.partitioned[b.zone])
}

func (s *sim) send(from, to *simNode, ev Event) {
	if s.linked(from, to) {
		s.deliver(to, ev)
	}
}

func (s *sim) deliver(to *simNode, ev Event) {
	incarnation := to.incarnation
	s.after(300*time.Microsecond+s.randomDelay(2*time.Millisecond), func() {
		if to.up && to.incarnation == incarnation {
			s.step(to, ev)
		}
	})
}

// step passes an event to a node and executes its effects.
func (s *sim) step(n *simNode, ev Event) {
	if n.frozen {
		if _, tick := ev.(Tick); !tick {
			n.deferred = append(n.deferred, ev)
		}
		return
	}
	for _, effect := range n.f.Step(s.now, ev) {
		switch e := effect.(type) {
		case Activate:
			if e.Config.Revision < n.highest {
				s.violations = append(s.violations, fmt.Sprintf("%v: %s reverted from %d to %d", s.now, n.name, n.highest, e.Config.Revision))
			}
			n.highest = max(n.highest, e.Config.Revision)
			s.heartbeat(n)
		case SendPeer:
			s.sendMessage(n, e)
		case ReadHead:
			s.call(n, s.randomDelay(s.maxAnswerDelay), func() Event { return ReadHeadFrom(context.Background(), s.store) }, HeadRead{Err: platform.ErrUnavailable})
		case ReadFiles:
			s.call(n, s.randomDelay(s.maxAnswerDelay), func() Event { return ReadFilesFrom(context.Background(), s.store, e) }, FilesRead{Err: platform.ErrUnavailable})
		case WatchHead:
			s.call(n, 0, func() Event { return nil }, WatchEnded{Err: platform.ErrUnavailable})
			s.pollWatch(n, n.incarnation, e, s.now+e.Wait)
		}
	}
}

func (s *sim) sendMessage(n *simNode, e SendPeer) {
	i := slices.IndexFunc(n.links, func(p *simNode) bool { return p.name == e.Peer })
	frame, _ := message.Encode(e.Message)
	s.bytesSent += len(frame)
	switch m := e.Message.(type) {
	case *message.ConfigHead:
		s.send(n, n.links[i], PeerHead{n.name, m.Head})
	case *message.ConfigFetch:
		s.send(n, n.links[i], PeerFetch{n.name, m.Digests})
	case *message.ConfigFiles:
		s.send(n, n.links[i], PeerFiles{n.name, m.Files})
	}
}

// call makes a call to the platform: it takes effect after 2 ms, and its answer, which
// shows the state at that time, arrives after a further delay.
func (s *sim) call(n *simNode, delay time.Duration, do func() Event, failed Event) {
	s.platformCalls++
	n.platformCalls++
	incarnation := n.incarnation
	answer := func(ev Event) {
		s.after(2*time.Millisecond+delay, func() {
			if ev != nil && n.up && n.incarnation == incarnation {
				s.step(n, ev)
			}
		})
	}
	s.after(2*time.Millisecond, func() {
		if s.platformDown || s.partitioned[n.zone] {
			answer(failed)
			return
		}
		answer(do())
	})
}

// pollWatch simulates a waiting watch call by polling the store.
func (s *sim) pollWatch(n *simNode, incarnation int, e WatchHead, end time.Duration) {
	s.after(50*time.Millisecond, func() {
		if !n.up || n.incarnation != incarnation || s.platformDown || s.partitioned[n.zone] {
			return
		}
		e.Wait = 0
		ended := WatchHeadFrom(context.Background(), s.store, e)
		if s.missWatchEvents && ended.Err == nil {
			ended.Value = nil
			e.Revision = ended.Revision
		}
		if ended.Value == nil && ended.Err == nil && s.now < end {
			s.pollWatch(n, incarnation, e, end)
			return
		}
		s.step(n, ended)
	})
}

// publish changes one file out of a folder of four, or drains an instance if mark is odd.
func (s *sim) publish(mark int) {
	files := zones("r0", "a", "b", "c", "d")
	files[mark/2%4] = zones(fmt.Sprint("m", mark), string(rune('a'+mark/2%4)))[0]
	var result *Result
	var err error
	if mark%2 == 0 {
		result, err = s.pub.Apply(context.Background(), Edit{Files: files})
	} else {
		result, err = s.pub.SetDrain(context.Background(), DrainChange{Scope: DrainInstance, Name: fmt.Sprint("x", mark), Drained: true})
	}
	if err != nil {
		s.violations = append(s.violations, err.Error())
		return
	}
	s.newest = result.Revision
}

func (s *sim) unfreeze(n *simNode) {
	n.frozen = false
	deferred := n.deferred
	n.deferred = nil
	for _, ev := range deferred {
		s.step(n, ev)
	}
}

// expectRevision records a violation for each running node with a lower revision.
func (s *sim) expectRevision(revision uint64) {
	for _, n := range s.nodes {
		if n.up && !n.frozen && n.f.Revision() < revision {
			s.violations = append(s.violations, fmt.Sprintf("%v: %s has revision %d, not %d", s.now, n.name, n.f.Revision(), revision))
		}
	}
}
