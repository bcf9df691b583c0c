package claims

import (
	"context"
	"encoding/binary"
	"sort"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// partitionEntry is a partition together with the callers that wait for its answers.
type partitionEntry struct {
	*Partition
	service string
	number  uint32
	waiting map[uint64]*claimCall
}

// loop is the state of Run.
type loop struct {
	*Service
	partitions map[string]*partitionEntry
	flushes    []flushCall
	timer      *time.Timer
	// ctx is the parent context of the store calls.
	ctx context.Context
}

// Run runs the partitions until ctx ends. It must be called only once.
func (s *Service) Run(ctx context.Context) {
	defer close(s.done)
	l := &loop{Service: s, partitions: make(map[string]*partitionEntry), timer: time.NewTimer(time.Hour), ctx: ctx}
	defer l.timer.Stop()
	for {
		l.setTimer()
		select {
		case m := <-s.inbox:
			l.handle(m)
		case <-l.timer.C:
			l.tick()
		case <-ctx.Done():
			return
		}
		l.answerFlushes()
	}
}

func (l *loop) handle(m any) {
	switch m := m.(type) {
	case *claimCall:
		p := l.partition(m.key.Service, m.key.Partition(l.cfg.Partitions))
		p.waiting[m.event.ID] = m
		l.step(p, m.event)
	case cancelCall:
		p := l.partition(m.call.key.Service, m.call.key.Partition(l.cfg.Partitions))
		l.step(p, CancelEvent{ID: m.call.event.ID})
	case outcomeCall:
		l.step(l.partition(m.token.service, m.token.partition), m.event)
	case storeAnswer:
		l.step(m.partition, m.event)
	case flushCall:
		l.flushes = append(l.flushes, m)
	case statsCall:
		m.reply <- l.stats()
	}
}

// partition returns the given partition and creates it at its first use.
func (l *loop) partition(service string, number uint32) *partitionEntry {
	name := partitionName(service, number)
	p := l.partitions[name]
	if p == nil {
		seed := binary.BigEndian.Uint64(l.owner[:8]) + uint64(number)
		p = &partitionEntry{
			Partition: NewPartition(l.cfg, name, l.owner, seed),
			service:   service, number: number,
			waiting: make(map[uint64]*claimCall),
		}
		l.partitions[name] = p
	}
	return p
}

// step passes e to p and executes the effects.
func (l *loop) step(p *partitionEntry, e Event) {
	for _, effect := range p.Step(time.Since(l.start), e) {
		switch effect := effect.(type) {
		case StoreEffect:
			go l.callStore(p, effect)
		case AnswerEffect:
			l.answer(p, effect)
		}
	}
}

func (l *loop) answer(p *partitionEntry, a AnswerEffect) {
	c := p.waiting[a.ID]
	delete(p.waiting, a.ID)
	r := claimReply{result: a.Result, err: a.Err}
	if a.Result.Status == Claimed {
		r.result.Token = Token{service: p.service, partition: p.number, key: c.event.Key, seq: a.Seq}
		r.result.RunBefore = l.start.Add(a.RunBefore)
	}
	c.reply <- r
}

// callStore executes one store call and passes its result to the loop.
func (l *loop) callStore(p *partitionEntry, e StoreEffect) {
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.CallTimeout)
	defer cancel()
	var a StoreEvent
	switch e.Method {
	case MethodGet:
		a.Object, a.Err = l.store.Get(ctx, e.Key)
	case MethodPut:
		a.Object.Version, a.Err = l.store.Put(ctx, e.Key, e.Value, e.IfVersion)
	case MethodDelete:
		a.Err = l.store.Delete(ctx, e.Key, platform.AnyVersion)
	}
	l.send(context.Background(), storeAnswer{partition: p, event: a})
}

// tick steps the partitions whose wake-up time has come.
func (l *loop) tick() {
	now := time.Since(l.start)
	for _, p := range l.partitions {
		if wake, ok := p.NextWake(); ok && wake <= now {
			l.step(p, TickEvent{})
		}
	}
}

func (l *loop) setTimer() {
	wake := never
	for _, p := range l.partitions {
		if w, ok := p.NextWake(); ok {
			wake = min(wake, w)
		}
	}
	if wake == never {
		l.timer.Stop()
		return
	}
	l.timer.Reset(max(0, wake-time.Since(l.start)))
}

func (l *loop) answerFlushes() {
	if len(l.flushes) == 0 {
		return
	}
	for _, p := range l.partitions {
		if p.Unsettled() > 0 {
			return
		}
	}
	for _, f := range l.flushes {
		close(f.reply)
	}
	l.flushes = nil
}

func (l *loop) stats() Stats {
	var stats Stats
	for name, p := range l.partitions {
		stats.Partitions = append(stats.Partitions, PartitionStats{
			Name: name, Claims: len(p.log.index.claims), Segments: len(p.log.sealed),
			Unsettled: p.Unsettled(), Failures: p.failures, Broken: p.broken,
		})
	}
	sort.Slice(stats.Partitions, func(i, j int) bool {
		return stats.Partitions[i].Name < stats.Partitions[j].Name
	})
	return stats
}
