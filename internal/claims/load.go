package claims

import (
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// logView is what a partition knows of its log.
type logView struct {
	// loaded tells that the log has been read once.
	loaded bool
	// stale tells that the head has changed, or may have, since it was read.
	stale   bool
	version uint64
	// seen is the highest version of the head that was read or written.
	seen uint64
	// viewAt is a time at which the view was current.
	viewAt time.Duration
	// clock is the head's clock in milliseconds, and clockAt a time at which the
	// head was already written.
	clock   uint64
	clockAt time.Duration

	index *index
	// sealed are the segments, oldest first; next is the number of the one to come.
	sealed []sealed
	next   uint64
	// first is the number of the oldest segment in the head.
	first uint64
	group group
	// base is the position of active[0], end the position after all folded records.
	base   uint64
	end    uint64
	active []record
}

// loading is a head whose segments are still being read.
type loading struct {
	head    head
	version uint64
	readAt  time.Duration
	// plainUntil is the number below which segments are read without a summary.
	plainUntil uint64
}

func (p *Partition) readHead() {
	p.call(phaseReadHead, StoreEffect{Method: MethodGet, Key: headKey(p.name)})
}

func (p *Partition) onHead(e StoreEvent) {
	switch {
	case errors.Is(e.Err, platform.ErrNotFound):
		p.onNoHead()
		return
	case e.Err != nil || e.Object.Version < p.log.seen:
		p.fail()
		return
	case p.log.loaded && e.Object.Version == p.log.version:
		p.failures = 0
		p.log.stale, p.log.viewAt = false, p.sentAt
		return
	}
	h, err := decodeHead(e.Object.Value)
	if err != nil {
		p.broken = err.Error()
		return
	}
	p.log.stale, p.log.seen = true, e.Object.Version
	p.loading = &loading{head: h, version: e.Object.Version, readAt: p.sentAt}
	p.skipTo(h.First)
	p.finishLoading()
}

// onNoHead handles a partition without a head: new, or lost.
func (p *Partition) onNoHead() {
	if p.log.seen != 0 {
		p.fail()
		return
	}
	p.failures = 0
	if !p.log.loaded {
		p.log.clockAt = p.sentAt
	}
	p.log.loaded, p.log.stale, p.log.viewAt = true, false, p.sentAt
}

// skipTo forgets the segments before first.
func (p *Partition) skipTo(first uint64) {
	l := &p.log
	for len(l.sealed) > 0 && l.sealed[0].number < first {
		l.index.forget(l.sealed[0].keys, l.sealed[0].end)
		l.sealed = l.sealed[1:]
	}
	if l.next < first {
		// Records were sealed and expired unseen: the whole view is older than the window.
		l.index = newIndex(p.cfg.AnswerMemory)
		l.next, l.active, l.loaded = first, nil, false
	}
}

// finishLoading installs the loaded head once all its segments are read.
func (p *Partition) finishLoading() {
	l, h := &p.log, &p.loading.head
	if l.next < h.Next {
		return
	}
	if !l.loaded && len(l.sealed) == 0 {
		l.base, l.end = h.Base, h.Base
	}
	if l.next != h.Next || l.base != h.Base || l.end > h.Base+uint64(len(h.Records)) {
		p.broken = "the head does not continue the log"
		return
	}
	for i := l.end - h.Base; i < uint64(len(h.Records)); i++ {
		l.index.apply(&h.Records[i], h.Base+i)
	}
	l.active, l.end = h.Records, h.Base+uint64(len(h.Records))
	l.first = h.First
	p.install(p.loading.version, h.Clock, p.loading.readAt)
	p.loading = nil
}

// install makes the view the one of version, which existed at readAt or, at the
// latest, now. No write to an earlier version can take effect any more.
func (p *Partition) install(version, clock uint64, readAt time.Duration) {
	l := &p.log
	l.loaded, l.stale, l.viewAt = true, false, readAt
	l.version, l.seen = version, max(l.seen, version)
	l.clock, l.clockAt = clock, p.now
	p.failures = 0
	for _, q := range p.queue {
		q.doubt = false
	}
	p.trimAhead()
}

// trimAhead drops the segments that the view contains.
func (p *Partition) trimAhead() {
	for len(p.ahead) > 0 && p.ahead[0].number < p.log.next {
		p.ahead = p.ahead[1:]
	}
}

// readSegment reads the next segment, or the summary that contains it.
func (p *Partition) readSegment() {
	size := uint64(p.cfg.SummarySegments)
	next := p.log.next
	if next%size == 0 && next+size <= p.loading.head.Next && next >= p.loading.plainUntil {
		p.call(phaseReadSummary, StoreEffect{Method: MethodGet, Key: summaryKey(p.name, next)})
		return
	}
	p.call(phaseReadSegment, StoreEffect{Method: MethodGet, Key: segmentKey(p.name, p.log.next)})
}

func (p *Partition) onSegment(e StoreEvent) {
	if e.Err != nil {
		p.stopLoading()
		return
	}
	s, err := decodeSegment(e.Object.Value, p.log.next)
	if err != nil {
		p.broken = err.Error()
		return
	}
	if p.addSegment(&s, s.Number) {
		p.grow(s.Number, s.Base, s.Records)
		p.finishLoading()
	}
}

// stopLoading starts again from the head later: a segment that is not found has
// expired since the head was read.
func (p *Partition) stopLoading() {
	p.loading = nil
	p.log.stale = true
	p.fail()
}

// addSegment folds the next segment, or a summary up to the segment last.
func (p *Partition) addSegment(s *segment, last uint64) bool {
	l := &p.log
	if !l.loaded && len(l.sealed) == 0 {
		l.base, l.end = s.Base, s.Base
	}
	if s.Base != l.base {
		p.broken = "a segment does not continue the log"
		return false
	}
	for i := range s.Records {
		if position := s.Base + uint64(i); position >= l.end {
			l.index.apply(&s.Records[i], position)
			l.end = position + 1
		}
	}
	l.sealed = append(l.sealed, newSealed(s.Number, last, s.Base, s.Records))
	l.next = last + 1
	l.base = s.Base + uint64(len(s.Records))
	l.active = l.active[min(len(s.Records), len(l.active)):]
	p.trimAhead()
	return true
}
