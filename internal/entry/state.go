package entry

import "time"

// State is the state of an entry for diagnostics.
type State struct {
	Name             string        `json:"name"`
	AvailabilityZone string        `json:"availability_zone"`
	Incarnation      uint64        `json:"incarnation"`
	ConfigRevision   uint64        `json:"config_revision"`
	Stopping         bool          `json:"stopping"`
	Drained          bool          `json:"drained"`
	InFlight         int           `json:"in_flight"`
	Calls            int           `json:"calls"`
	RetryBudget      float64       `json:"retry_budget"`
	Targets          []TargetState `json:"targets"`
	Peers            []PeerState   `json:"peers"`
}

// TargetState is one agent in a State.
type TargetState struct {
	Agent   string `json:"agent"`
	Pool    string `json:"pool"`
	State   string `json:"state"`
	Linked  bool   `json:"linked"`
	Member  string `json:"member"`
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Limit   int    `json:"limit"`
	// InFlight is the number of this entry's requests in flight to the agent.
	InFlight int `json:"sent"`
}

// PeerState is one peer entry in a State.
type PeerState struct {
	Entry            string   `json:"entry"`
	AvailabilityZone string   `json:"availability_zone"`
	Linked           bool     `json:"linked"`
	Member           string   `json:"member"`
	Pools            []string `json:"pools"`
}

// state returns the entry's State; it runs on the control goroutine.
func (c *control) state() State {
	e := c.entry
	s := State{
		Name: e.opts.Identity.Name, AvailabilityZone: e.opts.Identity.AvailabilityZone,
		Incarnation: e.opts.Identity.Incarnation, Stopping: c.stopping,
		InFlight: e.limiter.inFlight(), Calls: e.calls.size(), RetryBudget: e.retryTokens(),
	}
	if c.index != nil {
		s.ConfigRevision = c.index.Revision()
		s.Drained = c.index.AvailabilityZoneDrained(s.AvailabilityZone)
	}
	for _, name := range sortedKeys(c.agents) {
		s.Targets = append(s.Targets, c.targetState(c.agents[name]))
	}
	for _, name := range sortedKeys(c.peers) {
		p := c.peers[name]
		s.Peers = append(s.Peers, PeerState{
			Entry: name, AvailabilityZone: p.identity.AvailabilityZone,
			Linked: len(p.links) > 0, Member: c.membershipState(name), Pools: sortedKeys(p.pools),
		})
	}
	return s
}

func (c *control) targetState(a *agentState) TargetState {
	load := a.report.Load
	return TargetState{
		Agent: a.identity.Name, Pool: a.identity.Pool, State: load.State.String(),
		Linked: len(a.links) > 0, Member: c.membershipState(a.identity.Name),
		Running: load.Running, Queued: load.Queued, Limit: load.Limit, InFlight: a.requests.InFlight(),
	}
}

// membershipState returns the membership state of an agent or entry and the reason for it.
func (c *control) membershipState(name string) string {
	p, known := c.trackerOf(name).State(time.Now(), name)
	if !known {
		return "unknown"
	}
	return p.State.String() + " (" + p.Reason.String() + ")"
}

// State returns the entry's current state, or the zero State once Run has returned.
func (e *Entry) State() State {
	reply := make(chan State, 1)
	e.post(stateRequested{reply: reply})
	select {
	case s := <-reply:
		return s
	case <-e.done:
		return State{}
	}
}

func (e *Entry) retryTokens() float64 {
	e.budgetMu.Lock()
	defer e.budgetMu.Unlock()
	return e.budget.Tokens()
}
