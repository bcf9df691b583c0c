package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// MaxHops is the maximum number of entries that may forward a request.
const MaxHops = 1

// Request is the part of a request that Pick needs.
type Request struct {
	// Pool is the pool of the request's service.
	Pool string
	// Service, Organisation and IdempotencyKey determine the key's home agent. A request
	// with an empty key has no home agent.
	Service        string
	Organisation   string
	IdempotencyKey string
	// PrefixHash identifies the prompt prefix for cache affinity; zero means none.
	PrefixHash uint64
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// Hops is the number of entries that have forwarded the request.
	Hops int
	// NoWait is true if the request came from an entry that accepts only a free slot.
	NoWait bool
	// Busy are the agents and peers that had no free slot for the request.
	Busy []string
	// Excluded are the agents and peers that refused to queue the request or that failed.
	Excluded []string
}

// RecordRefusal records that choice c was refused with kind k: in Busy if c is overloaded
// and was asked only for a free slot or a short wait, else in Excluded.
func (r *Request) RecordRefusal(c Choice, k apierr.Kind) {
	if (c.NoWait || c.MaxWait > 0) && k == apierr.KindOverloaded {
		r.Busy = append(r.Busy, c.Name())
		return
	}
	r.Excluded = append(r.Excluded, c.Name())
}

// Destination is the kind of receiver that a request is sent to.
type Destination uint8

// The destinations.
const (
	// NoDestination means that the request is refused with Choice.Err.
	NoDestination Destination = iota
	// ToAgent means that the request goes to an agent of the local availability zone.
	ToAgent
	// ToPeer means that the request goes to an entry of another availability zone.
	ToPeer
)

// Choice is Pick's decision.
type Choice struct {
	// Destination determines which of the other fields are set.
	Destination Destination
	// Target is the chosen agent.
	Target *Target
	// Peer is the chosen entry.
	Peer *Peer
	// NoWait asks for a refusal instead of a position in the agent's queue: the candidate
	// has free capacity by estimate, and others are left if it has not.
	NoWait bool
	// MaxWait asks for a refusal if the wait would be longer; zero means no limit. Only the
	// agent knows the organisation's position in its fair queue, so the first attempts that
	// wait try several agents with a short wait.
	MaxWait time.Duration
	// Err is the refusal; the request did not run.
	Err *apierr.Error
}

// Name returns the name of the chosen agent or peer, for Request.Excluded. It is empty for a
// refusal.
func (c Choice) Name() string {
	switch c.Destination {
	case ToAgent:
		return c.Target.Agent
	case ToPeer:
		return c.Peer.Entry
	default:
		return ""
	}
}

// Requests returns the counter of the chosen agent or peer. It is nil for a refusal.
func (c Choice) Requests() *Counter {
	switch c.Destination {
	case ToAgent:
		return c.Target.Requests
	case ToPeer:
		return c.Peer.Requests
	default:
		return nil
	}
}

// Pick chooses the destination of r. A request with an idempotency key goes to the key's
// home agent, or to the next agent with a free slot. Any other request goes to a target of
// the local availability zone with free capacity, else to a peer whose zone has free
// capacity, else to a short wait; else it is refused. A suspected target is chosen only if
// there is no other target and no peer. The first choices do not wait in the agent's queue:
// a refusal by a target that was estimated to be free costs less than a wait there while
// another target is free.
func (s *Snapshot) Pick(r Request, rng *rand.Rand) Choice {
	p := s.pool(r.Pool)
	if p == nil {
		return refuse(apierr.KindNoTarget, r.Pool, 0, rng)
	}
	if r.IdempotencyKey != "" {
		if c, ok := s.pickHome(p, r, rng); ok {
			return c
		}
		return s.noCandidate(p, r, rng)
	}
	local := s.localCandidates(p, r, (*Target).Usable)
	peers := s.peerCandidates(p, r)
	if len(local) == 0 && len(peers) == 0 {
		// A suspicion may be wrong, so suspected targets are used if no others are left.
		local = s.localCandidates(p, r, (*Target).acceptsWork)
	}
	if len(r.Busy) < shortWaitAttempts {
		if c, ok := pickFree(local, peers, r, rng); ok {
			return c
		}
	}
	if r.NoWait {
		return refuse(apierr.KindOverloaded, r.Pool, 0, rng)
	}
	return s.pickWaiting(p, r, local, peers, rng)
}

