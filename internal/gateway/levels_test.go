package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/priority"
)

// Guards against levels of services to which only one priority leads, and of plain services.
func TestServicesHaveLevelsOnlyIfPrioritiesDiffer(t *testing.T) {
	route := func(priority int, split ...fleet.WeightedService) fleet.Route {
		return fleet.Route{Priority: priority, Split: split}
	}
	services := []fleet.Service{{Name: "same", Engine: &fleet.Engine{}}, {Name: "differ", Engine: &fleet.Engine{}}, {Name: "plain"}}
	got := fleet.NewIndex(&fleet.Config{Services: services, Routes: []fleet.Route{
		route(1, fleet.WeightedService{Service: "same", Weight: 1}, fleet.WeightedService{Service: "differ", Weight: 1}),
		route(2, fleet.WeightedService{Service: "differ", Weight: 1}, fleet.WeightedService{Service: "same", Weight: 0}),
		route(1, fleet.WeightedService{Service: "same", Weight: 2}, fleet.WeightedService{Service: "differ", Weight: 1}),
		route(0, fleet.WeightedService{Service: "plain", Weight: 1}), route(1, fleet.WeightedService{Service: "plain", Weight: 1}),
	}}).LeveledServices()
	assert.DeepEqual(t, got, map[string]bool{"differ": true})
}

// Guards against a message that grows with the number of levels, and against rates that are lost
// in the encoding.
func TestDemandInMessages(t *testing.T) {
	var reports []priority.Report
	for i := range priority.MaxReports {
		reports = append(reports, priority.Report{Service: math.MaxUint32, Priority: i, Rates: priority.Rates{Arrivals: 98_765.4321, Admissions: 0.0123456}})
	}
	whole, err := cbor.Marshal(workMessage{Demand: newDemand(reports)})
	assert.NilError(t, err)
	assert.Assert(t, len(whole) <= maxDemandBytes+8, "%d bytes", len(whole))
	var m workMessage
	assert.NilError(t, cbor.Unmarshal(whole, &m))
	assert.Assert(t, len(m.Demand) >= 20)
	for i, r := range m.Demand.decode() {
		assert.Equal(t, r.Priority, i)
		assert.Assert(t, math.Abs(r.Arrivals/reports[i].Arrivals-1) < 0.001 && math.Abs(r.Admissions/reports[i].Admissions-1) < 0.001, "%+v", r)
	}
	assert.Equal(t, len(make(demand, 100).decode()), priority.MaxReports)
}

// waitFor waits until a condition holds.
func (gw *testGateway) waitFor(what string, holds func() bool) {
	gw.t.Helper()
	poll.WaitOn(gw.t, func(poll.LogT) poll.Result {
		if !holds() {
			return poll.Continue("%s", what)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// newLeveledGateway returns a gateway with one target, which completes requests once release is
// closed, and whose service has levels: a stream has priority 2, or 1 if its organisation is the
// second.
func newLeveledGateway(t *testing.T, release <-chan struct{}) *testGateway {
	t.Helper()
	config := testConfig(1)
	config.Routes[2].Priority = 2
	one := 1
	config.Organisations[1].Priority = &one
	for i := range config.Services {
		config.Services[i].Engine = &fleet.Engine{}
	}
	return newTestGatewayWith(t, []fleet.Change{{Name: "main", Config: config}}, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(200, eventsUpTo(1))(w, r)
	}).waitReady()
}

// Guards against a refusal that does not tell why, and against a time for a retry that the caller
// ignores.
func TestRefusalOfALevel(t *testing.T) {
	release := make(chan struct{})
	gw := newLeveledGateway(t, release)
	defer close(release)
	logged := func(parts ...string) {
		t.Helper()
		gw.waitFor(strings.Join(parts, " "), func() bool {
			_, ok := gw.logs.find(parts...)
			return ok
		})
	}
	for range 5 {
		_ = gw.send(get("/safe/")...)
	}
	gw.waitFor("5 requests at the target", func() bool { return len(gw.targets[0].requests()) == 5 })
	status, h, _, _ := gw.do(get("/stream/", "T-Deadline: 1900")...)
	assert.Equal(t, status, 503)
	after, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after >= 0.9 && after <= 1.5, "%v s without a measured rate of completions", after)
	logged("event=request", "kind=overloaded", "priority=2.2", "s: priority 2.2, load 5, limit 5, reserve 0")
	status, _, _, _ = gw.do("GET /stream/ HTTP/1.1", "Host: h", "T-Id: a2", "Authorization: Bearer second-key")
	assert.Equal(t, status, 503)
	logged("event=request", "request=a2", "priority=1.2")
}

// Guards against a gateway that does not use the demand of the others, or uses that in an older
// message.
func TestDemandOfAnotherGatewayReservesRoom(t *testing.T) {
	release := make(chan struct{})
	close(release)
	gw := newLeveledGateway(t, release)
	l := newPeerLink(gw.g)
	message := func(sent int64, arrivals shortFloat) {
		gw.g.mu.Lock()
		defer gw.g.mu.Unlock()
		l.handleWork(&workMessage{Sender: "p", SentUs: sent, Demand: demand{{Service: placement.TargetKey("s"), Arrivals: arrivals, Admitted: arrivals}}})
	}
	reserve := func() float64 {
		gw.g.mu.Lock()
		defer gw.g.mu.Unlock()
		for _, r := range gw.g.balancer.Reserves(gw.g.now()) {
			if r.Priority == priority.LevelOf(2, 2, false) {
				return r.Reserve
			}
		}
		return -1
	}
	time.Sleep(time.Until(gw.g.start.Add(time.Second))) // own rates are used after that
	status, _, _, _ := gw.do(get("/stream/")...)
	assert.Equal(t, status, 200)
	message(2, 5)
	message(1, 1)
	assert.Equal(t, math.Round(10*reserve()), 25.0)
	message(3, 1)
	assert.Equal(t, math.Round(10*reserve()), 5.0)
}
