package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// dripAfter returns a target that sends the first events of a stream and then single bytes of an
// event that it never completes. Asked to resume, it sends the rest of the stream.
func dripAfter(first, last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("T-Last") != "" {
			streamEvents(last, 0)(w, r)
			return
		}
		w.Header().Set("T-Sign", "signed")
		_, _ = io.WriteString(w, eventsUpTo(first))
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, ":")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// Guards against a stream that never ends: bytes that complete no event are no progress. The stream
// is resumed at the other target, long before its deadline.
func TestDrippingStreamIsResumedElsewhere(t *testing.T) {
	gw := newTestGateway(t, dripAfter(4, 9), dripAfter(4, 9)).waitReady()
	begin := time.Now()
	status, _, body, whole := gw.do(get("/stream/", "T-Deadline: 20000")...)
	assert.Equal(t, status, 200)
	assert.Assert(t, whole)
	assert.Equal(t, body, eventsUpTo(9))
	assert.Assert(t, time.Since(begin) < 2*initialStallTimeout, time.Since(begin))
}

// Guards against a dripping stream that outlives its deadline because it can't be resumed.
func TestDrippingStreamEndsAtItsDeadline(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	drip := func(w http.ResponseWriter, r *http.Request) {
		r.Header.Del("T-Last")
		dripAfter(4, 9)(w, r)
	}
	gw := newTestGateway(t, drip, drip).waitReady()
	begin := time.Now()
	_, _, body, whole := gw.do(get("/stream/", "T-Deadline: "+strconv.Itoa(int(deadline.Milliseconds())))...)
	assert.Assert(t, !whole, "a stream that was broken off looks complete")
	assert.Equal(t, body, eventsUpTo(4))
	assert.Assert(t, time.Since(begin) < deadline+500*time.Millisecond, time.Since(begin))
}

// Guards against a slow but sound stream that is cut: its events come in time for the other streams
// of its group too, and its pauses are far longer than those before.
func TestSlowStreamIsNotCut(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("T-Sign", "signed")
		for i := 1; i <= 12; i++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			pause := 20 * time.Millisecond
			if i > 8 {
				pause = 400 * time.Millisecond
			}
			time.Sleep(pause)
		}
	}
	gw := newTestGateway(t, slow, slow).waitReady()
	_, _, body, whole := gw.do(get("/stream/", "T-Deadline: 20000")...)
	assert.Assert(t, whole)
	assert.Equal(t, body, eventsUpTo(12))
	assert.Equal(t, len(gw.targets[0].requests())+len(gw.targets[1].requests()), 1, "the stream was moved")
}
