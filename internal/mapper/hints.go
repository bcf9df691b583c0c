package mapper

import (
	"context"
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/hint"
)

// subscriptionTime is how long a gateway gets hints after it asked; gateways ask
// several times within it.
const subscriptionTime = 10 * time.Second

// subscriber is a gateway that gets hints.
type subscriber struct {
	addr  *net.UDPAddr
	since time.Time
}

// subscribe takes in a gateway and tells it at once what is known.
func (m *Mapper) subscribe(_ context.Context, from *net.UDPAddr) {
	m.subscribers[from.String()] = subscriber{addr: from, since: time.Now()}
	if b := m.ownHint(); b != nil {
		m.sendRaw(from, b)
	}
}

// hintAll tells all subscribers of the engine.
func (m *Mapper) hintAll() {
	b := m.ownHint()
	for key, s := range m.subscribers {
		if time.Since(s.since) > subscriptionTime {
			delete(m.subscribers, key)
			continue
		}
		if b != nil {
			m.sendRaw(s.addr, b)
		}
	}
}

// ownHint returns the hint about the own engine, or nil if nothing is known.
func (m *Mapper) ownHint() []byte {
	if m.own.Group == "" {
		return nil
	}
	b, err := (&hint.Message{Report: &hint.Report{
		Group: m.own.Group, Epoch: m.own.State.Epoch, Open: m.own.State.Open, Running: m.own.Running, Waiting: m.own.Waiting,
	}}).Encode()
	if err != nil {
		m.opts.Logger.Error().Str("event", "encode").Err(err).Msg("")
		return nil
	}
	return b
}
