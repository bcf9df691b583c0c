package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/quarantine"
)

// waitForRecords waits until the store has n records.
func waitForRecords(t *testing.T, records *fakeRecords, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := records.count(); got != n {
			return poll.Continue("%d records", got)
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(5*time.Second))
}

// Guards against a request that ends three more targets each time that all gateways start again:
// one that starts knows from the store what is quarantined, also if the store was away when that
// was found out.
func TestStartedGatewayRefusesARequestThatOthersHaveQuarantined(t *testing.T) {
	pair := requestPairs["safe by path"]
	gw := newGatewayWithCrashingRequest(t, 14, pair.crashing)
	gw.records.setDown(true)
	for i := 0; gw.crashed() < 3; i++ {
		gw.status(pair.crashing, fmt.Sprint("c", i))
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, gw.records.count(), 0)
	gw.records.setDown(false)
	waitForRecords(t, gw.records, 1)

	started := newTestGatewayWithRecords(t, gw.records, []fleet.Change{{Name: "main", Config: testConfig(1)}}, respond(200, "ok")).waitReady()
	assert.Equal(t, started.status(pair.crashing, "again"), 503)
	assert.Equal(t, started.status(pair.sound, "sound"), 200)
	assert.Equal(t, len(started.targets[0].requests()), 1)
}

// Guards against gateways that can't hear each other, though they reach the store: one learns from
// there what another one has found out.
func TestGatewayLearnsOfAQuarantineFromTheStore(t *testing.T) {
	pair := requestPairs["once by body"]
	records := newFakeRecords()
	config := []fleet.Change{{Name: "main", Config: testConfig(1)}}
	one := newTestGatewayWithRecords(t, records, config, respond(200, "ok")).waitReady()
	other := newTestGatewayWithRecords(t, records, config, respond(200, "ok")).waitReady()
	req, _, err := http1.ParseRequest([]byte(pair.crashing.bytes("a")), http1.Limits{Header: 4096, Body: 4096})
	assert.NilError(t, err)
	x := &exchange{req: req, organisation: &fleet.Organisation{Name: "org"}}
	for i := range 3 {
		one.g.recordCrash(x, placement.Target{ID: fmt.Sprint("gone", i)}, false)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(other.suspected()) == 0 {
			return poll.Continue("not known yet")
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(2*recordsRefresh))
	assert.Equal(t, other.status(pair.crashing, "a"), 503)
	assert.Equal(t, other.status(pair.sound, "b"), 200)
}

// Guards against a record that outlasts the answer which shows that its subject is sound.
func TestRecordIsRemovedWithTheQuarantine(t *testing.T) {
	sound := requestPairs["safe by path"].sound
	req, _, err := http1.ParseRequest([]byte(sound.bytes("a")), http1.Limits{Header: 4096})
	assert.NilError(t, err)
	x := &exchange{req: req, organisation: &fleet.Organisation{Name: "org"}}
	records, subject := newFakeRecords(), x.fingerprint()
	record := quarantine.Record{Evidence: quarantine.Evidence{Subject: subject, Quarantined: true}, SavedAt: time.Now()}
	for target := range uint32(3) {
		record.Evidence.Crashes = append(record.Evidence.Crashes, quarantine.CrashReport{Target: target, AgeMs: time.Hour.Milliseconds()})
	}
	records.records[subject], records.versions[subject] = record, 1
	records.version = 1

	started := newTestGatewayWithRecords(t, records, []fleet.Change{{Name: "main", Config: testConfig(1)}}, respond(200, "ok")).waitReady()
	assert.Equal(t, started.status(sound, "refused"), 503)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := started.status(sound, "again"); status != 200 {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithDelay(50*time.Millisecond), poll.WithTimeout(10*time.Second))
	waitForRecords(t, records, 0)
}

// Guards against a gateway that takes no requests because the records can't be read.
func TestGatewayStartsWithoutRecords(t *testing.T) {
	records := newFakeRecords()
	records.setDown(true)
	gw := newTestGatewayWithRecords(t, records, []fleet.Change{{Name: "main", Config: testConfig(1)}}, respond(200, "ok")).waitReady()
	assert.Equal(t, gw.status(requestPairs["safe by path"].sound, "a"), 200)
}
