package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// The deployment of the case: one gateway and one group of ranks, with the figures of the site's sheet.
const (
	storeHost   = "127.0.3.1"
	gatewayHost = "127.0.1.1"
	routeHost   = "notices.example"
	accessKey   = "n2ctnfzs989anu6wsjnb"
	service     = "drafter"
	zone        = "sk-a"
)

func rankHost(rank int) string { return fmt.Sprintf("127.0.2.%d", rank+1) }

// ports of the deployment; they are the same on all machines.
type ports struct{ front, ready, admin, peer, app, store int }

func configuration(size engineSize, version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": routeHost, "pathPrefix": "/draft/", "kind": "streaming", "timeoutMs": 8000, "targetLatencyMs": 400,
			"priority": 1, "service": service, "maxAttempts": 2, "allowAnonymous": false, "sessionAffinity": true, "resumeStreams": true,
			"targetGapMs": 120,
		}},
		"services": []any{map[string]any{
			"name": service, "healthCheckPath": "/health", "connectionLimit": 2780, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0,
			"engine": map[string]any{
				"concurrencySlots": size.slots, "kvCacheTokens": 494000, "stride": 6, "models": []any{map[string]any{"name": "m"}},
				"step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512,
				"sets": size.sets, "experts": size.experts, "placements": size.placements, "spare": size.spare,
				"expertMb": 1700.0, "linkMbps": 1700.0 * 8 / size.copyTime.Seconds(), "expertShare": 0.85, "form_ms": 600.0,
			},
		}},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "accessKeys": []string{accessKey}, "priority": 1}},
	}
}

func gatewaySettings(name, host string, p ports) string {
	return fmt.Sprintf(`name: "%s"
availability_zone: "%s"
listen: "%s:%d"
ready_address: "%s:%d"
admin_address: "%s:%d"
peer_address: "%s:%d"
store_address: "%s:%d"
store_history: 20s
memory: 284
limits:
  retry_ratio: 0.2
  retry_slack: 90
  retry_window: 10s
  cold_factor: 1.5
  cold_slack: 5
  drain_timeout: 2000ms
  stop_timeout: 8s
`, name, zone, host, p.front, host, p.ready, host, p.admin, host, p.peer, storeHost, p.store)
}

func mapperSettings(name, host string, p ports) string {
	return fmt.Sprintf(`name: "%s"
availability_zone: "%s"
target_address: "%s:%d"
service: "%s"
peer_address: "%s:%d"
admin_address: "%s:%d"
store_address: "%s:%d"
memory: 152
`, name, zone, host, p.app, service, host, p.peer, host, p.admin, storeHost, p.store)
}

// Times of the case.
const (
	// orderDelay is how late the unanswered orders are carried out: 2 to 12 s are allowed.
	orderDelay = 4 * time.Second
	// killAfter is the time from the first late order to the kill of the leader's mapper.
	killAfter = 250 * time.Millisecond
	// latePeriod is the time for which arm orders are left unanswered.
	latePeriod = 1500 * time.Millisecond
	// restartPause is the pause after which the platform starts a killed process again.
	restartPause = 500 * time.Millisecond
	// rounds is the number of times that the case repeats its requests and its disruption.
	rounds = 5
	// lateRank is the rank whose arm orders are carried out late.
	lateRank = 5
)

