package agent

import "time"

// State is the state of an agent for diagnostics.
type State struct {
	Name             string     `json:"name"`
	AvailabilityZone string     `json:"availability_zone"`
	Pool             string     `json:"pool"`
	Incarnation      uint64     `json:"incarnation"`
	ConfigRevision   uint64     `json:"config_revision"`
	TargetUp         bool       `json:"target_up"`
	TargetState      string     `json:"target_state"`
	Stopping         bool       `json:"stopping"`
	Drained          bool       `json:"drained"`
	Running          int        `json:"running"`
	Queued           int        `json:"queued"`
	Limit            int        `json:"limit"`
	QueueLimit       int        `json:"queue_limit"`
	ServiceTime      string     `json:"service_time"`
	Settled          int        `json:"settled"`
	Links            []string   `json:"links"`
	Jobs             []JobState `json:"jobs"`
}

// JobState is one open request in a State.
type JobState struct {
	Request      string `json:"request"`
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Phase        string `json:"phase"`
	TimeLeft     string `json:"time_left"`
	Entry        string `json:"entry"`
}

// String returns the phase's name.
func (p phase) String() string {
	switch p {
	case phaseStarted:
		return "started"
	case phaseWithdrawn:
		return "withdrawn"
	default:
		return "pending"
	}
}

// state returns the agent's State; it runs on the control goroutine.
func (c *control) state() State {
	id := c.agent.opts.Identity
	load := c.admission.Load(c.agent.now())
	s := State{
		Name: id.Name, AvailabilityZone: id.AvailabilityZone, Pool: id.Pool, Incarnation: id.Incarnation,
		TargetUp: c.targetUp, TargetState: load.State.String(), Stopping: c.stopping, Drained: c.drained,
		Running: load.Running, Queued: load.Queued, Limit: load.Limit, QueueLimit: load.QueueLimit,
		ServiceTime: load.ServiceTime.String(), Settled: len(c.settled.notRun),
	}
	if c.index != nil {
		s.ConfigRevision = c.index.Revision()
	}
	for p := range c.peers {
		s.Links = append(s.Links, p.Identity().Name)
	}
	now := time.Now()
	for _, j := range c.jobs {
		s.Jobs = append(s.Jobs, JobState{
			Request: j.req.RequestID, Organisation: j.req.Organisation, Service: j.req.Service,
			Phase: phase(j.phase.Load()).String(), TimeLeft: j.deadline.Sub(now).String(),
			Entry: j.peer.Identity().Name,
		})
	}
	return s
}

// State returns the agent's current state, or the zero State after Close.
func (a *Agent) State() State {
	reply := make(chan State, 1)
	a.post(stateRequested{reply: reply})
	select {
	case s := <-reply:
		return s
	case <-a.closed:
		return State{}
	}
}
