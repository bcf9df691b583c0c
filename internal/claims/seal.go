package claims

import (
	"errors"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// onSeal handles the outcome of writing a segment. The segment's number and start
// follow from the log and its records never change, so whoever wrote it first
// wrote a prefix of the same records.
func (p *Partition) onSeal(err error) {
	records, base, number := p.unsealed()
	switch {
	case err == nil:
		p.failures = 0
		n := sealable(records, p.cfg.SealRecords, p.cfg.SealBytes)
		p.ahead = append(p.ahead, newSealed(number, number, base, records[:n]))
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrUnclear):
		p.call(phaseReadSeal, StoreEffect{Method: MethodGet, Key: segmentKey(p.name, number)})
	default:
		p.fail()
	}
}

// onReadSeal takes the segment that another process, or a call without an answer, wrote.
func (p *Partition) onReadSeal(e StoreEvent) {
	records, base, number := p.unsealed()
	if e.Err != nil {
		p.fail()
		return
	}
	s, err := decodeSegment(e.Object.Value, number)
	switch {
	case err != nil:
		p.broken = err.Error()
	case s.Base != base:
		// A leftover of an expired part of the log: this view is older than the window.
		p.log.stale = true
		p.fail()
	case len(s.Records) > len(records):
		p.log.stale = true // the writer knew more records
		p.fail()
	default:
		p.failures = 0
		p.ahead = append(p.ahead, newSealed(number, number, base, records[:len(s.Records)]))
	}
}
