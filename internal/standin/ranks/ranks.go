// Package ranks is a stand-in for an expert-parallel group of model engines that
// run in lock-step, for trials and tests only. It records the expert map that each
// rank used in each step.
package ranks

import (
	"bytes"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/expertmap"
	"github.com/gentiantrail/gentiantrail/internal/group"
	"github.com/gentiantrail/gentiantrail/internal/rebalance"
	"github.com/gentiantrail/gentiantrail/internal/standin/engine"
	"github.com/gentiantrail/gentiantrail/internal/standin/jsonhttp"
)

// Config sizes a group.
type Config struct {
	// ChecksFencing tells that the engines refuse orders with an old number.
	ChecksFencing bool
	// StepTime is the time between two steps.
	StepTime time.Duration
	// LoadTime is the time that rank 0 takes to load a map's weights; rank n takes n+1 times as long.
	LoadTime time.Duration
	// Shape is the size of the expert map.
	Shape rebalance.Shape
	// DriftTime is the time after which the most popular expert changes.
	DriftTime time.Duration
	// Engine sizes the request side of each rank.
	Engine engine.Config
}

// Group is one group.
type Group struct {
	cfg   Config
	start time.Time

	mu      sync.Mutex
	ranks   []*rank
	record  Record
	used    map[uint64]uint64
	blocked time.Time
}

// rank is one rank's engine.
type rank struct {
	maps    expertmap.Engine
	started time.Time
	engine  *engine.Engine
	// loaded is the map whose weights are in memory.
	loaded []byte
}

// Record is what the group did.
type Record struct {
	// Steps is the highest step that every rank has entered.
	Steps uint64 `json:"steps"`
	// Mixed counts entries into a step with another map than an earlier rank's.
	Mixed int `json:"mixed"`
	// Version is the map used in the last step, and Changes the number of changes.
	Version uint64 `json:"version"`
	Changes int    `json:"changes"`
	// LongestStallMS is the longest time without a step after the first one.
	LongestStallMS int64 `json:"longest_stall_ms"`
}

// keptSteps bounds the steps whose map is remembered.
const keptSteps = 1024

// New returns a group whose ranks hold no map.
func New(cfg Config) *Group {
	g := &Group{cfg: cfg, start: time.Now(), used: make(map[uint64]uint64)}
	for range cfg.Shape.Ranks {
		g.ranks = append(g.ranks, g.newRank())
	}
	return g
}

func (g *Group) newRank() *rank {
	return &rank{
		maps:    expertmap.Engine{ChecksFencing: g.cfg.ChecksFencing},
		started: time.Now(),
		engine:  engine.New(g.cfg.Engine),
	}
}

// Run steps the group until stop is closed.
func (g *Group) Run(stop <-chan struct{}) {
	tick := time.NewTicker(g.cfg.StepTime)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			g.step()
		case <-stop:
			return
		}
	}
}

// step lets each rank enter its next step if all ranks have entered the one before.
func (g *Group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.entered()
	for _, r := range g.ranks {
		step, _, ok := r.maps.NextStep()
		if ok && g.entered()+1 >= step {
			entered, version := r.maps.Enter()
			g.note(entered, version)
		}
	}
	g.noteStall(g.entered() > before)
}

// entered returns the highest step that every rank has entered; ranks without a map count as none.
func (g *Group) entered() uint64 {
	lowest := ^uint64(0)
	for _, r := range g.ranks {
		s := r.maps.State
		switch {
		case s.Active == 0:
			return 0
		case s.Entered:
			lowest = min(lowest, s.Step)
		default:
			lowest = min(lowest, s.Step-1)
		}
	}
	return lowest
}

// note compares the map of an entered step with the one that other ranks used in it.
func (g *Group) note(step, version uint64) {
	used, known := g.used[step]
	if known && used != version {
		g.record.Mixed++
	}
	if known {
		return
	}
	g.used[step] = version
	delete(g.used, step-keptSteps)
	if g.record.Version != 0 && version != g.record.Version {
		g.record.Changes++
	}
	g.record.Version = version
}

func (g *Group) noteStall(stepped bool) {
	now := time.Now()
	if stepped {
		g.record.Steps = g.entered()
		g.blocked = now
		return
	}
	if !g.blocked.IsZero() {
		g.record.LongestStallMS = max(g.record.LongestStallMS, now.Sub(g.blocked).Milliseconds())
	}
}

// Handler returns the HTTP interface of one rank.
func (g *Group) Handler(index int) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		switch {
		case path == group.PathState:
			g.serveState(ctx, index)
		case path == group.PathOrder:
			g.serveOrder(ctx, index)
		case path == group.PathPopularity:
			jsonhttp.Write(ctx, g.popularity())
		case path == group.PathLoad:
			g.serveLoad(ctx, index)
		case path == "/admin/record":
			g.serveRecord(ctx)
		case path == "/admin/restart":
			g.Restart(index)
		case strings.HasPrefix(path, "/rank/"):
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		default:
			g.requests(index).Handle(ctx)
		}
	}
}

func (g *Group) requests(index int) *engine.Engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[index].engine
}

func (g *Group) serveState(ctx *fasthttp.RequestCtx, index int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	jsonhttp.Write(ctx, group.StateAnswer{AgeMillis: time.Since(r.started).Milliseconds(), State: r.maps.State})
}

func (g *Group) serveOrder(ctx *fasthttp.RequestCtx, index int) {
	var o expertmap.Order
	if !jsonhttp.Read(ctx, &o) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	jsonhttp.Write(ctx, g.ranks[index].maps.Apply(o))
}

// serveLoad takes its time unless the rank holds the map's weights already.
func (g *Group) serveLoad(ctx *fasthttp.RequestCtx, index int) {
	var l expertmap.Load
	if !jsonhttp.Read(ctx, &l) {
		return
	}
	g.mu.Lock()
	held := bytes.Equal(g.ranks[index].loaded, l.Map)
	g.mu.Unlock()
	if held {
		return
	}
	time.Sleep(g.cfg.LoadTime * time.Duration(index+1))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[index].loaded = l.Map
}

func (g *Group) serveRecord(ctx *fasthttp.RequestCtx) {
	jsonhttp.Write(ctx, g.Record())
}

// Record returns what the group did.
func (g *Group) Record() Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record
}

// Restart starts a rank's engine afresh: it holds no map.
func (g *Group) Restart(index int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[index] = g.newRank()
}

// popularity returns loads that fall with an expert's place in an order that drifts.
func (g *Group) popularity() rebalance.Popularity {
	shape := g.cfg.Shape
	p := rebalance.Popularity{Experts: shape.Experts}
	shift := 0
	if g.cfg.DriftTime > 0 {
		shift = int(time.Since(g.start) / g.cfg.DriftTime)
	}
	for l := range shape.Layers {
		for e := range shape.Experts {
			place := (e + shift + l) % shape.Experts
			p.Load = append(p.Load, 1/float64(1+place))
		}
	}
	return p
}
