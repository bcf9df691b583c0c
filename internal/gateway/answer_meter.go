package gateway

import (
	"io"
	"sync/atomic"
)

const (
	// maxAnswerBytes bounds the body of an answer, in bytes.
	maxAnswerBytes = 8 << 20
	// maxTotalAnswerBytes bounds the bodies of all answers in progress, in bytes. Buffers that
	// grow take up to twice as much, and the smallest instances have 184 MB.
	maxTotalAnswerBytes = 48 << 20
)

// answerMeter counts the bytes of the answers in progress, so that targets which send bytes
// without end can't exhaust the process's memory.
type answerMeter struct{ total atomic.Int64 }

// meteredAnswer is the body of an answer. Its bytes count until they are passed on or it is released.
type meteredAnswer struct {
	meter *answerMeter
	body  io.Reader
	// read is the number of bytes that were read, and held the number of those that count.
	read int64
	held atomic.Int64
}

func (m *answerMeter) open(body io.Reader) *meteredAnswer {
	return &meteredAnswer{meter: m, body: body}
}

// Read implements io.Reader. It returns errTooLong if the answer exceeds maxAnswerBytes, or all
// answers together exceed maxTotalAnswerBytes.
func (a *meteredAnswer) Read(p []byte) (int, error) {
	room := maxAnswerBytes - a.read
	if room <= 0 {
		return 0, errTooLong
	}
	p = p[:min(int64(len(p)), room)]
	reserved := int64(len(p))
	if a.meter.total.Add(reserved) > maxTotalAnswerBytes {
		a.meter.total.Add(-reserved)
		return 0, errTooLong
	}
	n, err := a.body.Read(p)
	a.read += int64(n)
	a.held.Add(int64(n))
	a.meter.total.Add(int64(n) - reserved)
	return n, err
}

// passOn ends the counting of n bytes, which are on their way to the caller.
func (a *meteredAnswer) passOn(n int) {
	a.held.Add(-int64(n))
	a.meter.total.Add(-int64(n))
}

// release ends the counting of the answer's bytes.
func (a *meteredAnswer) release() { a.meter.total.Add(-a.held.Swap(0)) }
