package claims

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// summary repeats the records of consecutive segments without their answers, so that
// a process that meets the partition for the first time reads few objects. It
// only saves reads: without it the segments are read one by one.
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

// group gathers the records of the next summary.
type group struct {
	// whole tells that the group has all records since its first segment.
	whole   bool
	first   uint64
	base    uint64
	records []record
}

// grow adds a sealed segment to the group and queues the summary of a full one.
func (p *Partition) grow(number, base uint64, records []record) {
	g, size := &p.log.group, uint64(p.cfg.SummarySegments)
	if number%size == 0 {
		*g = group{whole: true, first: number, base: base}
	}
	if !g.whole || g.base+uint64(len(g.records)) != base {
		g.whole = false
		return
	}
	for i := range records {
		r := records[i]
		r.Answer = nil
		g.records = append(g.records, r)
	}
	if number%size == size-1 {
		p.summaries = append(p.summaries, summary{
			Format: formatVersion, First: g.first, Last: number, Base: g.base, Records: g.records,
		})
		*g = group{}
	}
}

// writeSummary writes the oldest queued summary. Its content follows from the log, so
// whoever writes it first writes the same; a failure is not repeated.
func (p *Partition) writeSummary() {
	s := &p.summaries[0]
	value := encode(s)
	if len(value) > platform.MaxValueSize {
		p.summaries = p.summaries[1:]
		return
	}
	p.call(phaseSummary, StoreEffect{Method: MethodPut, Key: summaryKey(p.name, s.First), Value: value})
}

func (p *Partition) onReadSummary(e StoreEvent) {
	next := p.log.next
	if errors.Is(e.Err, platform.ErrNotFound) {
		p.loading.plainUntil = next + uint64(p.cfg.SummarySegments)
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
	p.log.group = group{}
	if p.addSegment(&segment{Number: s.First, Base: s.Base, Records: s.Records}, s.Last) {
		p.finishLoading()
	}
}

// deleteSegments queues the removal of the segments [first, end) and of the summaries that end there.
func (p *Partition) deleteSegments(first, end uint64) {
	size := uint64(p.cfg.SummarySegments)
	for number := first; number < end; number++ {
		p.deletes = append(p.deletes, segmentKey(p.name, number))
		if number%size == size-1 {
			p.deletes = append(p.deletes, summaryKey(p.name, number+1-size))
		}
	}
}
