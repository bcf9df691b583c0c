package expertmap

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// OrderKind tells what an Order asks of the engine.
type OrderKind uint8

// The order kinds.
const (
	// OrderFence raises the engine's fencing number and reads its state.
	OrderFence OrderKind = iota + 1
	// OrderHold asks the engine not to enter Step before Version is resolved.
	OrderHold
	// OrderResolve commits or aborts Version.
	OrderResolve
	// OrderRelease allows the switch to a committed Version.
	OrderRelease
	// OrderInstall starts an engine without a map at Step with Version.
	OrderInstall
)

// Order is a quick order to the engine; it carries a fencing number.
type Order struct {
	Kind OrderKind
	// Number is the fencing number; an engine that checks fencing refuses lower ones.
	Number  uint64
	Version uint64
	Step    uint64
	Commit  bool
	Map     []byte
	// Pending is a committed map that OrderInstall adds; zero Version means none.
	Pending Pending
}

// Pending is a loaded map that takes over at Step.
type Pending struct {
	Version uint64
	Step    uint64
	Map     []byte
	// Decided tells that the map is committed.
	Decided bool
	// Released tells that all ranks have committed it, so that Step may be entered.
	Released bool
}

// EngineState is the expert-map state of one rank's engine.
type EngineState struct {
	// Active is the version used in Step; zero means that the engine holds no map.
	Active    uint64
	ActiveMap []byte
	// Step is the last step entered, or the first to enter when Entered is false.
	Step    uint64
	Entered bool
	Pending Pending
}

// Reply is the engine's answer to an Order.
type Reply struct {
	State EngineState
	// Refused is KindNone if the order was carried out.
	Refused apierr.Kind
}

// Engine is the behaviour that the protocol requires of a rank's engine. It
// keeps nothing over a restart: the zero Engine holds no map and runs no step.
type Engine struct {
	// ChecksFencing tells that the engine refuses orders with a lower number.
	ChecksFencing bool
	State         EngineState
	number        uint64
}

// Apply carries out an order.
func (e *Engine) Apply(o Order) Reply {
	if e.ChecksFencing && o.Number < e.number {
		return Reply{State: e.State, Refused: apierr.KindStaleFence}
	}
	e.number = max(e.number, o.Number)
	refused := apierr.KindNone
	switch o.Kind {
	case OrderHold:
		refused = e.hold(o)
	case OrderResolve:
		e.resolve(o)
	case OrderRelease:
		p := &e.State.Pending
		p.Released = p.Released || p.Decided && p.Version == o.Version
	case OrderInstall:
		e.install(o)
	}
	return Reply{State: e.State, Refused: refused}
}

func (e *Engine) hold(o Order) apierr.Kind {
	s := &e.State
	switch {
	case s.Active == 0:
		return apierr.KindStaleIncarnation
	case s.Pending.Version == o.Version:
		return apierr.KindNone
	case s.Pending.Decided, o.Version <= s.Active, o.Version < s.Pending.Version:
		return apierr.KindInProgress
	case o.Step <= s.Step:
		return apierr.KindDeadlineUnreachable
	}
	s.Pending = Pending{Version: o.Version, Step: o.Step, Map: o.Map}
	return apierr.KindNone
}

func (e *Engine) resolve(o Order) {
	p := &e.State.Pending
	if p.Version != o.Version || p.Decided {
		return
	}
	if !o.Commit {
		*p = Pending{}
		return
	}
	p.Decided = true
}

func (e *Engine) install(o Order) {
	if e.State.Active != 0 {
		return
	}
	e.State = EngineState{Active: o.Version, ActiveMap: o.Map, Step: o.Step, Pending: o.Pending}
}

// NextStep returns the step that the engine enters next, the version it will
// use, and false if the engine holds no map or waits at the switch step.
func (e *Engine) NextStep() (step, version uint64, ok bool) {
	s := e.State
	if s.Active == 0 {
		return 0, 0, false
	}
	step = s.Step
	if s.Entered {
		step++
	}
	if s.Pending.Version == 0 || step < s.Pending.Step {
		return step, s.Active, true
	}
	return step, s.Pending.Version, s.Pending.Released
}

// Enter enters the next step and returns its number and version. It must be
// called only when NextStep allows it and all ranks have entered the step before.
func (e *Engine) Enter() (step, version uint64) {
	step, version, _ = e.NextStep()
	s := &e.State
	if version == s.Pending.Version {
		s.Active, s.ActiveMap, s.Pending = version, s.Pending.Map, Pending{}
	}
	s.Step, s.Entered = step, true
	return step, version
}
