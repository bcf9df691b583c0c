package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// repeatRun simulates a fleet that gets one request again and again, at any gateway, for hours.
// Targets crash on it before their answer begins.
type repeatRun struct {
	rng      *rand.Rand
	gateways []*Tracker
	// cut contains the gateways that messages do not reach.
	cut map[int]bool
	// store contains the records of quarantined subjects.
	store map[string]Record
	ends  []time.Duration
}

// timeOfDay returns the time of day at a time of the run.
func timeOfDay(now time.Duration) time.Time { return time.Unix(1e9, 0).Add(now) }

// repeatedRequest is what identifies the request.
var repeatedRequest = []string{"request:x"}

func newRepeatRun(seed uint64, gateways int) *repeatRun {
	r := &repeatRun{rng: rand.New(rand.NewPCG(seed, 1)), cut: map[int]bool{}, store: map[string]Record{}}
	for range gateways {
		r.gateways = append(r.gateways, r.newGateway(gateways))
	}
	return r
}

func (r *repeatRun) newGateway(gateways int) *Tracker {
	t := New(r.rng)
	t.SetGateways(gateways)
	return t
}

// tell sends the evidence of a gateway to all others that messages reach.
func (r *repeatRun) tell(now time.Duration, from int) {
	evidence := r.gateways[from].Evidence(now)
	for i, g := range r.gateways {
		if i != from && r.cut[i] == r.cut[from] {
			g.Merge(now, evidence)
		}
	}
}

// restart replaces a gateway by one that knows only what the store has.
func (r *repeatRun) restart(now time.Duration, i int) {
	r.gateways[i] = r.newGateway(len(r.gateways))
	r.gateways[i].Restore(now, timeOfDay(now), slices.Collect(maps.Values(r.store)))
}

// save writes the records of the subjects that a gateway has quarantined or has new evidence of.
func (r *repeatRun) save(now time.Duration, g *Tracker) {
	for _, subject := range g.TakeUnsaved() {
		record, ok := g.Record(now, timeOfDay(now), subject)
		if !ok {
			continue
		}
		if old, exists := r.store[subject]; exists {
			old.Add(record)
			record = old
		}
		r.store[subject] = record
	}
}

// grant lets a gateway try subjects again if the store allows it.
func (r *repeatRun) grant(now time.Duration, g *Tracker) {
	for _, subject := range g.TrialsDue(now) {
		record := r.store[subject]
		if record.Grant(timeOfDay(now)) {
			r.store[subject] = record
			g.GrantTrial(subject)
		}
	}
}

// arrive sends the request through a gateway, and to a second target if the first one ends.
func (r *repeatRun) arrive(now time.Duration, i int) {
	g := r.gateways[i]
	g.Restore(now, timeOfDay(now), slices.Collect(maps.Values(r.store))) // gateways read the store more often than requests come
	v, _ := g.Admit(now, repeatedRequest)
	r.grant(now, g)
	if v == Held || v == Quarantined {
		return
	}
	for range 2 {
		if refused(g, now, repeatedRequest...) {
			return
		}
		r.ends = append(r.ends, now)
		g.RecordCrash(now, uint32(len(r.ends)), repeatedRequest, false)
		r.save(now, g)
		r.tell(now, i)
	}
}

// Guards against a request that ends more than three targets later than stabilityWindow after the
// third, for as long as it comes: through retries of each gateway, restarts, and zones that are
// cut off while others find it out. All gateways lose power at once in the middle.
func TestRequestThatKeepsComingEndsFewTargets(t *testing.T) {
	const (
		stabilityWindow = 3 * time.Second
		maxLater        = 3
		interval        = 7 * time.Second
		runTime         = 4 * time.Hour
		cutTime         = 10 * time.Minute
		restartTime     = 3 * time.Minute
	)
	for gateways, seeds := range map[int]uint64{7: 6, 43: 2, 350: 1} {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d-gateways-seed-%d", gateways, seed), func(t *testing.T) {
				r := newRepeatRun(seed, gateways)
				for i := range gateways / 3 {
					r.cut[i] = true
				}
				nextRestart := restartTime
				for now := time.Duration(0); now < runTime; now += interval {
					if now > cutTime {
						clear(r.cut)
					}
					r.arrive(now, r.rng.IntN(gateways))
					r.tell(now, r.rng.IntN(gateways))
					if now == runTime/interval/2*interval {
						for i := range r.gateways {
							r.restart(now, i)
						}
					}
					if now > nextRestart {
						r.restart(now, r.rng.IntN(gateways))
						nextRestart += restartTime
					}
				}
				later := 0
				for _, at := range r.ends {
					if len(r.ends) > 3 && at > r.ends[2]+stabilityWindow {
						later++
					}
				}
				assert.Assert(t, later <= maxLater, "%d of %d targets end later: %v", later, len(r.ends), r.ends)
			})
		}
	}
}
