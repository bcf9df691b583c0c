package claims

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// summary repeats the records of consecutive segments without their answers, so that a
// process that loads the partition for the first time reads few objects. It is only an
// optimisation: without it, the segments are read one by one.
type summary struct {
	_           struct{} `cbor:",toarray"`
	Format      int
	First, Last uint64
	Base        uint64
	Records     []record
}

func summaryKey(name string, first uint64) string {
	return fmt.Sprintf("claims/%s/summary-%016x", name, first)
}

// summaryBuilder collects the records of the next summary.
type summaryBuilder struct {
	// complete is true if the builder has all records since the summary's first segment.
	complete bool
	first    uint64
	base     uint64
	records  []record
}

// addToSummary adds a sealed segment to the next summary and queues the summary for
// writing once it is full.
func (p *Partition) addToSummary(number, base uint64, records []record) {
	b, size := &p.log.nextSummary, uint64(p.cfg.SummarySegments)
	if number%size == 0 {
		*b = summaryBuilder{complete: true, first: number, base: base}
	}
	if !b.complete || b.base+uint64(len(b.records)) != base {
		b.complete = false
		return
	}
	for i := range records {
		r := records[i]
		r.Answer = nil
		b.records = append(b.records, r)
	}
	if number%size == size-1 {
		p.summaries = append(p.summaries, summary{
			Format: formatVersion, First: b.first, Last: number, Base: b.base, Records: b.records,
		})
		*b = summaryBuilder{}
	}
}

// writeSummary writes the oldest queued summary. The log determines its content, so all
// processes write the same. A failed write is not retried.
func (p *Partition) writeSummary() {
	s := &p.summaries[0]
	value := encode(s)
	if len(value) > platform.MaxValueSize {
		p.summaries = p.summaries[1:]
		return
	}
	p.startCall(phaseSummary, StoreEffect{Method: MethodPut, Key: summaryKey(p.name, s.First), Value: value})
}

func (p *Partition) onReadSummary(e StoreEvent) {
	next := p.log.next
	if errors.Is(e.Err, platform.ErrNotFound) {
		p.loading.noSummaryBefore = next + uint64(p.cfg.SummarySegments)
		return
	}
	if e.Err != nil {
		p.stopLoading()
		return
	}
	var s summary
	err := cbor.Unmarshal(e.Object.Value, &s)
	if err != nil || s.Format != formatVersion || s.First != next || s.Last >= p.loading.head.Next || len(s.Records) == 0 {
		p.broken = fmt.Sprintf("summary %d is malformed", next)
		return
	}
	p.log.nextSummary = summaryBuilder{}
	if p.addSegment(&segment{Number: s.First, Base: s.Base, Records: s.Records}, s.Last) {
		p.finishLoading()
	}
}

// queueSegmentDeletes queues the deletion of the segments [first, end) and of the
// summaries whose last segment is among them.
func (p *Partition) queueSegmentDeletes(first, end uint64) {
	size := uint64(p.cfg.SummarySegments)
	for number := first; number < end; number++ {
		p.deletes = append(p.deletes, segmentKey(p.name, number))
		if number%size == size-1 {
			p.deletes = append(p.deletes, summaryKey(p.name, number+1-size))
		}
	}
}
