package group

// State is the section of an agent's state dump that describes its group.
type State struct {
	Group       string `json:"group"`
	Rank        int    `json:"rank"`
	Fence       uint64 `json:"fence"`
	Excluded    bool   `json:"excluded"`
	Coordinator bool   `json:"coordinator"`
	Phase       string `json:"phase,omitempty"`
	Version     uint64 `json:"version,omitempty"`
	WaitingFor  []int  `json:"waiting_for,omitempty"`
	Members     int    `json:"members"`
	Links       int    `json:"links"`
}

// publishState updates the state that State returns.
func (d *Driver) publishState() {
	s := State{Group: d.opts.Group, Rank: d.opts.Rank, Members: len(d.members), Links: len(d.peers)}
	if d.rank != nil {
		s.Fence, s.Excluded = d.rank.Fence(), d.rank.Excluded()
	}
	if c := d.coordinator; c != nil {
		s.Coordinator, s.Phase, s.Version, s.WaitingFor = true, c.Phase().String(), c.Version(), c.PendingRanks()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = s
}

// State returns the state as of the driver's last event. It is safe for concurrent use.
func (d *Driver) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}
