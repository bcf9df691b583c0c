package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/retry"
)

func (gw *testGateway) retryBudget() retry.FleetStatus {
	return gw.g.State().(State).RetryBudgets["s"]
}

// waitForRequests waits until the budget has counted requests, and checks how many of them have earned
// repeats.
func (gw *testGateway) waitForRequests(requests, earning int) {
	gw.t.Helper()
	poll.WaitOn(gw.t, func(poll.LogT) poll.Result {
		if n := gw.retryBudget().Requests; n < float64(requests) {
			return poll.Continue("%v requests", n)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
	one := retry.NewFleetBudget(gw.g.view.Load().shares.retries)
	one.RecordRequest(0, 0)
	assert.Equal(gw.t, gw.retryBudget().Earned, float64(earning)*one.Status(0).Earned)
}

// TestRequestCountsFromItsFirstByte guards against requests that count for a window which began after
// their callers sent them: one arrives in two pieces, one waits behind another on its connection.
func TestRequestCountsFromItsFirstByte(t *testing.T) {
	const longer = retry.MaxDelay + 150*time.Millisecond
	request := strings.Join(get("/once/x"), "\r\n") + "\r\n\r\n"
	t.Run("pieces", func(t *testing.T) {
		gw := newTestGateway(t, respond(200, "x")).waitReady()
		c := gw.write(request[:20])
		time.Sleep(longer)
		_, err := io.WriteString(c, request[20:])
		assert.NilError(t, err)
		gw.waitForRequests(1, 0)
		gw.do(get("/once/x")...)
		gw.waitForRequests(2, 1)
	})
	t.Run("behind another", func(t *testing.T) {
		slow := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(longer)
			respond(200, "x")(w, r)
		}
		gw := newTestGateway(t, slow).waitReady()
		gw.write(request + request)
		gw.waitForRequests(2, 1)
	})
}

// TestUnsentRepeatIsReturned guards against repeats that count although no target got them.
func TestUnsentRepeatIsReturned(t *testing.T) {
	gw := newTestGateway(t, closeConnection).waitReady()
	status, _, _, _ := gw.do(get("/safe/x")...) // there is no other target
	assert.Equal(t, status, 502)
	gw.waitForRequests(1, 1)
}
