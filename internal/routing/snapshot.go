// Package routing decides, at an entry (a process that accepts the callers' requests),
// which agent or which peer entry of another availability zone gets a request. An agent
// controls all access to one target.
//
// A Snapshot is immutable and may be read by many goroutines; the control goroutine of the
// entry publishes a new one at each change. Only the Counters that it points to change,
// atomically. The agent's admission is exact; a Snapshot is an estimate from outdated
// reports, corrected by the requests that this entry has sent since. A wrong estimate costs
// one refused hop and never overloads a target.
package routing

import (
	"sync/atomic"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// Counter counts the requests that an entry has in flight at one agent or peer.
// It is safe for concurrent use.
type Counter struct{ n atomic.Int64 }

// Begin counts a request that is about to be sent.
func (c *Counter) Begin() { c.n.Add(1) }

// End counts the end of a request.
func (c *Counter) End() { c.n.Add(-1) }

// InFlight returns the number of requests in flight.
func (c *Counter) InFlight() int { return int(c.n.Load()) }

// Report is the latest load report of an agent or peer.
type Report struct {
	// Known is false until the first report has arrived.
	Known bool
	// Load is the reported load. For a peer it is the sum over the pool's targets in the
	// peer's availability zone.
	Load message.Load
	// InFlightAtReport is the Counter's value when the report arrived.
	InFlightAtReport int
}

// Update replaces the report with load, which arrived while inFlight requests were counted.
// It returns false and changes nothing if r is newer.
func (r *Report) Update(load message.Load, inFlight int) bool {
	if r.Known && load.Seq < r.Load.Seq {
		return false
	}
	*r = Report{Known: true, Load: load, InFlightAtReport: inFlight}
	return true
}

// Target is one agent of the entry's availability zone.
type Target struct {
	// Agent is the agent's name.
	Agent string
	// Incarnation is the agent's current incarnation.
	Incarnation uint64
	// Report is the agent's latest report.
	Report Report
	// Requests counts this entry's requests at the agent.
	Requests *Counter
	// Suspected is true if heartbeats or dispatches have failed.
	Suspected bool
	// Leaving is true if the agent has announced that it accepts no new work.
	Leaving bool
	// Drained is true if the configuration takes the instance out of service.
	Drained bool
}

// Peer is an entry of another availability zone.
type Peer struct {
	// Entry is the peer's name.
	Entry string
	// AvailabilityZone is the peer's availability zone.
	AvailabilityZone string
	// Report is the latest report of the pool's load in the peer's availability zone.
	Report Report
	// Requests counts this entry's requests of the pool at the peer.
	Requests *Counter
	// Suspected is true if heartbeats or dispatches have failed.
	Suspected bool
	// Leaving is true if the peer accepts no new work.
	Leaving bool
	// Drained is true if the configuration takes the peer or its availability zone out of
	// service.
	Drained bool
}

// RemoteTarget is an agent of another availability zone, known by name only.
type RemoteTarget struct {
	// Agent is the agent's name.
	Agent string
	// AvailabilityZone is the agent's availability zone.
	AvailabilityZone string
}

// Pool is an entry's view of one target pool.
type Pool struct {
	// Name is the pool's name.
	Name string
	// Targets are the agents of the local availability zone.
	Targets []Target
	// Peers are the entries of other availability zones that accept this pool's requests.
	Peers []Peer
	// Remote are the agents of other availability zones, which may be home agents of
	// idempotency keys.
	Remote []RemoteTarget
}

// Snapshot is the complete state that Pick reads.
type Snapshot struct {
	// AvailabilityZone is the entry's availability zone.
	AvailabilityZone string
	// Drained is true if the local availability zone accepts no new work.
	Drained bool
	// Pools are the configured pools.
	Pools []Pool
}

func (s *Snapshot) pool(name string) *Pool {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

// Usable reports whether t may get new work.
func (t *Target) Usable() bool { return !t.Suspected && t.acceptsWork() }

// acceptsWork reports whether t may get new work apart from a suspicion.
func (t *Target) acceptsWork() bool {
	down := t.Report.Known && t.Report.Load.State == message.TargetDown
	leaving := t.Report.Known && t.Report.Load.State == message.TargetLeaving
	return !t.Leaving && !t.Drained && !down && !leaving
}

// usable reports whether p may get new work.
func (p *Peer) usable() bool { return !p.Suspected && !p.Leaving && !p.Drained }
