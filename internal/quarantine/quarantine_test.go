package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTracker() *Tracker { return New(rand.New(rand.NewPCG(1, 0))) }

// verdict returns the verdict on a request with the parts.
func verdict(t *Tracker, now time.Duration, parts ...string) Verdict {
	v, _ := t.Admit(now, parts)
	return v
}

// refused reports whether an admitted request with the parts is refused.
func refused(t *Tracker, now time.Duration, parts ...string) bool {
	_, refused := t.Refuses(now, parts)
	return refused
}

func TestPartIsQuarantinedAfterItsSecondCrash(t *testing.T) {
	tr := newTracker()
	tr.RecordAnswer(0, []string{"route", "doc"})
	parts := []string{"route", "doc", "x"}
	assert.Equal(t, verdict(tr, 0, parts...), Allowed)
	tr.RecordCrash(time.Second, 1, parts, true)
	assert.Equal(t, verdict(tr, time.Second, parts...), Held)
	assert.Equal(t, verdict(tr, time.Second, "route", "doc"), Allowed)
	assert.Assert(t, !refused(tr, time.Second, parts...))
	tr.RecordCrash(2*time.Second, 2, parts, true)
	assert.Equal(t, verdict(tr, 2*time.Second, "route", "other", "x"), Quarantined)
	assert.Equal(t, verdict(tr, 2*time.Second, "route", "doc"), Allowed)
	assert.Assert(t, refused(tr, 2*time.Second, parts...))
}

// A target that ends under a request counts once, however many requests it had.
func TestCrashesOfOneTargetCountOnce(t *testing.T) {
	tr := newTracker()
	for i := range 5 {
		tr.RecordCrash(time.Duration(i), 1, []string{"x"}, true)
	}
	assert.Equal(t, verdict(tr, 5*time.Second, "x"), Trial)
}

// Guards against parts that are blamed for the crashes under another part: requests that
// waited at the same targets have parts that no answer is remembered of.
func TestCrashesAreExplainedByTheWorstPart(t *testing.T) {
	tr := newTracker()
	for target := range uint32(4) {
		tr.RecordCrash(time.Second, target, []string{"x"}, true)
		tr.RecordCrash(time.Second, target, []string{"bystander"}, false)
	}
	now := 5 * time.Second
	assert.Equal(t, verdict(tr, now, "x"), Quarantined)
	assert.Equal(t, verdict(tr, now, "bystander"), Trial)
	assert.Equal(t, verdict(tr, now, "bystander"), Held)
	tr.RecordAnswer(now, []string{"bystander"})
	assert.Equal(t, verdict(tr, now, "bystander"), Allowed)
}

// Guards against an accusation that can't be refuted: parts with the same evidence are refused
// only together, so that requests with some of them show which one is sound.
func TestPartsWithTheSameEvidenceAreRefusedTogether(t *testing.T) {
	tr := newTracker()
	for target := range uint32(2) {
		tr.RecordCrash(0, target, []string{"x", "y"}, true)
	}
	now := 5 * time.Second
	assert.Equal(t, verdict(tr, now, "x", "y"), Quarantined)
	assert.Equal(t, verdict(tr, now, "y"), Trial)
	tr.RecordAnswer(now, []string{"y"})
	assert.Equal(t, verdict(tr, now, "y"), Allowed)
	assert.Equal(t, verdict(tr, now, "x"), Quarantined)
}

// Guards against a stream that began before a part crashed targets and ends the suspicion.
func TestAnswerThatBeganBeforeACrashDoesNotRefuteIt(t *testing.T) {
	tr := newTracker()
	tr.RecordCrash(2*time.Second, 1, []string{"x"}, true)
	tr.RecordAnswer(time.Second, []string{"x"})
	assert.Equal(t, verdict(tr, 2*time.Second, "x"), Held)
	tr.RecordAnswer(3*time.Second, []string{"x"})
	assert.Equal(t, verdict(tr, 3*time.Second, "x"), Allowed)
}

