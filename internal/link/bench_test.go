package link

import (
	"errors"
	"runtime"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// BenchmarkResponseData measures sending 200-byte pieces of an answer over one link.
func BenchmarkResponseData(b *testing.B) {
	for name, dialled := range map[string]bool{"from-dialler": true, "from-acceptor": false} {
		b.Run(name, func(b *testing.B) { benchmarkSend(b, dialled) })
	}
}

func benchmarkSend(b *testing.B, dialled bool) {
	var received atomic.Int64
	count := func(Peer, message.Message) { received.Add(1) }
	dialler, acceptor := &recorder{onMsg: count}, &recorder{onMsg: count}
	pair(b, dialler, acceptor, nil)
	p := acceptor.peers[0]
	if dialled {
		p = dialler.peers[0]
	}
	m := &message.ResponseData{ID: 1, Offset: 1 << 20, Data: make([]byte, 200)}
	b.SetBytes(200)
	b.ReportAllocs()
	for b.Loop() {
		for errors.Is(p.Send(m), ErrQueueFull) {
			runtime.Gosched()
		}
	}
	for received.Load() < int64(b.N) {
		runtime.Gosched()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "messages/s")
}

// BenchmarkRoundTrip measures sending one message and receiving it back.
func BenchmarkRoundTrip(b *testing.B) {
	back := make(chan struct{}, 1)
	dialler := &recorder{onMsg: func(Peer, message.Message) { back <- struct{}{} }}
	acceptor := &recorder{onMsg: func(p Peer, m message.Message) { _ = p.Send(m) }}
	pair(b, dialler, acceptor, nil)
	for b.Loop() {
		assert.NilError(b, dialler.peers[0].Send(&message.Cancel{ID: 1}))
		<-back
	}
}