const (
	// shortWaitAttempts is the number of first attempts that wait in a queue for at most
	// shortWait, or not at all.
	shortWaitAttempts = 3
	// shortWait is the longest wait that such an attempt accepts.
	shortWait = 300 * time.Millisecond
)

// candidate is a usable target or peer with its estimated load.
type candidate struct {
	estimate
	target *Target
	peer   *Peer
}

func (c candidate) choice() Choice {
	if c.target != nil {
		return Choice{Destination: ToAgent, Target: c.target}
	}
	return Choice{Destination: ToPeer, Peer: c.peer}
}

func (s *Snapshot) localCandidates(p *Pool, r Request, eligible func(*Target) bool) []candidate {
	if s.Drained {
		return nil
	}
	cs := make([]candidate, 0, len(p.Targets))
	for i := range p.Targets {
		t := &p.Targets[i]
		if eligible(t) && !slices.Contains(r.Excluded, t.Agent) {
			cs = append(cs, candidate{estimate: newEstimate(&t.Report, t.Requests), target: t})
		}
	}
	return cs
}

func (s *Snapshot) peerCandidates(p *Pool, r Request) []candidate {
	if r.Hops >= MaxHops {
		return nil
	}
	cs := make([]candidate, 0, len(p.Peers))
	for i := range p.Peers {
		peer := &p.Peers[i]
		if peer.usable() && !slices.Contains(r.Excluded, peer.Entry) {
			cs = append(cs, candidate{estimate: newEstimate(&peer.Report, peer.Requests), peer: peer})
		}
	}
	return cs
}

// pickWaiting chooses among candidates that are busy. Only an agent knows the position of a
// request in its fair queue, so a request is refused here only after an agent has refused
// it.
func (s *Snapshot) pickWaiting(p *Pool, r Request, local, peers []candidate, rng *rand.Rand) Choice {
	if len(r.Busy) < shortWaitAttempts {
		if best, ok := pickShorterWait(notBusy(local, r.Busy), notBusy(peers, r.Busy), r.PrefixHash, rng); ok {
			c := best.choice()
			c.MaxWait = shortWait
			c.NoWait = c.Destination == ToPeer
			return c
		}
	}
	best, ok := pickShorterWait(local, peers, r.PrefixHash, rng)
	if !ok {
		return s.noCandidate(p, r, rng)
	}
	lateness := best.lateness(r.Remaining)
	if lateness > 0 && len(r.Excluded) > 0 {
		return refuse(apierr.KindDeadlineUnreachable, r.Pool, min(lateness, best.expectedWait()), rng)
	}
	return best.choice()
}

// noCandidate returns the refusal of r when no candidate is left.
func (s *Snapshot) noCandidate(p *Pool, r Request, rng *rand.Rand) Choice {
	switch {
	case len(r.Excluded) > 0 || r.NoWait && !s.Drained:
		return refuse(apierr.KindOverloaded, p.Name, 0, rng)
	case s.Drained:
		return refuse(apierr.KindDraining, s.AvailabilityZone, 0, rng)
	default:
		return refuse(apierr.KindNoTarget, p.Name, 0, rng)
	}
}

// retryJitter is the maximum random extension of a requested wait, as a fraction of the
// wait. It spreads the callers' repeats over time.
const retryJitter = 0.5

// refuse returns a refusal that asks the caller to wait for at least wait, extended at
// random by up to the fraction retryJitter.
func refuse(k apierr.Kind, detail string, wait time.Duration, rng *rand.Rand) Choice {
	err := apierr.New(k, detail)
	wait = max(wait, k.Answer().RetryAfter)
	err.RetryAfter = wait + time.Duration(rng.Float64()*retryJitter*float64(wait))
	return Choice{Err: err}
}