// A part that was answered before needs more evidence, but is found within five crashes.
func TestPartThatWasAnsweredBeforeIsQuarantinedLater(t *testing.T) {
	tr := newTracker()
	tr.RecordAnswer(0, []string{"x"})
	for target := range uint32(3) {
		tr.RecordCrash(time.Second, target, []string{"x"}, true)
		assert.Equal(t, verdict(tr, 2*time.Second, "x"), Allowed)
	}
	tr.RecordCrash(time.Second, 3, []string{"x"}, true)
	assert.Equal(t, verdict(tr, 2*time.Second, "x"), Quarantined)
}

// Guards against a quarantine for good, and against one that ends five targets each time it is
// lifted: with a grant one request is let through, and its crash renews the quarantine.
func TestQuarantineIsTriedAgainWithOneRequest(t *testing.T) {
	tr := newTracker()
	for target := range uint32(2) {
		tr.RecordCrash(0, target, []string{"x"}, true)
	}
	now := time.Duration((1 + evidenceJitter) * float64(evidenceTime))
	tr.Evidence(now)
	assert.Equal(t, len(tr.TrialsDue(now)), 0, "a trial without a request for it")
	assert.Equal(t, verdict(tr, now, "x"), Quarantined)
	assert.DeepEqual(t, tr.TrialsDue(now), []string{"x"})
	assert.Equal(t, len(tr.TrialsDue(now)), 0, "a second grant is asked for")
	assert.Equal(t, verdict(tr, now, "x"), Quarantined)
	tr.GrantTrial("x")
	assert.Equal(t, verdict(tr, now, "x"), Trial)
	assert.Assert(t, !refused(tr, now, "x"), "the trial is refused on its way")
	assert.Equal(t, verdict(tr, now, "x"), Held)
	tr.RecordCrash(now, 3, []string{"x"}, true)
	assert.Assert(t, refused(tr, now, "x"), "the trial goes to a second target")
	assert.Equal(t, verdict(tr, now+time.Minute, "x"), Quarantined)
	now *= 3
	assert.Equal(t, verdict(tr, now, "x"), Quarantined)
	assert.DeepEqual(t, tr.TrialsDue(now), []string{"x"})
	tr.GrantTrial("x")
	assert.Equal(t, verdict(tr, now, "x"), Trial)
	tr.RecordAnswer(now, []string{"x"})
	assert.Equal(t, verdict(tr, now, "x"), Allowed)
}

// Guards against trials without end: after five crashes none is asked for.
func TestSubjectIsNotTriedAfterItsFifthCrash(t *testing.T) {
	tr := newTracker()
	for target := range uint32(maxRetrialCrashes) {
		tr.RecordCrash(0, target, []string{"x"}, true)
	}
	now := 100 * evidenceTime
	assert.Equal(t, verdict(tr, now, "x"), Quarantined)
	assert.Equal(t, len(tr.TrialsDue(now)), 0)
}

// Guards against a grant that is lost with a request that reached no target, and against more than
// one request for a grant of subjects that are refused only together.
func TestTrialThatReachedNoTargetKeepsItsGrant(t *testing.T) {
	tr := newTracker()
	subjects := []string{"x", "y"}
	for target := range uint32(2) {
		tr.RecordCrash(0, target, subjects, true)
	}
	now := 2 * evidenceTime
	assert.Equal(t, verdict(tr, now, subjects...), Quarantined)
	assert.DeepEqual(t, tr.TrialsDue(now), []string{"x"})
	tr.GrantTrial("x")
	assert.Equal(t, verdict(tr, now, subjects...), Trial)
	tr.ReturnTrial(subjects)
	assert.Equal(t, verdict(tr, now, subjects...), Trial)
	assert.Equal(t, verdict(tr, now+2*trialTime, subjects...), Quarantined, "a grant is used twice")
}

