package mapper

import (
	"context"
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// discover starts a read of the store for the engine's description and the other processes
// of the service, while the description, the leader or some of the ranks are missing.
func (m *Mapper) discover(ctx context.Context) {
	complete := m.engine != nil && (!m.isLeader && m.leader.addr != nil && time.Since(m.leader.lastBeacon) < leaderTimeout ||
		m.isLeader && m.leaderState.allRanksSeen(m.local.Size))
	if complete || m.discovering || time.Since(m.discoveryStartedAt) < discoverInterval {
		return
	}
	m.discovering, m.discoveryStartedAt = true, time.Now()
	needConfig := m.engine == nil
	go func() {
		result := m.readStore(ctx, needConfig)
		m.post(ctx, result)
	}()
}

// readStore reads the store and returns the event that applies the result.
func (m *Mapper) readStore(ctx context.Context, needConfig bool) event {
	var engine *fleet.Engine
	if needConfig {
		batch, err := m.opts.Source.List(ctx, fleet.TopicConfig)
		if err != nil {
			return storeReadFailureEvent(err)
		}
		engine = findEngine(batch, m.opts.Service)
	}
	batch, err := m.opts.Source.List(ctx, fleet.TopicTargets)
	if err != nil {
		return storeReadFailureEvent(err)
	}
	return func(_ context.Context, m *Mapper) {
		m.discovering = false
		if engine != nil {
			m.engine = engine
		}
		if batch.Undecodable > 0 {
			m.opts.Logger.Warn().Str("event", "store-objects-refused").Str("topic", fleet.TopicTargets.String()).Int("count", batch.Undecodable).Msg("")
		}
		m.replacePeers(batch)
	}
}

// storeReadFailureEvent returns the event that logs a failed read of the store.
func storeReadFailureEvent(err error) event {
	return func(_ context.Context, m *Mapper) {
		m.discovering = false
		m.opts.Logger.Info().Str("event", "store-unread").Err(err).Msg("")
	}
}

// findEngine returns the engine's description from the settings of the service, or nil.
func findEngine(batch fleet.Batch, service string) *fleet.Engine {
	for i := range batch.Changes {
		if batch.Changes[i].Config == nil {
			continue
		}
		if s, ok := fleet.NewIndex(batch.Changes[i].Config).Service(service); ok {
			return s.Engine
		}
	}
	return nil
}

// replacePeers replaces the known processes by those that run beside the service's targets.
func (m *Mapper) replacePeers(batch fleet.Batch) {
	peers := make(map[string]*net.UDPAddr)
	for i := range batch.Changes {
		t := batch.Changes[i].Target
		if t == nil || t.Service != m.opts.Service {
			continue
		}
		host, _, err := net.SplitHostPort(t.Address)
		if err != nil {
			continue
		}
		addr := &net.UDPAddr{IP: net.ParseIP(host), Port: m.address.Port}
		if addr.IP == nil || addr.String() == m.opts.PeerAddress {
			continue
		}
		peers[addr.String()] = addr
	}
	m.peers = peers
}
