package gateway

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/fleet"
	"github.com/gentiantrail/gentiantrail/internal/http1"
	"github.com/gentiantrail/gentiantrail/internal/placement"
	"github.com/gentiantrail/gentiantrail/internal/upstream"
)

// maxWhole is the largest answer that is read whole before it is passed on, in bytes.
const maxWhole = 8 << 20

// errTooLong means that an answer is larger than maxWhole.
var errTooLong = errors.New("the answer is too large")

// readAll reads a body of at most limit bytes.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errTooLong
	}
	return body, err
}

// relayWhole reads an answer to its end and passes it on.
func (a *attempt) relayWhole(answer *upstream.Answer) (*apierr.Error, bool) {
	x := a.x
	stop := time.AfterFunc(x.remaining(), func() { a.cancel(errDeadline) })
	defer stop.Stop()
	body, err := readAll(answer.Body, maxWhole)
	if err != nil {
		answer.Abort()
		a.end(placement.Failed)
		x.tried = append(x.tried, a.target.ID)
		if errors.Is(a.cause(), errDeadline) {
			return x.timedOut(), false
		}
		return x.unknown(apierr.Wrap(apierr.KindTruncated, a.target.ID, err))
	}
	answer.Finish()
	if answer.Status >= 500 {
		a.end(placement.Failed)
		x.tried = append(x.tried, a.target.ID)
		if a.mayRepeat() {
			return x.unknown(apierr.New(apierr.KindTargetFailed, a.target.ID+" answered with status "+strconv.Itoa(answer.Status)))
		}
	} else {
		a.end(placement.Answered)
	}
	x.headSent, x.status = true, answer.Status
	head := a.g.answerHead(x, answer)
	x.out.write(http1.AppendWhole(head, body))
	return nil, false
}

// mayRepeat reports whether another attempt is allowed, without taking it from the budget.
func (a *attempt) mayRepeat() bool {
	x := a.x
	if x.route.Run != fleet.Idempotent || x.attempts >= x.route.Attempts {
		return false
	}
	a.g.mu.Lock()
	defer a.g.mu.Unlock()
	return a.g.budget(x.service).Left(a.g.now()) >= 1 && a.g.balancer.HasOther(a.g.now(), x.service, x.tried)
}

// answerHead returns the head of a target's answer without its framing.
func (g *Gateway) answerHead(x *exchange, answer *upstream.Answer) []byte {
	listed := answer.Header.ListedInConnection()
	h := answer.Header.Without(func(name string) bool {
		return http1.HopByHop(name) || listed[strings.ToLower(name)]
	})
	b := http1.AppendStatus(make([]byte, 0, 512), answer.Status, answer.Reason)
	b = http1.AppendFields(b, h)
	return g.appendConnection(b, x)
}

// appendConnection says whether the connection stays open.
func (g *Gateway) appendConnection(b []byte, x *exchange) []byte {
	if x.req.KeepAlive && !g.view.Load().stopping {
		return b
	}
	x.req.KeepAlive = false
	return append(b, "Connection: close\r\n"...)
}
