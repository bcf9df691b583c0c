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
	Leading bool   `json:"leading"`
	// Phase is the phase of the current change, if this process leads or has led.
	Phase string `json:"phase,omitempty"`
	Peers int    `json:"peers"`
	// Subscribers is the number of gateways that receive hints.
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
		Group: m.local.Group, Rank: m.local.Rank, Size: m.local.Size, Epoch: m.local.State.Epoch, Open: m.local.State.Open,
		Pass: m.local.State.Pass, Version: m.local.State.Version, Leading: m.isLeader, Peers: len(m.peers), Subscribers: len(m.subscribers),
	}
	if m.leaderState != nil {
		s.Phase = m.leaderState.coordinator.Phase().String()
	}
	return s
}
