package mapper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/mapswitch"
)

// round is one request to every rank, with the orders of the coordinator.
type round struct {
	id     uint64
	orders map[int]mapswitch.Order
	// answers contains the state of each rank that has answered.
	answers map[int]mapswitch.State
	size    int
	// sendsPrepare is true if the round contains a prepare order of a change.
	sendsPrepare bool
	// packedMap is the encoded map of the round's orders, if they have one.
	packedMap []byte
	// dueAt is the time at which unanswered requests are sent again.
	dueAt time.Time
}

// startRound starts a round with the coordinator's orders.
func (m *Mapper) startRound(ctx context.Context, now time.Time) time.Duration {
	l := m.leaderState
	r := &round{id: rand.Uint64(), orders: map[int]mapswitch.Order{}, answers: map[int]mapswitch.State{}, size: m.local.Size}
	for _, c := range l.commands {
		r.sendsPrepare = r.sendsPrepare || c.Order.Map != nil
		r.orders[c.Rank] = c.Order
	}
	l.round = r
	m.logOrders(r)
	return m.sendRound(ctx, now)
}

// logOrders logs the orders that a round sends: one line for the ranks that receive the same order.
func (m *Mapper) logOrders(r *round) {
	ranks := map[loggedOrder][]int{}
	for rank := range r.size {
		if o, ok := r.orders[rank]; ok {
			key := loggedOrder{o.Op, o.Version, o.Pass}
			ranks[key] = append(ranks[key], rank)
		}
	}
	for o, to := range ranks {
		m.opts.Logger.Info().Str("event", "round-order").Uint64("round", r.id).Str("operation", o.op.String()).
			Int64("version", o.version).Int64("pass", o.pass).Ints("to_ranks", to).Msg("")
	}
}

// loggedOrder is the part of an order that identifies it in the log.
type loggedOrder struct {
	op            mapswitch.Op
	version, pass int64
}

// sendRound sends requests to the ranks that have not answered. It returns the time after which
// it must be called again.
func (m *Mapper) sendRound(ctx context.Context, now time.Time) time.Duration {
	l := m.leaderState
	r := l.round
	pause := retryInterval
	if r.mapsOutstanding() {
		pause = mapRetryInterval
		m.sendMaps()
	}
	for rank := range r.size {
		if _, ok := r.answers[rank]; ok {
			continue
		}
		request := &roundRequest{Round: r.id}
		if o, ok := r.orders[rank]; ok {
			if o.Map != nil && rank != m.local.Rank {
				continue // sendMaps has sent the request
			}
			request.Order = &o
		}
		m.sendRequest(ctx, r, rank, request)
		if m.leaderState != l {
			return idleRoundPause // the local engine has another rank, with which this process does not lead yet
		}
	}
	r.dueAt = now.Add(pause)
	return pause
}

// sendRequest sends a round's request to a rank, or carries it out if the rank is the local one.
func (m *Mapper) sendRequest(ctx context.Context, r *round, rank int, request *roundRequest) {
	if rank == m.local.Rank {
		if state, ok := m.carryOutRequest(ctx, request); ok {
			r.answers[rank] = state
		}
		return
	}
	if mb := m.leaderState.members[rank]; mb != nil && mb.addr != nil {
		m.send(mb.addr, datagram{Request: request})
	}
}

// mapsOutstanding reports whether a rank that has not answered is to receive a map.
func (r *round) mapsOutstanding() bool {
	for rank, o := range r.orders {
		if _, answered := r.answers[rank]; !answered && o.Map != nil {
			return true
		}
	}
	return false
}

// continueRound sends the round's outstanding requests when they are due.
func (m *Mapper) continueRound(ctx context.Context, now time.Time) time.Duration {
	if wait := m.leaderState.round.dueAt.Sub(now); wait > 0 {
		return wait
	}
	return m.sendRound(ctx, now)
}

// recordAnswer records a rank's answer if it belongs to this round.
func (r *round) recordAnswer(rank int, a *roundAnswer) {
	if a.Round == r.id && rank >= 0 && rank < r.size {
		r.answers[rank] = a.State
	}
}

// done reports whether all ranks have answered.
func (r *round) done() bool { return len(r.answers) == r.size }

// states returns the answers by rank.
func (r *round) states() []mapswitch.State {
	states := make([]mapswitch.State, r.size)
	for rank, s := range r.answers {
		states[rank] = s
	}
	return states
}

// handleRequest passes on a leader's request, carries it out and sends the answer.
func (m *Mapper) handleRequest(ctx context.Context, from *net.UDPAddr, request *roundRequest) {
	if request.ReplyTo.IsValid() {
		from = net.UDPAddrFromAddrPort(request.ReplyTo)
		m.relay(*request, request.Relay[:min(len(request.Relay), m.local.Size)])
	}
	if state, ok := m.carryOutRequest(ctx, request); ok {
		m.send(from, datagram{Answer: &roundAnswer{Round: request.Round, State: state}})
	}
}

// errUnknownOrder means that a request has an order that this version does not know.
var errUnknownOrder = errors.New("the order is not known")

// completeOrder checks the request's order and sets the map of a prepare order.
func (m *Mapper) completeOrder(ctx context.Context, request *roundRequest) (err error) {
	o := request.Order
	switch {
	case !o.Op.IsKnown():
		return errUnknownOrder
	case len(request.Map) > 0:
		o.Map, err = unpackMap(request.Map)
	case o.Op == mapswitch.Prepare && o.Map == nil:
		o.Map, err = m.fenceMap(ctx)
	}
	return err
}

// carryOutRequest passes the request's order to the local engine and reads the engine's
// state afterwards. It returns false if the order is unknown or has no valid map, or if the state
// can't be read.
func (m *Mapper) carryOutRequest(ctx context.Context, request *roundRequest) (mapswitch.State, bool) {
	result := mapswitch.NoOrder
	if request.Order != nil {
		if err := m.completeOrder(ctx, request); err != nil {
			m.opts.Logger.Warn().Str("event", "order-refused").Err(err).Msg("")
			return mapswitch.State{}, false
		}
		result = m.sendOrder(ctx, request)
	}
	reading, err := m.readEngine(ctx)
	if err != nil || reading.Group == "" {
		return mapswitch.State{}, false
	}
	m.recordReading(reading)
	reading.State.Result = result
	return reading.State, true
}

// orderTimeout is the timeout of one order; the engine is on the same instance.
const orderTimeout = 60 * time.Millisecond

// sendOrder sends a request's order to the local engine and logs its result.
func (m *Mapper) sendOrder(ctx context.Context, request *roundRequest) mapswitch.Result {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o := request.Order
	result, err := m.opts.Engine.Order(ctx, *o)
	line := m.opts.Logger.Info().Str("event", "order").Uint64("round", request.Round).Str("operation", o.Op.String()).Int64("epoch", o.Epoch).
		Int64("version", o.Version).Int64("pass", o.Pass).Int("result", int(result))
	if err != nil {
		line = line.Str("detail", err.Error())
	}
	line.Msg("")
	return result
}
