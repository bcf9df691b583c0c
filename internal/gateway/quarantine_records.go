package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

const (
	// recordsInterval is the interval at which this gateway asks for grants of trials and retries
	// what has failed.
	recordsInterval = time.Second
	// recordsRefresh is the interval at which the records are read again, for the case that messages
	// of the gateways that have found something out do not arrive here.
	recordsRefresh = 4 * time.Second
	// recordsTimeout bounds the calls to the store for one record.
	recordsTimeout = 2 * time.Second
	// maxListRecordsTime bounds the time for which the gateway takes no requests because it can't
	// read the records although the store answers other calls.
	maxListRecordsTime = 2 * time.Second
	// recordsRetryPause is the pause before the records are listed again.
	recordsRetryPause = 200 * time.Millisecond
	// maxRecordConflicts bounds the tries to save a record that other gateways change.
	maxRecordConflicts = 4
	// maxPendingRecords bounds the records that wait until the store answers.
	maxPendingRecords = 256
)

// quarantineRecords keeps the records of quarantined subjects in the store.
type quarantineRecords struct {
	g *Gateway
	// wake starts a round at once.
	wake chan struct{}

	// unsaved contains the subjects whose records are to be saved.
	unsaved map[string]bool
	// listedAt is the time of the last list, and read is true once one has succeeded.
	listedAt time.Time
	read     bool
	// failing is true from a failed call until one succeeds.
	failing bool
	// mu guards released, the subjects whose records are to be removed.
	mu       sync.Mutex
	released map[string]bool
}

func newQuarantineRecords(g *Gateway) *quarantineRecords {
	return &quarantineRecords{g: g, wake: make(chan struct{}, 1), unsaved: map[string]bool{}, released: map[string]bool{}}
}

// saveSoon has the records of subjects with new evidence saved.
func (r *quarantineRecords) saveSoon() {
	select {
	case r.wake <- struct{}{}:
	default: // a round is due already
	}
}

// remove removes the record of a subject that is sound.
func (r *quarantineRecords) remove(subject string) {
	r.mu.Lock()
	if len(r.released) < maxPendingRecords {
		r.released[subject] = true
	}
	r.mu.Unlock()
	r.saveSoon()
}

// run lists the records, and then saves, removes and grants until ctx ends.
func (r *quarantineRecords) run(ctx context.Context) {
	r.list(ctx)
	ticker := time.NewTicker(recordsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.wake:
		}
		r.refresh(ctx)
		r.saveAll(ctx)
		r.removeAll(ctx)
		r.requestTrials(ctx)
	}
}

// list reads the records until that succeeds. Until then the gateway takes no requests, for
// at most maxListRecordsTime.
func (r *quarantineRecords) list(ctx context.Context) {
	limit := time.AfterFunc(maxListRecordsTime, func() { r.g.post(ctx, recordsRead{}) })
	defer limit.Stop()
	for ctx.Err() == nil {
		if r.listOnce(ctx) {
			r.g.post(ctx, recordsRead{})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(recordsRetryPause):
		}
	}
}

// refresh reads the records again if the last list is recordsRefresh ago.
func (r *quarantineRecords) refresh(ctx context.Context) {
	if time.Since(r.listedAt) >= recordsRefresh {
		r.listOnce(ctx)
	}
}

// listOnce reads the records and reports whether that has succeeded.
func (r *quarantineRecords) listOnce(ctx context.Context) bool {
	r.listedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	records, undecodable, err := r.g.opts.Records.ListRecords(ctx)
	if err != nil {
		r.logFailure("list", "", err)
		return false
	}
	r.recordSuccess()
	r.restore(records)
	if !r.read || undecodable > 0 {
		r.read = true
		r.g.opts.Logger.Info().Str("event", "quarantine-read").Int("records", len(records)).Int("undecodable", undecodable).Msg("")
	}
	return true
}

func (r *quarantineRecords) restore(records []quarantine.Record) {
	r.g.mu.Lock()
	r.g.quarantine.Restore(r.g.now(), time.Now(), records)
	decisions := r.g.applyEvidence()
	r.g.mu.Unlock()
	r.g.logQuarantineDecisions(decisions)
}

