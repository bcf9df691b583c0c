package gateway

import (
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/hint"
)

const (
	// subscribeInterval is the interval at which the subscription to the mappers' reports is
	// renewed. With many gateways it grows up to maxSubscribeSlowdown times.
	subscribeInterval    = 3 * time.Second
	maxSubscribeSlowdown = 3
	// subscribeUnknownInterval is the interval of the subscriptions to engines whose group is not
	// known: their mappers may have just started.
	subscribeUnknownInterval = time.Second
	// busyInterval is the interval at which a busy subscription is renewed.
	busyInterval = time.Second
)

// subscribe asks the mappers on the engines' instances for their reports.
func (l *peerLink) subscribe(socket *net.UDPConn) {
	for host := range l.g.view.Load().engines {
		l.sendSubscription(socket, host, hint.Message{Subscribe: true})
	}
}

// subscribeToUnknown repeats the subscription to engines whose group is not known.
func (l *peerLink) subscribeToUnknown(socket *net.UDPConn) {
	for host, id := range l.g.view.Load().engines {
		if l.g.groupUnknown(id) {
			l.sendSubscription(socket, host, hint.Message{Subscribe: true})
		}
	}
}

// subscribeBusy asks the mappers of the engines that have requests of this gateway for frequent
// reports, if there are so many gateways that the mappers send rare ones otherwise.
func (l *peerLink) subscribeBusy(socket *net.UDPConn) {
	if l.peerCount() < hint.ManyGateways {
		return
	}
	now := time.Now()
	for host, id := range l.g.view.Load().engines {
		if now.Sub(l.busySent[host]) >= busyInterval && l.g.isBusy(id) {
			l.busySent[host] = now
			l.sendSubscription(socket, host, hint.Message{Subscribe: true, Busy: true})
		}
	}
}

// isBusy reports whether this gateway has requests at a target.
func (g *Gateway) isBusy(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.IsBusy(id)
}

// sendSubscription sends a subscription to the mapper on an instance. A mapper uses the same port
// number as this process.
func (l *peerLink) sendSubscription(socket *net.UDPConn, host string, m hint.Message) {
	b, err := m.Encode()
	if err != nil {
		l.g.opts.Logger.Error().Str("event", "peer-encode").Err(err).Msg("")
		return
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return
	}
	port := socket.LocalAddr().(*net.UDPAddr).Port
	if _, err := socket.WriteToUDP(b, &net.UDPAddr{IP: ip, Port: port}); err != nil {
		l.g.count.peerErrors.Inc(1) // sent again soon
	}
}

// handleReport handles a mapper's report on the lock-step group of its engine.
func (l *peerLink) handleReport(from *net.UDPAddr, r *hint.Report) {
	id, ok := l.g.view.Load().engines[from.IP.String()]
	if !ok {
		return
	}
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	change := l.g.balancer.HandleGroupReport(l.g.now(), id, r.Group, r.Epoch, r.Open)
	if !r.Frequent {
		l.g.balancer.ReportsRarely(id)
	}
	if change != "" {
		l.g.opts.Logger.Info().Str("event", "belief").Str("topic", "groups").Str("subject", r.Group).Str("from", id).
			Int64("epoch", r.Epoch).Str("outcome", change).Msg("")
	}
}
