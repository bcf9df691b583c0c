// Package ranks is a stand-in for an expert-parallel group of model engines that run in
// lock-step, for trials and tests only. It records whether all ranks used the same expert
// map in each step.
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

// Config contains the size and timing of a group.
type Config struct {
	// ChecksFencing is true if the engines refuse orders with a fencing number lower than
	// the highest one received.
	ChecksFencing bool
	// StepTime is the time between two steps.
	StepTime time.Duration
	// LoadTime is the time that rank 0 needs to load the weights of a map; rank n needs
	// n+1 times as long.
	LoadTime time.Duration
	// Shape is the size of the expert map.
	Shape rebalance.Shape
	// DriftTime is the interval at which the popularity of the experts shifts; zero means
	// never.
	DriftTime time.Duration
	// Engine configures the engine that serves the requests of each rank.
	Engine engine.Config
}

// Group is one stand-in group.
type Group struct {
	cfg   Config
	start time.Time

	mu            sync.Mutex
	ranks         []*rank
	record        Record
	versionByStep map[uint64]uint64 // map version used in each recent step
	lastProgress  time.Time         // zero until the first step of all ranks
}

// rank is the engine of one rank.
type rank struct {
	expertMap expertmap.Engine
	started   time.Time
	engine    *engine.Engine
	// loadedMap is the map whose weights the rank has loaded.
	loadedMap []byte
}

// Record summarises the steps that the group has taken.
type Record struct {
	// Steps is the highest step that all ranks have entered.
	Steps uint64 `json:"steps"`
	// Mixed counts how often a rank entered a step with another map than the rank that
	// entered it first.
	Mixed int `json:"mixed"`
	// Version is the version of the map used in the last step, and Changes the number of
	// changes of version.
	Version uint64 `json:"version"`
	Changes int    `json:"changes"`
	// LongestStallMS is the longest time in milliseconds without a step, after the first
	// step.
	LongestStallMS int64 `json:"longest_stall_ms"`
}

// maxRecordedSteps is the number of recent steps whose map version is kept.
const maxRecordedSteps = 1024

// New returns a group whose ranks have no map.
func New(cfg Config) *Group {
	g := &Group{cfg: cfg, start: time.Now(), versionByStep: make(map[uint64]uint64)}
	for range cfg.Shape.Ranks {
		g.ranks = append(g.ranks, g.newRank())
	}
	return g
}

func (g *Group) newRank() *rank {
	return &rank{
		expertMap: expertmap.Engine{ChecksFencing: g.cfg.ChecksFencing},
		started:   time.Now(),
		engine:    engine.New(g.cfg.Engine),
	}
}

// Run steps the group until stop is closed.
func (g *Group) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(g.cfg.StepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.step()
		case <-stop:
			return
		}
	}
}

// step lets each rank enter its next step if all ranks have entered the previous one.
func (g *Group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	enteredBefore := g.lowestEntered()
	for _, r := range g.ranks {
		step, _, ok := r.expertMap.NextStep()
		if ok && g.lowestEntered()+1 >= step {
			entered, version := r.expertMap.Enter()
			g.recordEntered(entered, version)
		}
	}
	g.recordProgress(g.lowestEntered() > enteredBefore)
}

// lowestEntered returns the highest step that all ranks have entered. It returns 0 if a
// rank has no map.
func (g *Group) lowestEntered() uint64 {
	lowest := ^uint64(0)
	for _, r := range g.ranks {
		s := r.expertMap.State
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

// recordEntered records that a rank entered a step with a version of the map. It counts
// the step as mixed if another rank entered it with another version.
func (g *Group) recordEntered(step, version uint64) {
	used, known := g.versionByStep[step]
	if known && used != version {
		g.record.Mixed++
	}
	if known {
		return
	}
	g.versionByStep[step] = version
	delete(g.versionByStep, step-maxRecordedSteps)
	if g.record.Version != 0 && version != g.record.Version {
		g.record.Changes++
	}
	g.record.Version = version
}

// recordProgress records whether all ranks entered a new step, and the time since they
// last did.
func (g *Group) recordProgress(stepped bool) {
	now := time.Now()
	if stepped {
		g.record.Steps = g.lowestEntered()
		g.lastProgress = now
		return
	}
	if !g.lastProgress.IsZero() {
		g.record.LongestStallMS = max(g.record.LongestStallMS, now.Sub(g.lastProgress).Milliseconds())
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
			g.requestEngine(index).Handle(ctx)
		}
	}
}

// requestEngine returns the engine that serves the requests of a rank.
func (g *Group) requestEngine(index int) *engine.Engine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ranks[index].engine
}

func (g *Group) serveState(ctx *fasthttp.RequestCtx, index int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.ranks[index]
	jsonhttp.Write(ctx, group.StateAnswer{AgeMillis: time.Since(r.started).Milliseconds(), State: r.expertMap.State})
}

func (g *Group) serveOrder(ctx *fasthttp.RequestCtx, index int) {
	var o expertmap.Order
	if !jsonhttp.Read(ctx, &o) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	jsonhttp.Write(ctx, g.ranks[index].expertMap.Apply(o))
}

// serveLoad simulates the loading of a map's weights. It returns immediately if the rank
// has loaded them already.
func (g *Group) serveLoad(ctx *fasthttp.RequestCtx, index int) {
	var l expertmap.Load
	if !jsonhttp.Read(ctx, &l) {
		return
	}
	g.mu.Lock()
	loaded := bytes.Equal(g.ranks[index].loadedMap, l.Map)
	g.mu.Unlock()
	if loaded {
		return
	}
	time.Sleep(g.cfg.LoadTime * time.Duration(index+1))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[index].loadedMap = l.Map
}

func (g *Group) serveRecord(ctx *fasthttp.RequestCtx) {
	jsonhttp.Write(ctx, g.Record())
}

// Record returns a summary of the steps so far.
func (g *Group) Record() Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record
}

// Restart replaces the engine of a rank with a new one that has no map.
func (g *Group) Restart(index int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[index] = g.newRank()
}

// popularity returns the load of each expert in each layer. The load decreases with the
// expert's position in an order that shifts by one every DriftTime.
func (g *Group) popularity() rebalance.Popularity {
	shape := g.cfg.Shape
	p := rebalance.Popularity{Experts: shape.Experts}
	shift := 0
	if g.cfg.DriftTime > 0 {
		shift = int(time.Since(g.start) / g.cfg.DriftTime)
	}
	for l := range shape.Layers {
		for e := range shape.Experts {
			position := (e + shift + l) % shape.Experts
			p.Load = append(p.Load, 1/float64(1+position))
		}
	}
	return p
}
