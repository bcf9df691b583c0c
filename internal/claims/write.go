package claims

import (
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

const (
	// maxBatchRecords is the maximum number of records that one write appends.
	maxBatchRecords = 512
	// maxBatchBytes is the maximum size of these records in bytes.
	maxBatchBytes = 128 << 10
)

// batch is the head write in flight.
type batch struct {
	head head
	// added is the number of new records at the end of the head.
	added int
}

// clockNow returns the partition clock at now, in milliseconds. Each writer adds only
// the time that passed on its own monotonic clock between a platform answer that shows
// the previous head and its own write. The partition clock therefore never runs ahead of
// real time, whatever the wall clocks of the writers show.
func (l *logView) clockNow(now time.Duration) uint64 {
	return l.clock + uint64((now - l.clockAt).Milliseconds())
}

// writeOrSeal writes the next head, or seals a full segment first to keep the head small.
func (p *Partition) writeOrSeal() {
	records, base, number := p.unsealed()
	if n := sealableCount(records, p.cfg.SealRecords, p.cfg.SealBytes); n > 0 {
		s := segment{Format: formatVersion, Number: number, Base: base, Records: records[:n]}
		p.startCall(phaseSeal, StoreEffect{Method: MethodPut, Key: segmentKey(p.name, number), Value: encode(s)})
		return
	}
	p.bucket.tokens--
	p.batch = p.compose(records, base, number)
	p.startCall(phaseWrite, StoreEffect{
		Method: MethodPut, Key: headKey(p.name),
		Value: encode(p.batch.head), IfVersion: p.log.version,
	})
}

// unsealed returns the durable records that are in no segment yet, the position of the
// first one and the number of the next segment.
func (p *Partition) unsealed() (records []record, base, number uint64) {
	l := &p.log
	base, number = l.base, l.next
	if n := len(p.unreferenced); n > 0 {
		base, number = p.unreferenced[n-1].end, p.unreferenced[n-1].last+1
	}
	return l.active[base-l.base:], base, number
}

// compose returns the next head. It appends outcomes first, then claims, up to the
// limits of a batch.
func (p *Partition) compose(records []record, base, next uint64) batch {
	clock := p.log.clockNow(p.now)
	h := head{Format: formatVersion, First: p.firstUnexpired(clock), Next: next, Base: base, Clock: clock}
	c := composer{p: p, clock: clock, claimed: make(map[KeyHash]bool)}
	for i := range p.outcomes {
		c.addOutcome(&p.outcomes[i])
	}
	for _, q := range p.queue {
		c.addClaim(q)
	}
	h.Records = append(append(h.Records, records...), c.records...)
	return batch{head: h, added: len(c.records)}
}

// firstUnexpired returns the number of the oldest segment that is still in the window.
func (p *Partition) firstUnexpired(clock uint64) uint64 {
	for i := range p.log.sealed {
		if !p.log.sealed[i].expired(clock, p.cfg.Window) {
			return max(p.log.first, p.log.sealed[i].first)
		}
	}
	return p.log.next
}

// composer collects the records of one batch.
type composer struct {
	p       *Partition
	clock   uint64
	records []record
	bytes   int
	// claimed contains the keys that the batch claims.
	claimed map[KeyHash]bool
	// released contains the keys that the batch releases.
	released map[KeyHash]bool
}

func (c *composer) fits(size int) bool {
	return len(c.records) < maxBatchRecords && c.bytes+size <= maxBatchBytes
}

func (c *composer) add(r record) {
	r.Owner, r.Clock = c.p.owner, c.clock
	c.records = append(c.records, r)
	c.bytes += r.size()
}

func (c *composer) addOutcome(o *outcome) {
	r := record{Kind: recordRan, Key: o.key, Seq: o.seq, Answer: o.state.local.Answer}
	if !c.fits(r.size()) {
		return
	}
	if !o.state.local.Ran {
		r.Kind, r.Answer = recordReleased, nil
		if c.released == nil {
			c.released = make(map[KeyHash]bool)
		}
		c.released[o.key] = true
	}
	c.add(r)
}

func (c *composer) addClaim(q *pending) {
	r := record{Kind: recordClaim, Key: q.key, Seq: q.seq, Digest: q.digest}
	s := c.p.log.index.claims[q.key]
	free := s == nil || s.released() || c.released[q.key]
	if q.abandoned || !free || c.claimed[q.key] || !c.fits(r.size()) || c.p.classify(q) != verdictWrite {
		return
	}
	c.claimed[q.key] = true
	q.inFlight = true
	if q.composedAt == 0 {
		q.composedAt = c.p.now
	}
	c.add(r)
}

// onWrite handles the outcome of a head write.
func (p *Partition) onWrite(e StoreEvent) {
	indeterminate := errors.Is(e.Err, platform.ErrIndeterminate)
	for _, q := range p.queue {
		q.indeterminate = q.indeterminate || q.inFlight && indeterminate
		q.inFlight = false
	}
	switch {
	case e.Err == nil:
		p.conflicts = 0
		p.installBatch(e.Object.Version)
	case errors.Is(e.Err, platform.ErrConflict):
		p.log.stale = true
		maxWait := conflictJitter << min(p.conflicts, 5)
		p.conflicts++
		p.retryAt = p.now + time.Duration(p.random.Int64N(int64(maxWait)))
	default:
		p.log.stale = p.log.stale || indeterminate
		p.scheduleRetry()
	}
	p.batch = batch{}
}

// installBatch installs the written head as the view.
func (p *Partition) installBatch(version uint64) {
	l, h := &p.log, &p.batch.head
	for _, s := range p.unreferenced {
		n := s.end - l.base
		p.addToSummary(s.last, l.base, l.active[:n])
		l.sealed = append(l.sealed, s)
		l.base, l.active = s.end, l.active[n:]
	}
	l.next, l.active = h.Next, h.Records
	for i := len(h.Records) - p.batch.added; i < len(h.Records); i++ {
		l.index.apply(&h.Records[i], h.Base+uint64(i))
	}
	l.end = h.Base + uint64(len(h.Records))
	p.queueSegmentDeletes(l.first, h.First)
	l.first = h.First
	p.dropSegmentsBefore(h.First)
	p.install(version, h.Clock, p.sentAt)
}
