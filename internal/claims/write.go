package claims

import (
	"errors"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

const (
	// maxBatchRecords bounds the records appended by one write.
	maxBatchRecords = 512
	// maxBatchBytes bounds their size in bytes.
	maxBatchBytes = 128 << 10
)

// batch is the head write in flight.
type batch struct {
	head head
	// added is the number of new records at the head's end.
	added int
}

// clockNow returns the partition's clock at now, in milliseconds. Each writer adds
// only time that passed on its own monotonic clock between an answer of the platform
// that shows the previous head and its own write, so the clock never runs ahead of
// real time, whatever the writers' wall clocks say.
func (l *logView) clockNow(now time.Duration) uint64 {
	return l.clock + uint64((now - l.clockAt).Milliseconds())
}

// writeOrSeal seals full segments first, so that the head stays small.
func (p *Partition) writeOrSeal() {
	records, base, number := p.unsealed()
	if n := sealable(records, p.cfg.SealRecords, p.cfg.SealBytes); n > 0 {
		s := segment{Format: formatVersion, Number: number, Base: base, Records: records[:n]}
		p.call(phaseSeal, StoreEffect{Method: MethodPut, Key: segmentKey(p.name, number), Value: encode(s)})
		return
	}
	p.bucket.tokens--
	p.batch = p.compose(records, base, number)
	p.call(phaseWrite, StoreEffect{
		Method: MethodPut, Key: headKey(p.name),
		Value: encode(p.batch.head), IfVersion: p.log.version,
	})
}

// unsealed returns the durable records that are in no segment, the position of the
// first one and the number of the next segment.
func (p *Partition) unsealed() (records []record, base, number uint64) {
	l := &p.log
	base, number = l.base, l.next
	if n := len(p.ahead); n > 0 {
		base, number = p.ahead[n-1].end, p.ahead[n-1].number+1
	}
	return l.active[base-l.base:], base, number
}

// compose returns the next head: outcomes first, then claims, as far as they fit.
func (p *Partition) compose(records []record, base, next uint64) batch {
	clock := p.log.clockNow(p.now)
	h := head{Format: formatVersion, First: p.firstUnexpired(clock), Next: next, Base: base, Clock: clock}
	c := composer{p: p, clock: clock, taken: make(map[KeyHash]bool)}
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

// composer gathers the records of one batch.
type composer struct {
	p       *Partition
	clock   uint64
	records []record
	bytes   int
	// taken are the keys that the batch claims.
	taken map[KeyHash]bool
	// released are the keys that the batch releases.
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
	if q.abandoned || !free || c.taken[q.key] || !c.fits(r.size()) || c.p.judge(q) != verdictWrite {
		return
	}
	c.taken[q.key] = true
	q.inFlight = true
	if q.composedAt == 0 {
		q.composedAt = c.p.now
	}
	c.add(r)
}

// onWrite handles the outcome of a head write.
func (p *Partition) onWrite(e StoreEvent) {
	unclear := errors.Is(e.Err, platform.ErrUnclear)
	for _, q := range p.queue {
		q.doubt = q.doubt || q.inFlight && unclear
		q.inFlight = false
	}
	switch {
	case e.Err == nil:
		p.conflicts = 0
		p.installBatch(e.Object.Version)
	case errors.Is(e.Err, platform.ErrConflict):
		p.log.stale = true
		spread := conflictSpread << min(p.conflicts, 5)
		p.conflicts++
		p.retryAt = p.now + time.Duration(p.random.Int64N(int64(spread)))
	default:
		p.log.stale = p.log.stale || unclear
		p.fail()
	}
	p.batch = batch{}
}

// installBatch makes the written head the view.
func (p *Partition) installBatch(version uint64) {
	l, h := &p.log, &p.batch.head
	for _, s := range p.ahead {
		n := s.end - l.base
		p.grow(s.number, l.base, l.active[:n])
		l.sealed = append(l.sealed, s)
		l.base, l.active = s.end, l.active[n:]
	}
	l.next, l.active = h.Next, h.Records
	for i := len(h.Records) - p.batch.added; i < len(h.Records); i++ {
		l.index.apply(&h.Records[i], h.Base+uint64(i))
	}
	l.end = h.Base + uint64(len(h.Records))
	p.deleteSegments(l.first, h.First)
	l.first = h.First
	p.skipTo(h.First)
	p.install(version, h.Clock, p.sentAt)
}
