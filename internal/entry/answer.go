package entry

import (
	"io"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// creditStep is the number of consumed bytes after which the peer gets new credit.
const creditStep = streamWindow / 4

// answer is an answer whose head has arrived and whose body is still coming.
type answer struct {
	exchange *exchange
	head     *message.ResponseHead
	call     *call
	// release gives back what the dispatch holds; it is called once by Close.
	release func(*apierr.Error)

	timer    *time.Timer
	pending  []byte
	received int64
	consumed int
	err      *apierr.Error
	whole    bool
	closed   bool
}

// newAnswer returns the answer that begins with head; timer fires at its deadline.
func newAnswer(x *exchange, head *message.ResponseHead, c *call, timer *time.Timer) *answer {
	a := &answer{exchange: x, head: head, call: c, timer: timer}
	if !head.Whole {
		return a
	}
	a.received = int64(len(head.Body))
	a.pending = head.Body
	a.end(&message.ResponseEnd{Length: a.received})
	return a
}

// Read implements io.Reader. It returns io.EOF only after the whole body; any
// other end is an *apierr.Error.
func (a *answer) Read(p []byte) (int, error) {
	for len(a.pending) == 0 {
		if a.err != nil {
			return 0, a.err
		}
		if a.whole {
			return 0, io.EOF
		}
		a.receive()
	}
	n := copy(p, a.pending)
	a.pending = a.pending[n:]
	a.consume(n)
	return n, nil
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
		a.accept(m)
	}
}

// accept takes one message; pieces must follow each other without a gap.
func (a *answer) accept(m message.Message) {
	switch m := m.(type) {
	case *message.ResponseData:
		if m.Offset != a.received {
			a.err = apierr.New(apierr.KindTruncated, "a piece of the answer is missing")
			return
		}
		a.received += int64(len(m.Data))
		a.pending = m.Data
	case *message.ResponseEnd:
		a.end(m)
	}
}

// end checks that the body is complete.
func (a *answer) end(m *message.ResponseEnd) {
	switch {
	case m.Failure != nil:
		a.err = fromFailure(m.Failure)
	case m.Length != a.received, a.head.Length >= 0 && a.head.Length != a.received:
		a.err = apierr.New(apierr.KindTruncated, "the answer's length does not match")
	default:
		a.whole = true
	}
}

// consume grants new credit for bytes that were handed on.
func (a *answer) consume(n int) {
	a.consumed += n
	if a.consumed >= creditStep {
		a.call.grant(a.consumed)
		a.consumed = 0
	}
}

// Close settles the dispatch. A body that was not read to its end is cancelled.
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	a.timer.Stop()
	if !a.whole {
		_ = a.call.peer.Send(&message.Cancel{ID: a.call.key.id})
	}
	err := a.err
	if err == nil && !a.whole {
		err = apierr.New(apierr.KindCancelled, "the caller did not read the whole answer")
	}
	a.release(err)
	return nil
}

// fromFailure turns a link failure into an error.
func fromFailure(f *message.Failure) *apierr.Error {
	return &apierr.Error{Kind: f.Kind, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

// toFailure turns an error into its link form.
func toFailure(e *apierr.Error) *message.Failure {
	return &message.Failure{Kind: e.Kind, Detail: e.Detail, RetryAfter: e.RetryAfter}
}
