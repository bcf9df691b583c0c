package gateway

import "time"

// stallPollInterval is the interval at which requests check whether their target and its group make
// progress.
const stallPollInterval = 200 * time.Millisecond

// stallState reports whether the target or its group shows no progress, and whether another
// target could accept the request. If none could, it is better to wait, since the group may
// continue.
func (a *attempt) stallState() (stalled, alternative bool) {
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	now := a.g.now()
	return a.g.balancer.IsStalled(now, a.target.ID), a.g.balancer.HasAlternative(now, a.target.ID)
}

// recordStall records that the target shows no progress. Further attempts of the request
// avoid its group, unless the group's other ranks go on.
func (a *attempt) recordStall() {
	a.g.count.stalls.Inc(1)
	a.g.mu.Lock()
	now := a.g.now()
	avoid := a.g.balancer.RecordStall(now, a.target.ID)
	silent, unheard := a.g.balancer.TargetSilence(now, a.target.ID)
	a.g.mu.Unlock()
	if avoid != "" {
		a.x.avoidGroup = avoid
	}
	if silent {
		a.g.logSilence(a.target.ID, unheard)
	}
}
