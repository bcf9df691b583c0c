package claims

import (
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// logView is a partition's view of its log.
type logView struct {
	// loaded is true once the log has been read.
	loaded bool
	// stale is true if the head has changed, or may have changed, since it was read.
	stale   bool
	version uint64
	// highestVersion is the highest version of the head that was read or written.
	highestVersion uint64
	// currentAt is a time at which the view was up to date.
	currentAt time.Duration
	// clock is the partition clock of the head in milliseconds. clockAt is a time at
	// which the head had already been written.
	clock   uint64
	clockAt time.Duration

	index *index
	// sealed lists the segments, oldest first; next is the number of the next segment.
	sealed []segmentInfo
	next   uint64
	// first is the number of the oldest segment in the head.
	first       uint64
	nextSummary summaryBuilder
	// base is the position of active[0], end the position after all applied records.
	base   uint64
	end    uint64
	active []record
}

// loading is a head whose segments have not all been read yet.
type loading struct {
	head    head
	version uint64
	readAt  time.Duration
	// noSummaryBefore is a segment number. Segments with lower numbers are read one by
	// one, because their summary does not exist.
	noSummaryBefore uint64
}

func (p *Partition) readHead() {
	p.startCall(phaseReadHead, StoreEffect{Method: MethodGet, Key: headKey(p.name)})
}

func (p *Partition) onHead(e StoreEvent) {
	switch {
	case errors.Is(e.Err, platform.ErrNotFound):
		p.onNoHead()
		return
	case e.Err != nil || e.Object.Version < p.log.highestVersion:
		p.scheduleRetry()
		return
	case p.log.loaded && e.Object.Version == p.log.version:
		p.failures = 0
		p.log.stale, p.log.currentAt = false, p.sentAt
		return
	}
	h, err := decodeHead(e.Object.Value)
	if err != nil {
		p.broken = err.Error()
		return
	}
	p.log.stale, p.log.highestVersion = true, e.Object.Version
	p.loading = &loading{head: h, version: e.Object.Version, readAt: p.sentAt}
	p.dropSegmentsBefore(h.First)
	p.finishLoading()
}

// onNoHead handles a missing head. Either the partition is new, or its head was lost.
func (p *Partition) onNoHead() {
	if p.log.highestVersion != 0 {
		p.scheduleRetry()
		return
	}
	p.failures = 0
	if !p.log.loaded {
		p.log.clockAt = p.sentAt
	}
	p.log.loaded, p.log.stale, p.log.currentAt = true, false, p.sentAt
}

// dropSegmentsBefore removes the segments before first and their claims from the view.
func (p *Partition) dropSegmentsBefore(first uint64) {
	l := &p.log
	for len(l.sealed) > 0 && l.sealed[0].last < first {
		l.index.remove(l.sealed[0].keys, l.sealed[0].end)
		l.sealed = l.sealed[1:]
	}
	if l.next < first {
		// Segments that this process never read have expired already, so the whole view
		// is older than the window.
		l.index = newIndex(p.cfg.AnswerMemory)
		l.next, l.active, l.loaded = first, nil, false
	}
}

// finishLoading installs the loaded head once all its segments have been read.
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

// install records that the view is at version, which existed at readAt or, at the
// latest, exists now. Writes that are conditional on an earlier version can no longer
// take effect.
func (p *Partition) install(version, clock uint64, readAt time.Duration) {
	l := &p.log
	l.loaded, l.stale, l.currentAt = true, false, readAt
	l.version, l.highestVersion = version, max(l.highestVersion, version)
	l.clock, l.clockAt = clock, p.now
	p.failures = 0
	for _, q := range p.queue {
		q.indeterminate = false
	}
	p.dropReferenced()
}

// dropReferenced removes the segments that the view contains from p.unreferenced.
func (p *Partition) dropReferenced() {
	for len(p.unreferenced) > 0 && p.unreferenced[0].last < p.log.next {
		p.unreferenced = p.unreferenced[1:]
	}
}

// readSegment reads the next segment, or the summary that contains it.
func (p *Partition) readSegment() {
	size := uint64(p.cfg.SummarySegments)
	next := p.log.next
	if next%size == 0 && next+size <= p.loading.head.Next && next >= p.loading.noSummaryBefore {
		p.startCall(phaseReadSummary, StoreEffect{Method: MethodGet, Key: summaryKey(p.name, next)})
		return
	}
	p.startCall(phaseReadSegment, StoreEffect{Method: MethodGet, Key: segmentKey(p.name, p.log.next)})
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
		p.addToSummary(s.Number, s.Base, s.Records)
		p.finishLoading()
	}
}

// stopLoading abandons the load and schedules a new read of the head. A segment that is
// not found has expired since the head was read.
func (p *Partition) stopLoading() {
	p.loading = nil
	p.log.stale = true
	p.scheduleRetry()
}

// addSegment applies the next segment, or a summary of the segments up to last. It
// returns false if the segment does not continue the log.
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
	l.sealed = append(l.sealed, newSegmentInfo(s.Number, last, s.Base, s.Records))
	l.next = last + 1
	l.base = s.Base + uint64(len(s.Records))
	l.active = l.active[min(len(s.Records), len(l.active)):]
	p.dropReferenced()
	return true
}
