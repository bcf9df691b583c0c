package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// MaxHops is the number of entries that may pass a request on.
const MaxHops = 1

// Request is what Pick has to know about a request.
type Request struct {
	// Pool is the pool of the request's service.
	Pool string
	// Service, Organisation and IdempotencyKey name the key's home agent; an empty key has none.
	Service        string
	Organisation   string
	IdempotencyKey string
	// PrefixHash identifies the prompt prefix for cache affinity; zero means none.
	PrefixHash uint64
	// Remaining is the time to the deadline.
	Remaining time.Duration
	// Hops counts the entries that have passed the request on.
	Hops int
	// NoWait tells that the request came from an entry that asked for a free place only.
	NoWait bool
	// Busy are the agents and peers that had no free place for the request.
	Busy []string
	// Excluded are the agents and peers that refused to let the request wait or that failed.
	Excluded []string
}

// Refused notes that choice c was refused with kind k.
func (r *Request) Refused(c Choice, k apierr.Kind) {
	if (c.NoWait || c.MaxWait > 0) && k == apierr.KindOverloaded {
		r.Busy = append(r.Busy, c.Name())
		return
	}
	r.Excluded = append(r.Excluded, c.Name())
}

// Destination tells where a request goes.
type Destination uint8

// The destinations.
const (
	// ToNobody means that the request is refused with Choice.Err.
	ToNobody Destination = iota
	// ToAgent means that the request goes to an agent of the own availability zone.
	ToAgent
	// ToPeer means that the request goes to an entry of another availability zone.
	ToPeer
)

// Choice is Pick's decision.
type Choice struct {
	// Destination tells which of the other fields are set.
	Destination Destination
	// Target is the chosen agent.
	Target *Target
	// Peer is the chosen entry.
	Peer *Peer
	// NoWait tells to ask for a refusal instead of a place in the agent's queue:
	// the candidate looked free, and others are left if it is not.
	NoWait bool
	// MaxWait tells to ask for a refusal if the wait would be longer; zero sets no
	// bound. Only the agent knows the organisation's place in its fair queue, so the
	// first attempts that wait try several agents for a short wait.
	MaxWait time.Duration
	// Err is the refusal; the request did not run.
	Err *apierr.Error
}

// Name returns the chosen agent's or peer's name, for Request.Excluded.
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

// Sent returns the counter of the chosen agent or peer, nil for a refusal.
func (c Choice) Sent() *Counter {
	switch c.Destination {
	case ToAgent:
		return c.Target.Sent
	case ToPeer:
		return c.Peer.Sent
	default:
		return nil
	}
}

// Pick chooses where r goes. A request with an idempotency key goes to the key's
// home agent, or to the next agent with a free place. Any other one goes to a
// target of the own availability zone with room, else to a peer whose zone has
// room, else to a short wait, else it is refused. Suspected targets are offered it
// only if there is no other target and no peer. The first choices do not wait in
// the agent's queue: a refusal from a target that looked free costs less than a
// wait there while another is free.
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
	own := s.ownCandidates(p, r, (*Target).Usable)
	peers := s.peerCandidates(p, r)
	if len(own) == 0 && len(peers) == 0 {
		// Suspicion may be wrong; with nobody else left the request is offered.
		own = s.ownCandidates(p, r, (*Target).open)
	}
	if len(r.Busy) < patientAttempts {
		if c, ok := pickFree(own, peers, r, rng); ok {
			return c
		}
	}
	if r.NoWait {
		return refuse(apierr.KindOverloaded, r.Pool, 0, rng)
	}
	return s.pickWaiting(p, r, own, peers, rng)
}

const (
	// patientAttempts is the number of attempts that wait in a queue for a short time at most.
	patientAttempts = 3
	// shortWait is the wait that such an attempt accepts.
	shortWait = 300 * time.Millisecond
)

// candidate is a usable target or peer with its estimated load.
type candidate struct {
	guess
	target *Target
	peer   *Peer
}

func (c candidate) choice() Choice {
	if c.target != nil {
		return Choice{Destination: ToAgent, Target: c.target}
	}
	return Choice{Destination: ToPeer, Peer: c.peer}
}

func (s *Snapshot) ownCandidates(p *Pool, r Request, eligible func(*Target) bool) []candidate {
	if s.Drained {
		return nil
	}
	cs := make([]candidate, 0, len(p.Targets))
	for i := range p.Targets {
		t := &p.Targets[i]
		if eligible(t) && !slices.Contains(r.Excluded, t.Agent) {
			cs = append(cs, candidate{guess: newGuess(&t.Report, t.Sent), target: t})
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
			cs = append(cs, candidate{guess: newGuess(&peer.Report, peer.Sent), peer: peer})
		}
	}
	return cs
}

// pickWaiting chooses among candidates that are busy. Only an agent knows what
// place a request gets in its fair queue, so a request is refused here only after
// an agent has refused it.
func (s *Snapshot) pickWaiting(p *Pool, r Request, own, peers []candidate, rng *rand.Rand) Choice {
	if len(r.Busy) < patientAttempts {
		if best, ok := shorterWait(notBusy(own, r.Busy), notBusy(peers, r.Busy), r.PrefixHash, rng); ok {
			c := best.choice()
			c.MaxWait = shortWait
			c.NoWait = c.Destination == ToPeer
			return c
		}
	}
	best, ok := shorterWait(own, peers, r.PrefixHash, rng)
	if !ok {
		return s.noCandidate(p, r, rng)
	}
	late := best.late(r.Remaining)
	if late > 0 && len(r.Excluded) > 0 {
		return refuse(apierr.KindDeadlineUnreachable, r.Pool, min(late, best.wait()), rng)
	}
	return best.choice()
}

// noCandidate refuses r when nobody is left to ask.
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

// retryJitter spreads the callers' repeats over this share of the asked wait.
const retryJitter = 0.5

// refuse returns a refusal that asks the caller to wait for about after.
func refuse(k apierr.Kind, detail string, after time.Duration, rng *rand.Rand) Choice {
	err := apierr.New(k, detail)
	after = max(after, k.Answer().RetryAfter)
	err.RetryAfter = after + time.Duration(rng.Float64()*retryJitter*float64(after))
	return Choice{Err: err}
}
