package rebalance

const (
	// newestPlanWeight is the weight of the newest plan in the realised share.
	newestPlanWeight = 0.2
	// minRealisedShare is the lower limit of the realised share, so that the planner keeps
	// making plans after many that failed.
	minRealisedShare = 0.1
)

// gainTracker measures which share of predicted gains is realised, by comparing each
// changed layer before and after the change under a later report. Popularity that changes
// back and forth faster than it is reported lowers the share, and with it the number of
// moves.
type gainTracker struct {
	realisedShare float64
	pending       []pendingPlan
}

// pendingPlan is a plan whose gain has not been checked yet.
type pendingPlan struct {
	before, after Map
	// gains contains the predicted reduction of each layer's skew; zero for unchanged
	// layers.
	gains []float64
	age   int
}

func newGainTracker() gainTracker { return gainTracker{realisedShare: 1} }

// recordPlan records a plan to be checked against a later report.
func (t *gainTracker) recordPlan(before Map, plan Plan) {
	t.pending = append(t.pending, pendingPlan{before: before, after: plan.Map, gains: plan.gains})
}

// observe checks the plans that are delay reports old.
func (t *gainTracker) observe(report Popularity, delay int) {
	pending := t.pending[:0]
	for _, plan := range t.pending {
		plan.age++
		if plan.age < delay {
			pending = append(pending, plan)
			continue
		}
		t.realisedShare += newestPlanWeight * (plan.confirmedShare(report) - t.realisedShare)
		t.realisedShare = max(t.realisedShare, minRealisedShare)
	}
	t.pending = pending
}

// confirmedShare returns the share of the predicted gains that the report confirms. Each
// layer contributes at most its predicted gain, positive or negative, so that a jump in one
// layer does not outweigh the others.
func (p pendingPlan) confirmedShare(report Popularity) float64 {
	predicted, realised := 0.0, 0.0
	for l, gain := range p.gains {
		if gain == 0 {
			continue
		}
		load := report.Layer(l)
		before := layerSkew(p.before.Shape, p.before.Layer(l), load)
		after := layerSkew(p.after.Shape, p.after.Layer(l), load)
		predicted += gain
		realised += min(max(before-after, -gain), gain)
	}
	return realised / predicted
}
