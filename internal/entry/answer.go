package entry

import (
	"io"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// creditThreshold is the number of consumed bytes after which the peer receives new
// credit.
const creditThreshold = streamWindow / 4

// answer is an answer whose head has arrived and whose body is read from the link.
type answer struct {
	exchange *exchange
	head     *message.ResponseHead
	call     *call
	// release frees the resources of the dispatch; it is called once, by end.
	release func(*apierr.Error)
	// ended ends the exchange; Close calls it once.
	ended func(*apierr.Error)

	timer    *time.Timer
	pending  []byte
	received int64
	consumed int
	err      *apierr.Error
	complete bool
	closed   bool
}

// newAnswer returns the answer that begins with head; timer fires at its deadline.
func newAnswer(x *exchange, head *message.ResponseHead, c *call, timer *time.Timer) *answer {
	a := &answer{exchange: x, head: head, call: c, timer: timer}
	if !head.Complete {
		return a
	}
	a.received = int64(len(head.Body))
	a.pending = head.Body
	a.finish(&message.ResponseEnd{Length: a.received})
	return a
}

// Read implements io.Reader. It returns io.EOF only after the complete body; if
// the answer ends in any other way, it returns an *apierr.Error.
func (a *answer) Read(p []byte) (int, error) {
	for len(a.pending) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		if a.complete {
			return 0, io.EOF
		}
		a.receive()
	}
	n := copy(p, a.pending)
	a.pending = a.pending[n:]
	a.consume(n)
	return n, nil
}

// isShort reports whether the whole answer is read before its head is passed on to a caller.
func (a *answer) isShort() bool { return a.head.Length >= 0 && a.head.Length <= maxBufferedBody }

// readAll reads the body of a short answer to its end and keeps it in pending.
func (a *answer) readAll() *apierr.Error {
	if a.complete {
		return nil
	}
	body := make([]byte, 0, a.head.Length)
	for a.err == nil && !a.complete {
		a.pending = nil
		a.receive()
		body = append(body, a.pending...)
	}
	a.pending = body
	return a.err
}

// receive waits for the next message of the body.
func (a *answer) receive() {
	m, err := a.call.next(a.timer.C)
	switch {
	case err != nil:
		a.err = err
	case m == nil:
		a.err = apierr.New(apierr.KindTimeout, "the answer did not end in time")
	default:
		a.handleMessage(m)
	}
}

// handleMessage processes one message; the pieces of the body must arrive in order and
// without gaps.
func (a *answer) handleMessage(m message.Message) {
	switch m := m.(type) {
	case *message.ResponseData:
		if m.Offset != a.received {
			a.err = apierr.New(apierr.KindTruncated, "a piece of the answer is missing")
			return
		}
		a.received += int64(len(m.Data))
		a.pending = m.Data
	case *message.ResponseEnd:
		a.finish(m)
	}
}

// finish ends the answer and checks that its body is complete.
func (a *answer) finish(m *message.ResponseEnd) {
	switch {
	case m.Failure != nil:
		a.err = fromFailure(m.Failure)
	case m.Length != a.received, a.head.Length >= 0 && a.head.Length != a.received:
		a.err = apierr.New(apierr.KindTruncated, "the answer's length does not match")
	default:
		a.complete = true
	}
}

// consume grants new credit for n bytes that the reader has taken.
func (a *answer) consume(n int) {
	a.consumed += n
	if a.consumed >= creditThreshold {
		a.call.grant(a.consumed)
		a.consumed = 0
	}
}

// Close releases the dispatch and ends the exchange.
func (a *answer) Close() error {
	if !a.closed {
		a.ended(a.end())
	}
	return nil
}

// end releases the dispatch and returns why the answer is not whole, or nil. It cancels an answer
// that is not complete.
func (a *answer) end() *apierr.Error {
	a.closed = true
	a.timer.Stop()
	if !a.complete {
		a.call.send(&message.Cancel{ID: a.call.key.id})
	}
	err := a.err
	if err == nil && !a.complete {
		err = apierr.New(apierr.KindCancelled, "the caller did not read the whole answer")
	}
	a.release(err)
	return err
}

// fromFailure converts the link form of a failure to an error.
func fromFailure(f *message.Failure) *apierr.Error {
	return &apierr.Error{Kind: f.Kind, Detail: f.Detail, RetryAfter: f.RetryAfter, EndedTarget: f.EndedTarget}
}

// toFailure converts an error to its link form.
func toFailure(e *apierr.Error) *message.Failure {
	return &message.Failure{Kind: e.Kind, Detail: e.Detail, RetryAfter: e.RetryAfter, EndedTarget: e.EndedTarget}
}
