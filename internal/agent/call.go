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
func relayAnswer(_ *Agent, r *run) *apierr.Error {
	var keep func([]byte)
	if r.claimed {
		keep = r.kept.add
	}
	sent, err := relay(r.job, r.resp, keep)
	r.sent = sent
	if err == nil {
		r.kept.complete = true
		return nil
	}
	if !r.interruptible() && callerLost(err.Kind) {
		r.kept.readRest(r.resp.Body)
	}
	return err
}

// callerLost tells whether a failure can come from the way to the caller.
func callerLost(k apierr.Kind) bool {
	return k == apierr.KindTimeout || causedByCaller(k)
}
