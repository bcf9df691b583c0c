package agent

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// call sends the request to the target and waits for the answer's head.
func call(a *Agent, r *run) *apierr.Error {
	resp, err := a.opts.Target.Do(r.ctx, r.req)
	if err != nil {
		return err
	}
	r.resp = resp
	r.buffer.setHead(resp.Status, resp.Headers)
	return nil
}

// relayAnswer relays the answer's body as it arrives from the target. The answer to a
// non-idempotent request is read to its end even if the caller no longer waits for it.
func relayAnswer(a *Agent, r *run) *apierr.Error {
	var onBody func([]byte)
	if r.claimed {
		onBody = r.buffer.add
	}
	var err *apierr.Error
	if r.resp.Length >= 0 && r.resp.Length <= maxSingleFrameBody {
		r.sent, err = relaySingleFrame(r.job, r.resp, onBody, *a.load.Load())
		r.endSent = err == nil
	} else {
		r.sent, err = relay(r.job, r.resp, onBody)
	}
	if err == nil {
		r.buffer.complete = true
		return nil
	}
	if !r.interruptible() && mayBeCallerFailure(err.Kind) {
		r.buffer.readRest(r.resp.Body)
	}
	return err
}

// mayBeCallerFailure reports whether a failure may be due to the caller or the link to
// the caller rather than to the target.
func mayBeCallerFailure(k apierr.Kind) bool {
	return k == apierr.KindTimeout || causedByCaller(k)
}
