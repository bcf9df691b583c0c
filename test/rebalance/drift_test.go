// Package rebalance_test measures the planner of internal/rebalance against
// drifting expert popularity that is reported late.
package rebalance_test

import (
	"math"
	"math/rand/v2"

	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// spread is the standard deviation of the logarithm of an expert's popularity.
const spread = 0.8

// drift produces the true popularity of each interval.
type drift struct {
	name string
	next func(rng *rand.Rand, interval int, p rebalance.Popularity) rebalance.Popularity
}

// drifts are the kinds of change that the issue names.
var drifts = []drift{
	{"slow drift", slowDrift},
	{"sudden shift", suddenShift},
	{"adversarial flip", adversarialFlip},
}

func randomPopularity(rng *rand.Rand, s rebalance.Shape) rebalance.Popularity {
	p := rebalance.Popularity{Experts: s.Experts, Load: make([]float64, s.Layers*s.Experts)}
	for i := range p.Load {
		p.Load[i] = math.Exp(spread * rng.NormFloat64())
	}
	return p
}

// slowDrift moves each logarithm by a random walk that stays within spread.
func slowDrift(rng *rand.Rand, _ int, p rebalance.Popularity) rebalance.Popularity {
	const memory = 0.995
	noise := spread * math.Sqrt(1-memory*memory)
	next := rebalance.Popularity{Experts: p.Experts, Load: make([]float64, len(p.Load))}
	for i, v := range p.Load {
		next.Load[i] = math.Exp(memory*math.Log(v) + noise*rng.NormFloat64())
	}
	return next
}

// suddenShift gives a third of the layers a new popularity every 30 intervals, on top of a slow drift.
func suddenShift(rng *rand.Rand, interval int, p rebalance.Popularity) rebalance.Popularity {
	next := slowDrift(rng, interval, p)
	if interval%30 != 0 {
		return next
	}
	layers := len(p.Load) / p.Experts
	for l := range layers {
		if rng.IntN(3) != 0 {
			continue
		}
		load := next.Layer(l)
		for e := range load {
			load[e] = math.Exp(spread * rng.NormFloat64())
		}
	}
	return next
}

// adversarialFlip reverses the popularity of each layer's experts every reportLag
// plus one intervals, so that a map made for the last report comes too late.
func adversarialFlip(rng *rand.Rand, interval int, p rebalance.Popularity) rebalance.Popularity {
	next := slowDrift(rng, interval, p)
	if interval%(reportLag+1) != 0 {
		return next
	}
	for l := range len(p.Load) / p.Experts {
		load := next.Layer(l)
		for i, j := 0, len(load)-1; i < j; i, j = i+1, j-1 {
			load[i], load[j] = load[j], load[i]
		}
	}
	return next
}
