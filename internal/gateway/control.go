package gateway

import (
	"context"
	"maps"
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/retry"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

const (
	// eventQueue is the capacity of the control goroutine's queue of events.
	eventQueue = 1024
	// tickInterval is the interval of the control goroutine's periodic work.
	tickInterval = 500 * time.Millisecond
	// spareGateways is added to the number of known gateways when limits are divided, for
	// gateways that have started but are not known yet.
	spareGateways = 3
	// startMargin is the part of the bound on the requests to a cold target that is used; the
	// rest is for gateways that the others do not know yet.
	startMargin = 0.9
	// assumedGateways is the number of gateways assumed until another one is known.
	assumedGateways = 64
)

// event is an input of the control goroutine.
type event interface{ apply(c *control) }

// control is the state that the control goroutine owns.
type control struct {
	g        *Gateway
	registry *fleet.Registry
	// storeLost contains the topics whose last call to the store failed.
	storeLost map[fleet.Topic]*storeLoss
	// lastAnswers contains the time of the last answered list or watch of each topic.
	lastAnswers [fleet.TopicCount]time.Duration
	// storeEra is the highest era of the store that an event has had.
	storeEra int64
	stopping bool
	// recordsRead is true once the records of the quarantine have been read.
	recordsRead bool
	// limits are the limits of the current settings.
	limits settings.GatewayLimits
	// zoneSettings are those of the current settings, and zoneLog what was logged of the decisions.
	zoneSettings settings.ZoneRouting
	zoneLog      zoneLog
	// probeStates maps the id of each known engine to the time since which the gateway waits
	// for a report of its group, or to probeDone.
	probeStates map[string]time.Duration
	peers       *peerLink
	// loggedShares contains the last log line of the share of each group.
	loggedShares map[string]loggedShare
	// expiry fires when the next entry of the registry is due.
	expiry *time.Timer
}

func newControl(g *Gateway) *control {
	limits := g.opts.Settings.Limits
	return &control{
		g: g, registry: fleet.NewRegistry(limits.DrainTimeout), storeLost: map[fleet.Topic]*storeLoss{},
		limits: limits, zoneSettings: g.opts.Settings.ZoneRouting, zoneLog: zoneLog{}, probeStates: map[string]time.Duration{}, peers: newPeerLink(g), expiry: time.NewTimer(tickInterval),
	}
}

// Run handles events until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	c := newControl(g)
	defer c.expiry.Stop()
	c.publish()
	follower := fleet.Follower{
		Source:  g.opts.Source,
		Self:    fleet.Gateway{Name: g.opts.Settings.Name, PeerAddress: g.opts.Settings.PeerAddress},
		OnEvent: func(e fleet.Event) { g.post(ctx, storeEvent(e)) },

		History:      g.opts.Settings.StoreHistory,
		DrainTimeout: g.opts.Settings.Limits.DrainTimeout,
		LivePeers:    c.peers.livePeers,
		OnChanges:    c.peers.sendChanges,
		OnWatchRole:  g.logWatchRole,
	}
	c.peers.store = &follower
	follower.Run(ctx)
	go g.records.run(ctx)
	go c.peers.run(ctx)
	go g.detectPauses(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-g.events:
			ev.apply(c)
		case <-c.expiry.C:
			c.expire()
		case <-ticker.C:
			c.tick(ctx)
		}
	}
}

func (g *Gateway) post(ctx context.Context, ev event) {
	select {
	case g.events <- ev:
	case <-ctx.Done():
	}
}

// tick removes idle connections, reports the age of the store's answers and the reserves of levels,
// logs changed shares of groups and changed decisions on availability zones, and probes engines whose
// group is unknown.
func (c *control) tick(ctx context.Context) {
	c.g.client.Sweep(c.usedAddresses())
	c.reportReadAges()
	c.g.reportReserves()
	c.logGroupShares()
	c.logZones()
	c.probe(ctx)
}

func (c *control) usedAddresses() func(string) bool {
	used := make(map[string]bool)
	for _, t := range c.g.view.Load().targets {
		used[t.Address] = true
	}
	return func(addr string) bool { return used[addr] }
}

// publish makes the current control state visible to request goroutines.
func (c *control) publish() {
	fv := c.registry.View()
	old := c.g.view.Load()
	v := &view{loaded: fv.Loaded && c.recordsRead, stopping: c.stopping, targets: make(map[string]fleet.Target, len(fv.Targets))}
	if fv.Config != nil {
		if old.index != nil && old.index.Config == fv.Config {
			v.index = old.index
		} else {
			v.index = fleet.NewIndex(fv.Config)
		}
	}
	for _, t := range fv.Targets {
		v.targets[t.ID] = t
	}
	c.peers.addPeers(fv.Gateways)
	v.engines = enginesOf(v)
	if !maps.Equal(v.engines, old.engines) {
		select {
		case c.peers.subscribeNow <- struct{}{}:
		default: // a subscription is pending already
		}
	}
	if v.leveled = old.leveled; v.index != nil && v.index != old.index {
		v.leveled = v.index.LeveledServices()
	}
	v.shares = c.shares()
	c.g.setTargets(v, fv)
	c.g.setZoneSettings(c.zoneSettings, fv.Config)
	c.g.view.Store(v)
}

