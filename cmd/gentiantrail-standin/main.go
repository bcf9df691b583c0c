// Command gentiantrail-standin simulates one of the external systems in trials and
// tests: the platform's object API, a model engine, a group of model engines, a plain
// service, or the callers.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/rebalance"
	"github.com/gentiantrail/gentiantrail/internal/standin/engine"
	"github.com/gentiantrail/gentiantrail/internal/standin/load"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
	"github.com/gentiantrail/gentiantrail/internal/standin/plain"
	"github.com/gentiantrail/gentiantrail/internal/standin/ranks"
)

type platformArgs struct {
	Listen string `arg:"--listen,required" help:"IP address and port"`
}

type engineArgs struct {
	Listen    string        `arg:"--listen,required" help:"IP address and port"`
	Warm      int           `arg:"--warm" default:"16" help:"most requests that the warm engine bears"`
	Cold      int           `arg:"--cold" default:"2" help:"most requests that the cold engine bears"`
	WarmAfter int           `arg:"--warm-after" default:"8" help:"completed requests that make the engine warm"`
	TokenTime time.Duration `arg:"--token-time" default:"5ms" help:"time between two tokens"`
	Restart   time.Duration `arg:"--restart" default:"2s" help:"time to come back after falling over"`
}

type ranksArgs struct {
	Listen        []string      `arg:"--listen,required" help:"IP address and port of each rank"`
	Layers        int           `arg:"--layers" default:"4" help:"expert layers"`
	Experts       int           `arg:"--experts" default:"16" help:"experts in a layer"`
	Slots         int           `arg:"--slots" default:"12" help:"slots of a rank in a layer"`
	ChecksFencing bool          `arg:"--checks-fencing" help:"refuse orders with an old fencing number"`
	StepTime      time.Duration `arg:"--step-time" default:"5ms" help:"time between two steps"`
	LoadTime      time.Duration `arg:"--load-time" default:"200ms" help:"time to load a map's weights"`
	DriftTime     time.Duration `arg:"--drift-time" default:"10s" help:"time after which another expert is the most popular"`
}

type plainArgs struct {
	Listen string `arg:"--listen,required" help:"IP address and port"`
}

type loadArgs struct {
	Plan   string `arg:"--plan,required" help:"path of the YAML plan"`
	Output string `arg:"--output" default:"table" help:"table or json"`
}

type args struct {
	Platform *platformArgs `arg:"subcommand:platform" help:"the platform's object API"`
	Engine   *engineArgs   `arg:"subcommand:engine" help:"a model engine"`
	Ranks    *ranksArgs    `arg:"subcommand:ranks" help:"an expert-parallel group of model engines in lock-step"`
	Plain    *plainArgs    `arg:"subcommand:plain" help:"a plain service"`
	Load     *loadArgs     `arg:"subcommand:load" help:"callers that check every answer"`
}

func main() {
	var a args
	p := arg.MustParse(&a)
	switch {
	case a.Platform != nil:
		serve(a.Platform.Listen, objectstore.Handler(objectstore.New()))
	case a.Engine != nil:
		serve(a.Engine.Listen, engine.New(a.Engine.config()).Handle)
	case a.Ranks != nil:
		serveRanks(a.Ranks)
	case a.Plain != nil:
		serve(a.Plain.Listen, plain.New().Handle)
	case a.Load != nil:
		os.Exit(runLoad(a.Load))
	default:
		p.Fail("name a stand-in")
	}
}

func (a *engineArgs) config() engine.Config {
	return engine.Config{
		WarmCapacity: a.Warm, ColdCapacity: a.Cold, WarmAfter: a.WarmAfter,
		TokenTime: a.TokenTime, RestartTime: a.Restart,
	}
}

// serveRanks runs one group of engines, each rank on its own address.
func serveRanks(a *ranksArgs) {
	g := ranks.New(ranks.Config{
		Shape:         rebalance.Shape{Ranks: len(a.Listen), Layers: a.Layers, Experts: a.Experts, SlotsPerRank: a.Slots},
		ChecksFencing: a.ChecksFencing, StepTime: a.StepTime, LoadTime: a.LoadTime, DriftTime: a.DriftTime,
		Engine: engine.Config{WarmCapacity: 16, ColdCapacity: 2, WarmAfter: 8, TokenTime: a.StepTime},
	})
	for i, addr := range a.Listen[1:] {
		go serve(addr, g.Handler(i+1))
	}
	go g.Run(make(chan struct{}))
	serve(a.Listen[0], g.Handler(0))
}

// serve serves h on addr until the process ends; it ends the process if listening fails.
func serve(addr string, h fasthttp.RequestHandler) {
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, MaxRequestBodySize: 8 << 20}
	if err := s.ListenAndServe(addr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runLoad runs a load plan and returns the exit code: 1 if the run failed or anything was
// lost, duplicated or truncated, 2 if the plan cannot be loaded.
func runLoad(a *loadArgs) int {
	plan, err := load.LoadPlan(a.Plan)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	report, err := load.Run(plan)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if a.Output == "json" {
		_ = json.NewEncoder(os.Stdout).Encode(report)
	} else {
		report.Write(os.Stdout)
	}
	if !report.OK() {
		return 1
	}
	return 0
}
