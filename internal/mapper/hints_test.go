package mapper

import (
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/hint"
)

// hintReceiver is a gateway that subscribes to one mapper and counts its reports.
type hintReceiver struct {
	socket Socket
	to     *net.UDPAddr

	mu      sync.Mutex
	reports int
	last    hint.Report
}

func newHintReceiver(t *testing.T, l *largeGroup, i int) *hintReceiver {
	addr := &net.UDPAddr{IP: net.IPv4(10, 1, 0, byte(1+i)), Port: 7340}
	socket, err := l.network.listen(addr)
	assert.NilError(t, err)
	r := &hintReceiver{socket: socket, to: &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 7340}}
	l.wg.Go(func() {
		buf := make([]byte, 1024)
		for {
			n, _, err := socket.ReadFromUDP(buf)
			if err != nil {
				return
			}
			if m, err := hint.Decode(buf[:n]); err == nil && m.Report != nil {
				r.mu.Lock()
				r.reports++
				r.last = *m.Report
				r.mu.Unlock()
			}
		}
	})
	return r
}

func (r *hintReceiver) subscribe(t *testing.T, busy bool) {
	b, err := (&hint.Message{Subscribe: true, Busy: busy}).Encode()
	assert.NilError(t, err)
	_, err = r.socket.WriteToUDP(b, r.to)
	assert.NilError(t, err)
}

// take returns the number of reports since the last call and the last of them.
func (r *hintReceiver) take() (int, hint.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.reports
	r.reports = 0
	return n, r.last
}

// TestOnlyBusyGatewaysGetFrequentHints subscribes many gateways, of which one has requests at the
// engine. A change of the group is reported to all of them at once. The network loses some of the
// datagrams.
func TestOnlyBusyGatewaysGetFrequentHints(t *testing.T) {
	for _, gateways := range []int{hint.ManyGateways, 149} {
		synctest.Test(t, func(t *testing.T) {
			l := startLargeGroup(2)
			defer l.stop()
			time.Sleep(2 * time.Second)
			var receivers []*hintReceiver
			for i := range gateways {
				r := newHintReceiver(t, l, i)
				defer func() { assert.NilError(t, r.socket.Close()) }()
				receivers = append(receivers, r)
				r.subscribe(t, false)
			}
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, countReceivers(receivers, func(n int, _ hint.Report) bool { return n > 0 }) >= gateways*95/100)

			const seconds = 5
			for range seconds {
				receivers[0].subscribe(t, true)
				time.Sleep(time.Second)
			}
			frequent := countReceivers(receivers, func(n int, last hint.Report) bool { return last.Frequent && n >= 3*seconds })
			if gateways <= hint.ManyGateways {
				assert.Equal(t, frequent, gateways)
			} else {
				assert.Equal(t, frequent, 1)
			}

			l.mu.Lock()
			l.epoch++
			l.mu.Unlock()
			time.Sleep(pollInterval + 100*time.Millisecond)
			informed := countReceivers(receivers, func(_ int, last hint.Report) bool { return last.Epoch == 2 })
			assert.Assert(t, informed >= gateways*95/100, "%d gateways know the new epoch", informed)
		})
	}
}

// countReceivers returns the number of receivers whose reports since the last count fulfil a
// condition on their number and the last of them.
func countReceivers(receivers []*hintReceiver, fulfilled func(n int, last hint.Report) bool) int {
	count := 0
	for _, r := range receivers {
		if fulfilled(r.take()) {
			count++
		}
	}
	return count
}
