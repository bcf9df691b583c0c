package mapper

import (
	"context"
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/hint"
)

// subscriptionDuration is the time for which a gateway receives hints after a request;
// gateways renew the request several times within it.
const subscriptionDuration = 10 * time.Second

// subscriber is a gateway that receives hints.
type subscriber struct {
	addr        *net.UDPAddr
	refreshedAt time.Time
}

// handleSubscription adds or renews a subscriber and immediately sends it a hint.
func (m *Mapper) handleSubscription(_ context.Context, from *net.UDPAddr) {
	m.subscribers[from.String()] = subscriber{addr: from, refreshedAt: time.Now()}
	if b := m.encodeHint(); b != nil {
		m.sendRaw(from, b)
	}
}

// sendHints sends a hint about the local engine to all subscribers, and removes those whose
// subscription has expired.
func (m *Mapper) sendHints() {
	b := m.encodeHint()
	for key, s := range m.subscribers {
		if time.Since(s.refreshedAt) > subscriptionDuration {
			delete(m.subscribers, key)
			continue
		}
		if b != nil {
			m.sendRaw(s.addr, b)
		}
	}
}

// encodeHint returns the encoded hint about the local engine, or nil if the engine is in no
// group.
func (m *Mapper) encodeHint() []byte {
	if m.local.Group == "" {
		return nil
	}
	b, err := (&hint.Message{Report: &hint.Report{
		Group: m.local.Group, Epoch: m.local.State.Epoch, Open: m.local.State.Open, Running: m.local.Running, Waiting: m.local.Waiting,
	}}).Encode()
	if err != nil {
		m.opts.Logger.Error().Str("event", "encode").Err(err).Msg("")
		return nil
	}
	return b
}
