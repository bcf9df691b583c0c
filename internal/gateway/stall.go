package gateway

import "time"

// stallPollInterval is the interval at which waiting attempts check their target and its
// group.
const stallPollInterval = 200 * time.Millisecond

// watchStall checks the target and its group every stallPollInterval until the head of the
// response has arrived. It cancels the attempt if they show no progress and another target
// could accept the request.
func (a *attempt) watchStall() {
	time.AfterFunc(stallPollInterval, func() {
		if a.ctx.Err() != nil || a.headReceived.Load() {
			return
		}
		if stalled, alternative := a.stallState(); stalled && alternative {
			a.cancel(errStalled)
			return
		}
		a.watchStall()
	})
}

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
