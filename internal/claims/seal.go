package claims

import (
	"errors"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// onSeal handles the outcome of writing a segment. The log determines the number and
// the start of the segment, and records never change, so any process that wrote the
// segment first wrote a prefix of the same records.
func (p *Partition) onSeal(err error) {
	records, base, number := p.unsealed()
	switch {
	case err == nil:
		p.failures = 0
		n := sealableCount(records, p.cfg.SealRecords, p.cfg.SealBytes)
		p.unreferenced = append(p.unreferenced, newSegmentInfo(number, number, base, records[:n]))
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrIndeterminate):
		p.startCall(phaseReadSeal, StoreEffect{Method: MethodGet, Key: segmentKey(p.name, number)})
	default:
		p.scheduleRetry()
	}
}

// onReadSeal adopts a segment that was written by another process, or by a call whose
// outcome was unknown.
func (p *Partition) onReadSeal(e StoreEvent) {
	records, base, number := p.unsealed()
	if e.Err != nil {
		p.scheduleRetry()
		return
	}
	s, err := decodeSegment(e.Object.Value, number)
	switch {
	case err != nil:
		p.broken = err.Error()
	case s.Base != base:
		// The segment belongs to an expired part of the log: this view is older than the
		// window.
		p.log.stale = true
		p.scheduleRetry()
	case len(s.Records) > len(records):
		p.log.stale = true // the writer's view had more records
		p.scheduleRetry()
	default:
		p.failures = 0
		p.unreferenced = append(p.unreferenced, newSegmentInfo(number, number, base, records[:len(s.Records)]))
	}
}
