package gateway

import (
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// errTooLong reports that a body exceeds its limit.
var errTooLong = errors.New("the answer is too large")

// readAll reads a body of at most limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLong
	}
	return body, err
}

// handleBuffered sends a response that was read to its end to the caller. A response
// with a status of 500 or above is dropped if another attempt is allowed.
func (a *attempt) handleBuffered(body []byte, err error) *ending {
	x, answer := a.x, a.answer
	if err != nil {
		answer.Abort()
		a.reportResult(placement.Failed)
		x.markTried(a.target.ID)
		if a.cause() != nil {
			a.recordGivenUp()
		} else {
			a.recordEnd()
		}
		switch {
		case x.callerDisconnected():
			return &ending{err: apierr.New(apierr.KindCancelled, a.target.ID), final: true}
		case errors.Is(a.cause(), errDeadline):
			return &ending{err: x.timeoutError(), final: true}
		}
		return x.recordIndeterminate(apierr.Wrap(apierr.KindTruncated, a.target.ID, err))
	}
	answer.Finish()
	if answer.NotExecuted() && len(x.live) > 1 {
		a.reportResult(placement.Refused)
		return &ending{err: apierr.New(apierr.KindOverloaded, a.target.ID+" refused with status "+strconv.Itoa(answer.Status)), again: true}
	}
	if answer.Status >= 500 {
		a.reportResult(placement.Failed)
		x.markTried(a.target.ID)
		if len(x.live) > 1 || a.mayRepeat() {
			return x.recordIndeterminate(apierr.New(apierr.KindTargetFailed, a.target.ID+" answered with status "+strconv.Itoa(answer.Status)))
		}
	} else {
		a.reportResult(placement.Answered)
	}
	x.headSent, x.status = true, answer.Status
	head := a.g.answerHead(x, answer)
	a.recordAround(answer, func() { x.out.write(http1.AppendLengthAndBody(head, body)) }, func() { a.recordBuffered(answer) })
	return &ending{}
}

// recordBuffered records what a whole answer shows of its request.
func (a *attempt) recordBuffered(answer *upstream.Answer) {
	switch {
	case answer.Status < 300:
		a.began = a.g.now()
		a.recordComplete(answer)
	case answer.Status < 500 && !answer.NotExecuted():
		a.recordRejection()
	}
}

// recordAround records an answer before its caller gets it, so that the request counts as answered
// from then on. For an answer without a length the target is checked first, and the caller does not
// wait for that.
func (a *attempt) recordAround(answer *upstream.Answer, send, record func()) {
	if answer.EndsWithConnection {
		send()
		record()
		return
	}
	record()
	send()
}

// mayRepeat reports whether another attempt is allowed and possible, without taking it
// from the budget.
func (a *attempt) mayRepeat() bool {
	x := a.x
	if x.route.Repeat != fleet.Idempotent || x.attemptsUsed() {
		return false
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.g.budget(x.service).Allows(a.g.now()) && a.g.balancer.HasOtherTarget(a.g.now(), x.service, x.tried)
}

// answerHead returns the head of a target's response without the fields for its framing.
func (g *Gateway) answerHead(x *exchange, answer *upstream.Answer) []byte {
	listed := answer.Header.ListedInConnection()
	h := answer.Header.Without(func(name string) bool {
		return http1.HopByHop(name) || listed[strings.ToLower(name)]
	})
	b := http1.AppendStatus(make([]byte, 0, 512), answer.Status, answer.Reason)
	b = http1.AppendFields(b, h)
	if x.req.KeepAlive && x.route.Streaming && answer.Status == 200 {
		// Requests may be read until the stream has ended, and a close that was announced would leave them
		// without an answer.
		return b
	}
	return g.appendConnection(b, x)
}

// appendConnection appends a Connection field if the connection will be closed after the
// response, which is sent at once. A stop closes no connection on which more has been read.
func (g *Gateway) appendConnection(b []byte, x *exchange) []byte {
	if x.req.KeepAlive && (!g.view.Load().stopping || x.readAhead.Load()) {
		return b
	}
	x.req.KeepAlive = false
	return append(b, "Connection: close\r\n"...)
}
