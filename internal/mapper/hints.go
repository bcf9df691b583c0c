package mapper

import (
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/hint"
)

// subscriptionDuration is the time for which a gateway receives hints after a request;
// gateways renew the request several times within it.
const subscriptionDuration = 30 * time.Second

// subscriber is a gateway that receives hints.
type subscriber struct {
	addr        *net.UDPAddr
	refreshedAt time.Time
	// busyUntil is the time until which the gateway receives frequent hints, and sentAt that of
	// the last hint.
	busyUntil, sentAt time.Time
}

// handleSubscription adds or renews a subscriber. It immediately sends a hint to a gateway that is
// new or that has become busy.
func (m *Mapper) handleSubscription(from *net.UDPAddr, busy bool) {
	now := time.Now()
	s := m.subscribers[from.String()]
	known := s != nil
	if !known {
		s = &subscriber{addr: from}
		m.subscribers[from.String()] = s
	}
	s.refreshedAt = now
	becameBusy := busy && now.After(s.busyUntil)
	if busy {
		s.busyUntil = now.Add(hint.BusyDuration)
	}
	if !known || becameBusy {
		m.sendHint(now, s)
	}
}

// sendHints sends hints about the local engine to the subscribers to which they are due, or to all
// after a change, and removes those whose subscription has expired.
func (m *Mapper) sendHints(now time.Time, changed bool) {
	for key, s := range m.subscribers {
		if now.Sub(s.refreshedAt) > subscriptionDuration {
			delete(m.subscribers, key)
			continue
		}
		if changed || m.frequent(now, s) || now.Sub(s.sentAt) >= hint.RareInterval {
			m.sendHint(now, s)
		}
	}
}

// frequent reports whether a subscriber receives frequent hints.
func (m *Mapper) frequent(now time.Time, s *subscriber) bool {
	return len(m.subscribers) <= hint.ManyGateways || now.Before(s.busyUntil)
}

// sendHint sends a hint about the local engine, if the engine is in a group.
func (m *Mapper) sendHint(now time.Time, s *subscriber) {
	if m.local.Group == "" {
		return
	}
	s.sentAt = now
	b, err := (&hint.Message{Report: &hint.Report{
		Group: m.local.Group, Epoch: m.local.State.Epoch, Open: m.local.State.Open, Running: m.local.Running, Waiting: m.local.Waiting,
		Frequent: m.frequent(now, s),
	}}).Encode()
	if err != nil {
		m.opts.Logger.Error().Str("event", "encode").Err(err).Msg("")
		return
	}
	m.sendRaw(s.addr, b)
}