// recordsRead is the event of the records having been read, or not having been read for too long.
type recordsRead struct{}

func (recordsRead) apply(c *control) {
	if !c.recordsRead {
		c.recordsRead = true
		c.publish()
	}
}

// saveAll saves the records of quarantined subjects with new evidence.
func (r *quarantineRecords) saveAll(ctx context.Context) {
	r.g.mu.Lock()
	for _, subject := range r.g.quarantine.TakeUnsaved() {
		if len(r.unsaved) < maxPendingRecords {
			r.unsaved[subject] = true
		}
	}
	r.g.mu.Unlock()
	for subject := range r.unsaved {
		if err := r.save(ctx, subject); err != nil {
			r.logFailure("save", subject, err)
			return // the store is away; tried again in the next round
		}
		r.recordSuccess()
		delete(r.unsaved, subject)
	}
}

// save adds this gateway's evidence to a record.
func (r *quarantineRecords) save(ctx context.Context, subject string) error {
	r.g.mu.Lock()
	own, quarantined := r.g.quarantine.Record(r.g.now(), time.Now(), subject)
	r.g.mu.Unlock()
	if !quarantined {
		return nil
	}
	return r.update(ctx, subject, func(stored *quarantine.Record, exists bool) bool {
		if !exists {
			*stored = own
			return true
		}
		return stored.Add(own)
	})
}

// update changes a record unless change returns false.
func (r *quarantineRecords) update(ctx context.Context, subject string, change func(stored *quarantine.Record, exists bool) bool) error {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	var err error
	for range maxRecordConflicts {
		var stored quarantine.Record
		var version quarantine.Version
		if stored, version, err = r.g.opts.Records.LoadRecord(ctx, subject); err != nil {
			return err
		}
		if !change(&stored, version != 0) {
			return nil
		}
		if err = r.g.opts.Records.SaveRecord(ctx, stored, version); !errors.Is(err, quarantine.ErrConflict) {
			break
		}
	}
	if err == nil {
		r.g.opts.Logger.Info().Str("event", "quarantine-saved").Str("subject", subject).Msg("")
	}
	return err
}

// removeAll removes the records of subjects that were found to be sound.
func (r *quarantineRecords) removeAll(ctx context.Context) {
	for _, subject := range r.releasedSubjects() {
		if err := r.g.opts.Records.RemoveRecord(ctx, subject); err != nil {
			r.logFailure("remove", subject, err)
			return // tried again in the next round
		}
		r.recordSuccess()
		r.mu.Lock()
		delete(r.released, subject)
		r.mu.Unlock()
	}
}

func (r *quarantineRecords) releasedSubjects() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Keys(r.released))
}

// requestTrials asks for grants to try quarantined subjects again. A grant whose answer is lost
// is not used.
func (r *quarantineRecords) requestTrials(ctx context.Context) {
	r.g.mu.Lock()
	due := r.g.quarantine.TrialsDue(r.g.now())
	r.g.suspecting.Store(r.g.quarantine.Suspects())
	r.g.mu.Unlock()
	for _, subject := range due {
		granted := false
		err := r.update(ctx, subject, func(stored *quarantine.Record, exists bool) bool {
			granted = exists && stored.Grant(time.Now())
			return granted
		})
		if err != nil {
			r.logFailure("grant", subject, err)
			continue
		}
		r.g.opts.Logger.Info().Str("event", "trial-requested").Str("subject", subject).Bool("granted", granted).Msg("")
		if granted {
			r.g.mu.Lock()
			r.g.quarantine.GrantTrial(subject)
			r.g.mu.Unlock()
		}
	}
}

// logFailure counts a failed call, and logs the first one of a series.
func (r *quarantineRecords) logFailure(call, subject string, err error) {
	r.g.count.recordFailures.Inc(1)
	if r.failing {
		return
	}
	r.failing = true
	r.g.opts.Logger.Warn().Str("event", "quarantine-store-failed").Str("call", call).Str("subject", subject).Err(err).Msg("")
}

// recordSuccess logs the first successful call after failed ones.
func (r *quarantineRecords) recordSuccess() {
	if r.failing {
		r.failing = false
		r.g.opts.Logger.Info().Str("event", "quarantine-store-regained").Msg("")
	}
}