// Guards against a fingerprint that is refused only together with that of another request, which
// no request can have, and with it against a request that is never refused.
func TestFingerprintsAreRefusedOneByOne(t *testing.T) {
	tr := newTracker()
	for target := range uint32(3) {
		tr.RecordCrash(0, target, []string{"request:a", "doc"}, false)
		tr.RecordCrash(0, target, []string{"request:b", "doc"}, false)
	}
	assert.Equal(t, verdict(tr, time.Second, "request:a"), Quarantined)
	assert.Equal(t, verdict(tr, time.Second, "request:b", "doc"), Quarantined)
	tr.RecordAnswer(time.Second, []string{"request:b", "doc"})
	assert.Equal(t, verdict(tr, time.Second, "request:b", "doc"), Allowed)
	assert.Equal(t, verdict(tr, time.Second, "request:a"), Quarantined)
}

// Guards against a quarantine that ends with the processes that know of it, and against trials
// that each start of a process adds.
func TestQuarantineOutlastsAllGateways(t *testing.T) {
	wall := time.Unix(1e9, 0)
	tr := newTracker()
	for target := range uint32(3) {
		tr.RecordCrash(time.Hour, target, []string{"x"}, false)
	}
	record, ok := tr.Record(time.Hour, wall, "x")
	assert.Assert(t, ok)
	started := newTracker()
	started.Restore(0, wall.Add(2*time.Hour), []Record{record})
	assert.Equal(t, verdict(started, 0, "x"), Quarantined)
	assert.Assert(t, record.Grant(wall))
	assert.Assert(t, !record.Grant(wall.Add(minTrialInterval/2)), "too soon")
	assert.Assert(t, record.Grant(wall.Add(minTrialInterval)))
	assert.Assert(t, !record.Grant(wall.Add(100*minTrialInterval)), "more than %d trials", maxTrials)
}

// Guards against a record that loses the crashes of later trials.
func TestRecordAddsLaterCrashes(t *testing.T) {
	wall := time.Unix(1e9, 0)
	tr := newTracker()
	for target := range uint32(3) {
		tr.RecordCrash(0, target, []string{"x"}, false)
	}
	record, _ := tr.Record(0, wall, "x")
	assert.Assert(t, !record.Add(record))
	tr.RecordCrash(time.Hour, 3, []string{"x"}, false)
	later, _ := tr.Record(time.Hour, wall.Add(time.Hour), "x")
	assert.Assert(t, record.Add(later))
	started := newTracker()
	started.Restore(0, wall.Add(2*time.Hour), []Record{record})
	assert.Equal(t, started.Status(0)[0].Crashes, 4)
	assert.Equal(t, started.Status(0)[0].LastCrashMsAgo, time.Hour.Milliseconds())
}

// Guards against messages that grow with the number of gateways: evidence is repeated by those that
// have seen a crash, and one that has only heard of it tells no more than an answer that it remembers.
func TestOnlyWitnessesRepeatEvidence(t *testing.T) {
	witness, other, knowing := newTracker(), newTracker(), newTracker()
	knowing.RecordAnswer(0, []string{"x"})
	witness.RecordCrash(time.Second, 1, []string{"x"}, false)
	evidence := witness.Evidence(time.Second)
	other.Merge(time.Second, evidence)
	knowing.Merge(time.Second, evidence)
	assert.Equal(t, len(other.Evidence(time.Second)), 0)
	assert.Equal(t, len(knowing.Evidence(time.Second)), 1)
	other.Relay()
	assert.Equal(t, len(other.Evidence(time.Second)), 1)
	later := time.Second + newsTime + suspectRefresh
	assert.Equal(t, len(witness.Evidence(later)), 1)
	assert.Equal(t, len(other.Evidence(later)), 0)
	assert.Equal(t, len(knowing.Evidence(later)), 0)
}

// Guards against messages that name old suspects all the time, and against gateways that never
// hear of them.
func TestOldEvidenceIsToldNowAndThen(t *testing.T) {
	tr := newTracker()
	tr.RecordCrash(0, 1, []string{"x"}, false)
	told := 0
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		told += len(tr.Evidence(now))
	}
	assert.Assert(t, told >= int(time.Minute/suspectRefresh) && told <= 50, "told %d times", told)
}

