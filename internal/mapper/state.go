package mapper

import "context"

// State is the state dump of a mapper.
type State struct {
	Group   string `json:"group"`
	Rank    int    `json:"rank"`
	Size    int    `json:"size"`
	Epoch   int64  `json:"epoch"`
	Open    bool   `json:"open"`
	Pass    int64  `json:"pass"`
	Version int64  `json:"version"`
	// Phase is what the change under way is at, if this process leads.
	Leading bool   `json:"leading"`
	Phase   string `json:"phase,omitempty"`
	Peers   int    `json:"peers"`
	// Subscribers are the gateways that get hints.
	Subscribers int `json:"subscribers"`
}

// State returns the state dump, or the zero State once ctx has ended.
func (m *Mapper) State(ctx context.Context) State {
	reply := make(chan State, 1)
	m.post(ctx, func(_ context.Context, m *Mapper) { reply <- m.state() })
	select {
	case s := <-reply:
		return s
	case <-ctx.Done():
		return State{}
	}
}

func (m *Mapper) state() State {
	s := State{
		Group: m.own.Group, Rank: m.own.Rank, Size: m.own.Size, Epoch: m.own.State.Epoch, Open: m.own.State.Open,
		Pass: m.own.State.Pass, Version: m.own.State.Version, Leading: m.leading, Peers: len(m.peers), Subscribers: len(m.subscribers),
	}
	if m.lead != nil {
		s.Phase = m.lead.coordinator.Phase().String()
	}
	return s
}