// enginesOf returns the ids of the model engines by their instance's IP address.
func enginesOf(v *view) map[string]string {
	engines := make(map[string]string)
	if v.index == nil {
		return engines
	}
	for id, t := range v.targets {
		host, _, err := net.SplitHostPort(t.Address)
		if s, ok := v.index.Service(t.Service); err == nil && ok && s.Engine != nil {
			engines[host] = id
		}
	}
	return engines
}

// shares divides the fleet's limits among the gateways.
func (c *control) shares() shares {
	n := assumedGateways
	if known := c.peers.peerCount(); known > 0 {
		n = 1 + known + spareGateways
	}
	l := c.limits
	return shares{gateways: n, coldFactor: l.ColdFactor, coldSlack: float64(l.ColdSlack), retries: retry.WindowLimits{
		Ratio: l.RetryRatio, Slack: float64(l.RetrySlack) / float64(n), Span: l.RetryWindow,
	}}
}

// setTargets passes the targets of a view to the balancer and its limits to the retry
// budgets.
func (g *Gateway) setTargets(v *view, fv fleet.View) {
	targets := make([]placement.Target, 0, len(fv.Targets))
	for _, t := range fv.Targets {
		targets = append(targets, g.placementTarget(v, t, fv.Evacuated[t.AvailabilityZone]))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.balancer.SetTargets(g.now(), targets)
	g.balancer.SetLevels(v.leveled)
	for _, b := range g.budgets {
		b.SetLimits(g.now(), v.shares.retries)
	}
}

func (g *Gateway) placementTarget(v *view, t fleet.Target, evacuated bool) placement.Target {
	p := placement.Target{
		ID: t.ID, Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone,
		Lifetime: t.Lifetime, Slots: t.Slots, Cold: t.ColdRemaining > 0, Accepting: t.State == fleet.TargetReady && !evacuated,
	}
	if v.index == nil {
		return p
	}
	if s, ok := v.index.Service(t.Service); ok {
		p.StartRate = v.shares.startRate(s)
		p.Lockstep = s.Engine != nil
		if s.Engine != nil && v.index.HasLevels(t.Service) {
			p.StepTime, p.StepTimePerRequest = s.Engine.StepTime, s.Engine.StepTimePerRequest
		}
		if s.MaxConnections > 0 {
			p.MaxConns = max(1, s.MaxConnections/v.shares.gateways)
		}
	}
	return p
}

// startRate returns the number of requests that a cold target may get from all gateways in one
// second. It applies to warm targets too, since a target may turn cold at any moment.
func (sh shares) startRate(s *fleet.Service) int {
	if s.ColdRate <= 0 {
		return 0
	}
	return max(1, int(startMargin*(s.ColdRate*sh.coldFactor+sh.coldSlack)))
}

const (
	// probeTimeout bounds one query for a target's group.
	probeTimeout = time.Second
	// mapperReportTimeout is how long to wait for the first report of a new engine's
	// mapper before the engine itself is queried, which puts load on it.
	mapperReportTimeout = 4 * time.Second
)

// probe queries engines for their lock-step group if no mapper on their instance has
// reported it.
func (c *control) probe(ctx context.Context) {
	v := c.g.view.Load()
	for id := range c.probeStates {
		if _, ok := v.targets[id]; !ok {
			delete(c.probeStates, id)
		}
	}
	now := c.g.now()
	for _, id := range v.engines {
		since, known := c.probeStates[id]
		if !known {
			c.probeStates[id] = now
			continue
		}
		if since >= 0 && now-since >= mapperReportTimeout {
			c.probeStates[id] = probeDone
			if c.g.groupUnknown(id) {
				go c.g.probeGroup(ctx, id, v.targets[id].Address)
			}
		}
	}
}

// probeDone marks a target whose group is not queried again.
const probeDone = -1

func (g *Gateway) groupUnknown(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.balancer.Group(id) == ""
}

func (g *Gateway) probeGroup(ctx context.Context, id, addr string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	group, err := g.opts.Probe(ctx, addr)
	if err != nil {
		g.opts.Logger.Info().Str("event", "probe-failed").Str("target", id).Err(err).Msg("")
		g.post(ctx, probeRetry{id: id})
		return
	}
	g.mu.Lock()
	g.balancer.SetGroup(id, group)
	g.mu.Unlock()
	g.opts.Logger.Info().Str("event", "belief").Str("topic", "groups").Str("subject", id).Str("outcome", group).Msg("")
}

// probeRetry schedules another probe of a target.
type probeRetry struct{ id string }

func (p probeRetry) apply(c *control) { c.probeStates[p.id] = c.g.now() }

// settingsReloaded is the event of changed settings.
type settingsReloaded struct {
	limits settings.GatewayLimits
	zones  settings.ZoneRouting
	done   chan struct{}
}

func (r settingsReloaded) apply(c *control) {
	c.limits, c.zoneSettings = r.limits, r.zones
	c.registry.SetDrainTimeout(r.limits.DrainTimeout)
	c.peers.store.SetDrainTimeout(r.limits.DrainTimeout)
	c.publish()
	close(r.done)
}

// stopRequested is the event that begins the graceful stop.
type stopRequested struct{}

func (stopRequested) apply(c *control) {
	if c.stopping {
		return
	}
	c.stopping = true
	c.publish()
	c.g.logStopping()
}