func TestMemoryIsBoundedUnderNewParts(t *testing.T) {
	tr := newTracker()
	for i := range 3 * maxAnswered {
		tr.RecordAnswer(time.Duration(i), []string{fmt.Sprint(i)})
	}
	for i := range 3 * maxSuspects {
		tr.RecordCrash(time.Duration(i), 1, []string{fmt.Sprint("s", i)}, false)
	}
	assert.Assert(t, len(tr.answered.newer)+len(tr.answered.older) <= maxAnswered)
	assert.Assert(t, len(tr.suspects) <= maxSuspects)
	assert.Assert(t, len(tr.Evidence(0)) <= maxEvidence)
}

// Evidence of several gateways adds up, and an answer at one of them ends a suspicion at all.
func TestEvidenceIsShared(t *testing.T) {
	a, b := newTracker(), newTracker()
	a.RecordCrash(10*time.Second, 1, []string{"x"}, true)
	b.RecordCrash(20*time.Second, 2, []string{"x"}, true)
	a.Merge(10*time.Second, b.Evidence(20*time.Second))
	b.Merge(20*time.Second, a.Evidence(10*time.Second))
	assert.Equal(t, verdict(a, 11*time.Second, "x"), Quarantined)
	assert.Equal(t, verdict(b, 21*time.Second, "x"), Quarantined)
	a.RecordAnswer(12*time.Second, []string{"x"})
	b.Merge(22*time.Second, a.Evidence(12*time.Second))
	assert.Equal(t, verdict(b, 22*time.Second, "x"), Allowed)
	a.Merge(12*time.Second, b.Evidence(22*time.Second))
	assert.Equal(t, verdict(a, 12*time.Second, "x"), Allowed)
}

// Guards against evidence that never leaves a gateway: a target that ends has many requests, whose
// parts are more than one message can name.
func TestEvidenceNamesTheStrongestSuspects(t *testing.T) {
	tr := newTracker()
	tr.RecordCrash(time.Second, 1, []string{"x"}, true)
	for i := range 100 {
		tr.RecordCrash(time.Second+time.Millisecond, 1, []string{fmt.Sprint("bystander", i)}, false)
	}
	evidence := tr.Evidence(time.Second + 2*time.Millisecond)
	assert.Assert(t, slices.ContainsFunc(evidence, func(e Evidence) bool { return e.Subject == "x" }))
}

// Guards against a quarantine that ends because many requests waited at targets that end: their
// parts pushed it out of the bounded list.
func TestQuarantineOutlastsManySuspects(t *testing.T) {
	tr := newTracker()
	for target := range uint32(2) {
		tr.RecordCrash(time.Second, target, []string{"x"}, true)
	}
	for i := range 3 * maxSuspects {
		tr.RecordCrash(2*time.Second, 3, []string{fmt.Sprint("bystander", i)}, false)
	}
	assert.Equal(t, verdict(tr, 3*time.Second, "x"), Quarantined)
}

// Guards against messages whose number grows with the square of the gateways: a crash is told
// at once only by the gateway that saw it.
func TestReportedCrashIsNotToldAgainAtOnce(t *testing.T) {
	a, b := newTracker(), newTracker()
	a.RecordCrash(0, 1, []string{"x"}, true)
	assert.Assert(t, a.TakeChanged())
	b.Merge(0, a.Evidence(0))
	assert.Assert(t, !b.TakeChanged())
}

// Guards against a gateway that has just started and holds back requests with parts that
// others know to be sound.
func TestOtherGatewaysVouchForAPart(t *testing.T) {
	old, started := newTracker(), newTracker()
	old.RecordAnswer(time.Second, []string{"route"})
	started.RecordCrash(time.Second, 1, []string{"route"}, false)
	assert.Equal(t, verdict(started, time.Second, "route"), Held)
	old.Merge(2*time.Second, started.Evidence(time.Second))
	started.Merge(time.Second, old.Evidence(2*time.Second))
	assert.Equal(t, verdict(started, time.Second, "route"), Allowed)
}
