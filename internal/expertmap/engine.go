package expertmap

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// OrderKind is the kind of an Order.
type OrderKind uint8

// Kinds of an Order.
const (
	// OrderFence raises the engine's fencing number and returns the engine's state.
	OrderFence OrderKind = iota + 1
	// OrderHold adds Version as the pending map, to be used from Step on. The engine
	// does not enter Step before Version is resolved.
	OrderHold
	// OrderResolve commits or aborts Version.
	OrderResolve
	// OrderRelease allows the switch to Version, which must be committed.
	OrderRelease
	// OrderInstall starts an engine that holds no map at Step with Version.
	OrderInstall
)

// Order is a command with a fencing number, which the engine carries out quickly.
type Order struct {
	Kind OrderKind
	// Number is the fencing number. An engine that checks fencing numbers refuses an
	// order whose number is lower than the highest one received.
	Number  uint64
	Version uint64
	Step    uint64
	Commit  bool
	Map     []byte
	// Pending is the committed map that OrderInstall adds; its Version is zero if
	// there is none.
	Pending Pending
}

// Pending is a loaded map that is to be used from Step on.
type Pending struct {
	Version uint64
	Step    uint64
	Map     []byte
	// Decided is true once the map is committed.
	Decided bool
	// Released is true once all ranks have committed the map, so that Step may be entered.
	Released bool
}

// EngineState is the expert-map state of one rank's engine.
type EngineState struct {
	// Active is the version in use in Step; zero means that the engine holds no map.
	Active    uint64
	ActiveMap []byte
	// Step is the last step entered, or the first step to enter if Entered is false.
	Step    uint64
	Entered bool
	Pending Pending
}

// Reply is the engine's answer to an Order.
type Reply struct {
	State EngineState
	// Refused is the reason for a refusal, or KindNone if the order was carried out.
	Refused apierr.Kind
}

// Engine implements the behaviour that the protocol requires of a rank's engine.
// No state survives a restart: the zero Engine holds no map and has entered no step.
type Engine struct {
	// ChecksFencing is true if the engine refuses orders with a fencing number lower
	// than the highest one received.
	ChecksFencing bool
	State         EngineState
	highestNumber uint64
}

// Apply carries out an order and returns the answer.
func (e *Engine) Apply(o Order) Reply {
	if e.ChecksFencing && o.Number < e.highestNumber {
		return Reply{State: e.State, Refused: apierr.KindStaleFence}
	}
	e.highestNumber = max(e.highestNumber, o.Number)
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

// NextStep returns the step that the engine enters next and the version that it
// uses in that step; ok is false if the engine holds no map or has to wait at the
// switch step.
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
// called only if NextStep allows it and all ranks have entered the previous step.
func (e *Engine) Enter() (step, version uint64) {
	step, version, _ = e.NextStep()
	s := &e.State
	if version == s.Pending.Version {
		s.Active, s.ActiveMap, s.Pending = version, s.Pending.Map, Pending{}
	}
	s.Step, s.Entered = step, true
	return step, version
}
