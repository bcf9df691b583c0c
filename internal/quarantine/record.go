package quarantine

import (
	"slices"
	"time"
)

const (
	// maxTrials bounds the grants for trials of a quarantined subject in all.
	maxTrials = 2
	// minTrialInterval is the least time between two of them. It is below the evidenceTime of
	// each gateway.
	minTrialInterval = evidenceTime * 3 / 4
)

// Record is what the store keeps of a quarantined subject, for gateways that start while no other
// one knows of it.
type Record struct {
	Evidence Evidence
	// SavedAt is the time of day to which the ages in Evidence refer.
	SavedAt time.Time
	// Trials counts the grants, the last of which was given at TriedAt.
	Trials  int
	TriedAt time.Time
}

// Record returns the record of a subject, or false if it is not quarantined or an answer to it is
// remembered: then it is found sound or guilty again soon.
func (t *Tracker) Record(now time.Duration, timeOfDay time.Time, subject string) (Record, bool) {
	s := t.suspects[subject]
	if s == nil || s.tied == nil || s.answeredBefore {
		return Record{}, false
	}
	return Record{Evidence: t.evidenceOf(now, subject), SavedAt: timeOfDay}, true
}

// TakeUnsaved returns the quarantined subjects whose records lack crashes that this gateway has seen
// since the last call.
func (t *Tracker) TakeUnsaved() []string {
	var unsaved []string
	for subject, s := range t.suspects {
		if s.unsaved && s.tied != nil {
			s.unsaved = false
			unsaved = append(unsaved, subject)
		}
	}
	return unsaved
}

// Restore adds the evidence of records.
func (t *Tracker) Restore(now time.Duration, timeOfDay time.Time, records []Record) {
	for _, r := range records {
		e := r.Evidence
		e.Crashes = slices.Clone(e.Crashes)
		elapsed := max(0, timeOfDay.Sub(r.SavedAt)).Milliseconds()
		for i := range e.Crashes {
			e.Crashes[i].AgeMs += elapsed
		}
		t.mergeSubject(now, &e)
	}
	t.judge()
}

// Add adds the crashes of a later record of the subject and reports whether that changes the
// record.
func (r *Record) Add(later Record) bool {
	changed := false
	elapsed := max(0, later.SavedAt.Sub(r.SavedAt)).Milliseconds()
	for _, c := range later.Evidence.Crashes {
		known := slices.ContainsFunc(r.Evidence.Crashes, func(o CrashReport) bool { return o.Target == c.Target })
		if !known && len(r.Evidence.Crashes) < maxCrashes {
			c.AgeMs -= elapsed
			r.Evidence.Crashes = append(r.Evidence.Crashes, c)
			changed = true
		}
	}
	return changed
}

// Grant counts a trial, and reports whether it is allowed. If so, the record must be saved under
// the condition that no other gateway has changed it before the trial begins.
func (r *Record) Grant(timeOfDay time.Time) bool {
	if len(r.Evidence.Crashes) >= maxRetrialCrashes || r.Trials >= maxTrials || r.Trials > 0 && timeOfDay.Sub(r.TriedAt).Abs() < minTrialInterval {
		return false
	}
	r.Trials++
	r.TriedAt = timeOfDay
	return true
}
