package agent

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// call sends the request to the target and waits for the answer's head.
func call(a *Agent, r *run) *apierr.Error {
	resp, err := a.opts.Target.Do(r.ctx, r.req)
	if err != nil {
		return err
	}
	r.resp = resp
	r.kept.begin(resp.Status, resp.Headers)
	return nil
}

// relayAnswer passes the answer's body on while the target yields it. A run that
// may not be repeated is read to its end even if its caller has gone.
func relayAnswer(a *Agent, r *run) *apierr.Error {
	var keep func([]byte)
	if r.claimed {
		keep = r.kept.add
	}
	var err *apierr.Error
	if r.resp.Length >= 0 && r.resp.Length <= maxWhole {
		r.sent, err = relayWhole(r.job, r.resp, keep, *a.load.Load())
		r.ended = err == nil
	} else {
		r.sent, err = relay(r.job, r.resp, keep)
	}
	if err == nil {
		r.kept.complete = true
		return nil
	}
	if !r.interruptible() && callerLost(err.Kind) {
		r.kept.readRest(r.resp.Body)
	}
	return err
}

// callerLost reports whether a failure can come from the way to the caller.
func callerLost(k apierr.Kind) bool {
	return k == apierr.KindTimeout || causedByCaller(k)
}
