package priority

import (
	"cmp"
	"math"
	"slices"
)

const (
	// MaxReports bounds the entries of one gateway's report.
	MaxReports = 32
	// maxReportedRate is the highest rate, per second, that is accepted from another gateway.
	maxReportedRate = 100_000
	// rateUnit is the resolution of reported rates, per second. Sums of whole units are exact,
	// so that the sum over all gateways does not drift as reports are added and removed.
	rateUnit = 1e-3
)

// Report is the demand of one level of a service at another gateway.
type Report struct {
	// Service is the key of the service.
	Service  uint32
	Priority int
	Rates
}

// valid reports whether the level exists and the rates are usable.
func (r *Report) valid() bool {
	usable := func(rate float64) bool { return rate >= 0 && rate <= maxReportedRate } // false for NaN
	return r.Priority >= 0 && r.Priority <= maxLevel && usable(r.Arrivals) && usable(r.Admissions)
}

// ValidReports returns the usable entries among the first MaxReports.
func ValidReports(reports []Report) []Report {
	valid := make([]Report, 0, min(len(reports), MaxReports))
	for _, r := range reports[:min(len(reports), MaxReports)] {
		if r.valid() {
			// More admissions than arrivals would make all other levels seem to be starved. They lag
			// the arrivals, so that they are higher for a moment after a burst.
			r.Admissions = min(r.Admissions, 2*r.Arrivals)
			valid = append(valid, r)
		}
	}
	return valid
}

// Totals contains the sums of the reports of other gateways. The zero value is empty.
type Totals struct{ services map[uint32][]totalLevel }

// totalLevel is the sum of a level's rates in units of rateUnit, over reports gateways.
type totalLevel struct {
	priority             int
	arrivals, admissions int64
	reports              int
}

// Add adds the reports of a gateway sign times, which is 1 or -1. Reports that are removed
// must have been added before.
func (t *Totals) Add(reports []Report, sign int) {
	if t.services == nil {
		t.services = map[uint32][]totalLevel{}
	}
	for _, r := range reports {
		levels := t.services[r.Service]
		i, found := slices.BinarySearchFunc(levels, r.Priority, func(l totalLevel, p int) int { return cmp.Compare(l.priority, p) })
		if !found {
			levels = slices.Insert(levels, i, totalLevel{priority: r.Priority})
		}
		l := &levels[i]
		l.arrivals += int64(sign) * units(r.Arrivals)
		l.admissions += int64(sign) * units(r.Admissions)
		if l.reports += sign; l.reports == 0 {
			levels = slices.Delete(levels, i, i+1)
		}
		if len(levels) == 0 {
			delete(t.services, r.Service)
		} else {
			t.services[r.Service] = levels
		}
	}
}

func units(rate float64) int64 { return int64(math.Round(rate / rateUnit)) }

// AddTo adds the sums of a service to its levels.
func (t *Totals) AddTo(levels Levels, service uint32) Levels {
	for _, l := range t.services[service] {
		levels = levels.Add(l.priority, Rates{
			Arrivals: float64(l.arrivals) * rateUnit, Admissions: float64(l.admissions) * rateUnit,
		})
	}
	return levels
}
