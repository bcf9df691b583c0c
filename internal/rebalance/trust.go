package rebalance

const (
	// trustWeight is the weight of the newest plan in the trust.
	trustWeight = 0.2
	// minTrust keeps the planner trying after many plans that failed.
	minTrust = 0.1
)

// trust measures which share of predicted gains comes true, by comparing each
// changed layer before and after under a later report. Popularity that jumps to
// and fro faster than it is reported lowers it, and with it the number of moves.
type trust struct {
	share float64
	open  []expectation
}

// expectation is a plan whose gain has not been checked yet.
type expectation struct {
	before, after Map
	// gains holds the predicted gain of each layer's skew; zero for unchanged layers.
	gains []float64
	age   int
}

func newTrust() trust { return trust{share: 1} }

// expect remembers a plan.
func (t *trust) expect(before Map, plan Plan) {
	t.open = append(t.open, expectation{before: before, after: plan.Map, gains: plan.gains})
}

// observe checks the plans that are delay reports old.
func (t *trust) observe(report Popularity, delay int) {
	left := t.open[:0]
	for _, e := range t.open {
		e.age++
		if e.age < delay {
			left = append(left, e)
			continue
		}
		t.share += trustWeight * (e.realised(report) - t.share)
		t.share = max(t.share, minTrust)
	}
	t.open = left
}

// realised returns the share of the predicted gains that report confirms. A layer
// counts at most as predicted, for better or worse, so that one layer's jump does
// not outweigh the others.
func (e expectation) realised(report Popularity) float64 {
	predicted, real := 0.0, 0.0
	for l, gain := range e.gains {
		if gain == 0 {
			continue
		}
		load := report.Layer(l)
		before := layerSkew(e.before.Shape, e.before.Layer(l), load)
		after := layerSkew(e.after.Shape, e.after.Layer(l), load)
		predicted += gain
		real += min(max(before-after, -gain), gain)
	}
	return real / predicted
}
