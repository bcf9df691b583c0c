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
	// prepares tells that a map goes out with the round.
	prepares bool
	// packed is the map of the round's orders, if they have one.
	packed []byte
	// next is the rank to be asked next, when due has come.
	next int
	due  time.Time
}

// beginRound asks every rank.
func (m *Mapper) beginRound(ctx context.Context, now time.Time) time.Duration {
	l := m.lead
	r := &round{id: rand.Uint64(), orders: map[int]mapswitch.Order{}, answers: map[int]mapswitch.State{}, size: m.own.Size}
	for _, c := range l.commands {
		if c.Order.Op == mapswitch.Prepare && c.Order.Map == nil {
			continue // the map in force is not known yet; the next round asks again
		}
		r.prepares = r.prepares || c.Order.Op == mapswitch.Prepare
		r.orders[c.Rank] = c.Order
	}
	l.round = r
	return m.ask(ctx, now)
}

// ask sends the round to the ranks that have not answered, from the next one in turn
// on. It returns after which time it is to be called again.
func (m *Mapper) ask(ctx context.Context, now time.Time) time.Duration {
	r := m.lead.round
	maps := 0
	for ; r.next < r.size; r.next++ {
		rank := r.next
		if _, ok := r.answers[rank]; ok {
			continue
		}
		ask := &askBody{Round: r.id}
		if o, ok := r.orders[rank]; ok {
			if o.Map != nil {
				maps++
				if r.packed == nil {
					r.packed = packMap(o.Map) // the same for all ranks
				}
				ask.Map = r.packed
				o.Map = nil
			}
			ask.Order = &o
		}
		m.askRank(ctx, rank, ask)
		if maps >= mapsAtOnce {
			r.next++
			r.due = now.Add(mapsPause)
			return mapsPause
		}
	}
	r.next = 0
	pause := askAgain
	if r.sendsMaps() {
		pause = askMapsAgain
	}
	r.due = now.Add(pause)
	return pause
}

func (m *Mapper) askRank(ctx context.Context, rank int, ask *askBody) {
	if rank == m.own.Rank {
		if state, ok := m.carryOut(ctx, ask); ok {
			m.lead.round.answers[rank] = state
		}
		return
	}
	if mb := m.lead.members[rank]; mb != nil && mb.addr != nil {
		m.send(mb.addr, datagram{Ask: ask})
	}
}

// sendsMaps reports whether a rank that has not answered is to get a map.
func (r *round) sendsMaps() bool {
	for rank, o := range r.orders {
		if _, answered := r.answers[rank]; !answered && o.Map != nil {
			return true
		}
	}
	return false
}

// pressRound goes on with the questions of the round when they are due.
func (m *Mapper) pressRound(ctx context.Context, now time.Time) time.Duration {
	if wait := m.lead.round.due.Sub(now); wait > 0 {
		return wait
	}
	return m.ask(ctx, now)
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
		var err error
		if len(ask.Map) > 0 {
			ask.Order.Map, err = unpackMap(ask.Map)
		}
		if err != nil {
			m.opts.Logger.Warn().Str("event", "map-refused").Err(err).Msg("")
			return mapswitch.State{}, false
		}
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