// mapsCase checks that no pass begins while two ranks have different maps. With trouble, a rank leaves its arm
// orders unanswered and carries them out late, and the leading mapper is killed and started again.
func mapsCase(targets, folder string, trouble bool, rec *recorder) (int, error) {
	size := engineSize{
		ranks: 8, sets: 6, experts: 64, placements: 11, spare: 4, copyTime: 600 * time.Millisecond,
		passTime: 30 * time.Millisecond, slots: 12, queue: 24, events: 8,
	}
	hosts := []string{storeHost, gatewayHost}
	for rank := range size.ranks {
		hosts = append(hosts, rankHost(rank))
	}
	free, err := freePorts(hosts, 6)
	if err != nil {
		return exitNotRun, err
	}
	p := ports{front: free[0], ready: free[1], admin: free[2], peer: free[3], app: free[4], store: free[5]}
	g := newGroup(size, rec, 1)
	s := newStore()
	s.put("config", "main", configuration(size, 7))
	if err := serve(fmt.Sprintf("%s:%d", storeHost, p.store), s); err != nil {
		return exitNotRun, err
	}
	for rank := range size.ranks {
		addr := fmt.Sprintf("%s:%d", rankHost(rank), p.app)
		if err := serve(addr, g.handler(rank)); err != nil {
			return exitNotRun, err
		}
		g.register(s, rank, addr, 1)
	}
	d := &deployment{targets: targets, folder: folder, rec: rec}
	defer d.end()
	var mappers []*program
	gateway, err := d.add("gateway", "gentiantrail-gateway", gatewaySettings("edge-1", gatewayHost, p))
	if err != nil {
		return exitNotRun, err
	}
	for rank := range size.ranks {
		m, err := d.add(fmt.Sprintf("mapper-%d", rank), "gentiantrail-mapper", mapperSettings(fmt.Sprintf("side-%d", rank), rankHost(rank), p))
		if err != nil {
			return exitNotRun, err
		}
		mappers = append(mappers, m)
	}
	for _, program := range append([]*program{gateway}, mappers...) {
		if err := program.start(); err != nil {
			return exitNotRun, err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go g.passes(stop)
	go g.beat(s, p.app, stop)
	time.Sleep(5 * time.Second)

	c := newCaller(fmt.Sprintf("http://%s:%d", gatewayHost, p.front), routeHost, accessKey, rec)
	troubles := 0
	for topic := range rounds {
		t := &armTrouble{rec: rec, restarted: make(chan struct{}), leader: mappers[0]} // rank 0 leads
		g.mu.Lock()
		g.late = t.late
		g.mu.Unlock()
		rec.printf("requests with topic %d", topic)
		c.period(topic, 1500*time.Millisecond)
		rec.printf("requests with topic %d: other experts are in demand", topic+1)
		c.period(topic+1, 400*time.Millisecond)
		rec.printf("no requests")
		t.active.Store(trouble)
		c.wg.Wait()
		if t.restartedWithin(3 * time.Second) {
			troubles++
			time.Sleep(latePeriod + orderDelay - t.sinceFirst() + 300*time.Millisecond)
		}
		t.active.Store(false)
		rec.printf("requests with topic %d again", topic+1)
		c.period(topic+1, 500*time.Millisecond)
		c.wg.Wait()
		if g.isMixed() {
			break
		}
	}
	if trouble && troubles == 0 {
		return exitNotRun, fmt.Errorf("no change of the map armed rank %d in a quiet period", lateRank)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rec.printf("orders: %d, of which %d were carried out late; changes of the map: %d; requests served: %d, others: %d",
		g.orders, g.lateOrders, g.changes, c.served.Load(), c.other.Load())
	switch {
	case g.mixed != "":
		rec.printf("result: MAP is broken: %s", g.mixed)
		return exitBroken, nil
	case g.step == 0 || c.served.Load() == 0:
		return exitNotRun, fmt.Errorf("the group made no passes or no request was served")
	}
	rec.printf("result: all ranks had the same map in each of %d passes", g.step)
	return exitHeld, nil
}

// isMixed reports whether a pass has begun while two ranks had different maps.
func (g *group) isMixed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixed != ""
}

// armTrouble makes one rank carry out its arm orders late, and has the leader's process killed soon after the first.
type armTrouble struct {
	rec       *recorder
	leader    *program
	active    atomic.Bool
	lates     atomic.Int64
	first     atomic.Int64
	restarted chan struct{}
}

// late implements group.late.
func (t *armTrouble) late(rank int, operation string) (time.Duration, bool) {
	if operation != "arm" || rank != lateRank || !t.active.Load() || t.lates.Load() > 0 && t.sinceFirst() > latePeriod {
		return 0, false
	}
	if t.lates.Add(1) == 1 {
		t.first.Store(int64(t.rec.since()))
		time.AfterFunc(killAfter, func() {
			t.leader.killAndRestart(restartPause)
			close(t.restarted)
		})
	}
	return orderDelay, true
}

func (t *armTrouble) sinceFirst() time.Duration { return t.rec.since() - time.Duration(t.first.Load()) }

// restartedWithin reports whether the leader's process has been killed and started again by the end of a time.
func (t *armTrouble) restartedWithin(d time.Duration) bool {
	select {
	case <-t.restarted:
		return true
	case <-time.After(d):
		return false
	}
}

// period sends requests of a topic for a time.
func (c *caller) period(topic int, d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		c.stream("/draft/2f", topic)
		time.Sleep(25 * time.Millisecond)
	}
}

// register writes the entry of a rank to the store.
func (g *group) register(s *store, rank int, addr string, sequence int) {
	s.put("servers", g.ranks[rank].id, map[string]any{
		"service": service, "address": addr, "zone": zone, "version": "v1", "concurrencySlots": g.size.slots, "state": "ready",
		"coldRemainingMs": 0, "stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"sequence": sequence, "born": g.ranks[rank].lifetime,
	})
}

// beat renews the entries of the ranks.
func (g *group) beat(s *store, app int, stop <-chan struct{}) {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for sequence := 2; ; sequence++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			for rank := range g.ranks {
				g.register(s, rank, fmt.Sprintf("%s:%d", rankHost(rank), app), sequence)
			}
		}
	}
}

var _ http.Handler = (*store)(nil)
