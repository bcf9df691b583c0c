package mapper

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
)

// round is one question to every rank, with the orders of the coordinator.
type round struct {
	id     uint64
	orders map[int]mapswitch.Order
	// answers holds the state of each rank that has answered.
	answers map[int]mapswitch.State
	size    int
	asked   time.Time
}

// beginRound asks every rank.
func (m *Mapper) beginRound(ctx context.Context, now time.Time) {
	l := m.lead
	r := &round{id: rand.Uint64(), orders: map[int]mapswitch.Order{}, answers: map[int]mapswitch.State{}, size: m.own.Size}
	for _, c := range l.commands {
		r.orders[c.Rank] = c.Order
		if c.Order.Op == mapswitch.Prepare && c.Order.Map == nil {
			delete(r.orders, c.Rank) // the map in force is not known yet; the next round asks again
		}
	}
	l.round = r
	m.ask(ctx, now)
}

// ask sends the round to the ranks that have not answered.
func (m *Mapper) ask(ctx context.Context, now time.Time) {
	l := m.lead
	l.round.asked = now
	for rank := range l.round.size {
		if _, ok := l.round.answers[rank]; ok {
			continue
		}
		ask := &askBody{Round: l.round.id}
		if o, ok := l.round.orders[rank]; ok {
			ask.Order = &o
		}
		if rank == m.own.Rank {
			if state, ok := m.carryOut(ctx, ask); ok {
				l.round.answers[rank] = state
			}
			continue
		}
		if mb := l.members[rank]; mb != nil && mb.addr != nil {
			m.send(mb.addr, datagram{Ask: ask})
		}
	}
}

// pressRound repeats the question to the ranks that don't answer.
func (m *Mapper) pressRound(ctx context.Context, now time.Time) time.Duration {
	if wait := m.lead.round.asked.Add(askAgain).Sub(now); wait > 0 {
		return wait
	}
	m.ask(ctx, now)
	return askAgain
}

func (r *round) answered(rank int, a *answerBody) {
	if a.Round == r.id && rank >= 0 && rank < r.size {
		r.answers[rank] = a.State
	}
}

func (r *round) done() bool { return len(r.answers) == r.size }

// states returns the answers by rank.
func (r *round) states() []mapswitch.State {
	states := make([]mapswitch.State, r.size)
	for rank, s := range r.answers {
		states[rank] = s
	}
	return states
}

// answer carries out the own part of a leader's round.
func (m *Mapper) answer(ctx context.Context, from *net.UDPAddr, ask *askBody) {
	if state, ok := m.carryOut(ctx, ask); ok {
		m.send(from, datagram{Answer: &answerBody{Round: ask.Round, State: state}})
	}
}

// carryOut gives an order to the own engine and reads its state afterwards. It fails
// if the state can't be read.
func (m *Mapper) carryOut(ctx context.Context, ask *askBody) (mapswitch.State, bool) {
	result := mapswitch.Accepted
	if ask.Order != nil {
		result = m.giveOrder(ctx, ask.Order)
	}
	reading, err := m.read(ctx)
	if err != nil || reading.Group == "" {
		return mapswitch.State{}, false
	}
	m.note(reading)
	reading.State.Result = result
	return reading.State, true
}

// orderTimeout bounds one order: the engine is on the same machine.
const orderTimeout = 60 * time.Millisecond

func (m *Mapper) giveOrder(ctx context.Context, o *mapswitch.Order) mapswitch.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := m.opts.Engine.Order(ctx, *o)
	line := m.opts.Logger.Info().Str("event", "order").Str("operation", o.Op.String()).Int64("epoch", o.Epoch).
		Int64("version", o.Version).Int64("pass", o.Pass).Int("result", int(result))
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Msg("")
	return result
}
