package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// Answer is the answer of a target. The caller must end it with Finish, Discard or Abort.
type Answer struct {
	*http1.Response
	// SentAt is when the request was written, or its first part.
	SentAt time.Time

	client *Client
	conn   *conn
	stop   func() bool
	// write is the write of the request while the answer is read; it is nil if the request
	// was written before.
	write *requestWrite
	ended bool
}

// requestWrite is the write of a request on a goroutine of its own.
type requestWrite struct {
	// done is closed at the end of the write. err is its result and is set before.
	done chan struct{}
	err  error
}

func (w *requestWrite) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// send writes the request. A large request is written concurrently with reading the
// answer, since a target may answer before it has read the body. It has no user timeout, which
// would also count while the target's machine has no room for more of the body.
func (a *Answer) send(call *Call) error {
	wire := http1.AppendRequest(nil, call.Request)
	if len(wire) <= maxInlineWrite {
		_, err := a.conn.Write(wire)
		a.SentAt = time.Now()
		return err
	}
	a.SentAt = time.Now()
	if err := a.conn.setUserTimeout(0); err != nil {
		return err
	}
	write := &requestWrite{done: make(chan struct{})}
	a.write = write
	go func() {
		_, write.err = a.conn.Write(wire)
		close(write.done)
	}()
	return nil
}

// receive reads the head of the answer to the call. It skips answers to other
// requests and fails after maxExtraAnswers of them.
func (a *Answer) receive(call *Call) error {
	for range maxExtraAnswers {
		resp, err := http1.ReadResponse(a.conn.br, call.Request.Method)
		if err != nil {
			return err
		}
		if a.answersCall(resp, call) {
			if resp.EndsWithConnection && a.write != nil {
				resp.Body = &unframedBody{Reader: resp.Body, conn: a.conn, write: a.write}
			}
			a.Response = resp
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxExtraAnswerBytes+1))
		if err != nil {
			return err
		}
		if n > maxExtraAnswerBytes || !resp.KeepAlive {
			return ErrForeignAnswer
		}
		a.conn.served++
	}
	return ErrForeignAnswer
}

// ErrForeignAnswer means that the connection delivered only answers to other requests.
var ErrForeignAnswer = errors.New("the answer belongs to another request")

// answersCall reports whether an answer echoes the call's attempt id, and no other. An answer
// without an id is accepted only as the first on its connection: it can only be for the first
// request.
func (a *Answer) answersCall(resp *http1.Response, call *Call) bool {
	echoed := resp.Header.All(a.client.names.Attempt)
	if len(echoed) == 0 {
		return a.conn.served == 0
	}
	return !slices.ContainsFunc(echoed, func(id string) bool { return id != call.Attempt })
}

// NotExecuted reports whether the target states that it did not run the request.
func (a *Answer) NotExecuted() bool {
	if a.Status == 421 {
		return true
	}
	_, ok := a.Header.Lookup(a.client.names.NotExecuted)
	return ok
}

// Finish ends an answer whose body was read to its end. It keeps the connection for reuse
// if the target allows it, the whole request was written and no unread bytes are left.
func (a *Answer) Finish() {
	if a.ended {
		return
	}
	a.ended = true
	if !a.stop() {
		a.client.closeConn(a.conn)
		return
	}
	a.keepConn()
}

// keepConn keeps the connection after the end of its answer if Finish's conditions hold, and
// closes it otherwise.
func (a *Answer) keepConn() {
	if !a.KeepAlive || !a.requestWritten() || a.conn.br.Buffered() > 0 {
		a.client.closeConn(a.conn)
		return
	}
	a.conn.served++
	if a.write != nil && a.conn.setUserTimeout(userTimeout) != nil {
		a.client.closeConn(a.conn)
		return
	}
	if a.conn.idleFor = idleTime(a.Header); a.conn.idleFor <= 0 {
		a.client.closeConn(a.conn)
		return
	}
	a.client.putIdle(a.conn)
}

// Discard ends an answer whose body is not needed, and does not wait for that body. It keeps the
// connection as Finish does if the body has a length of at most limit bytes and arrives within
// timeout, and resets it otherwise.
func (a *Answer) Discard(limit int64, timeout time.Duration) {
	if a.Length < 0 || a.Length > limit {
		a.Abort()
		return
	}
	if a.ended {
		return
	}
	a.ended = true
	switch {
	case !a.stop():
		a.client.closeConn(a.conn)
	case int64(a.conn.br.Buffered()) >= a.Length:
		a.discardBody(timeout)
	default:
		go a.discardBody(timeout)
	}
}

// discardBody reads the body until its end or the timeout.
func (a *Answer) discardBody(timeout time.Duration) {
	err := a.conn.SetReadDeadline(time.Now().Add(timeout))
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
	}
	if err == nil {
		err = a.conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		a.conn.reset()
		a.client.release(a.conn.addr)
		return
	}
	a.keepConn()
}

// requestWritten reports whether the whole request has been sent.
func (a *Answer) requestWritten() bool {
	return a.write == nil || a.write.ended() && a.write.err == nil
}

// Abort ends the call by resetting its connection, so that the target stops its work.
func (a *Answer) Abort() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.conn.reset()
	a.client.release(a.conn.addr)
}

var _ net.Conn = (*conn)(nil)

// Load is the load that a target reports in a header field of an answer.
type Load struct {
	Running, Waiting, Slots int
}

// ParseLoad parses the numbers of running requests, waiting requests and slots, separated
// by commas. It returns false if text is malformed.
func ParseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return Load{}, false
	}
	var v [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return Load{}, false
		}
		v[i] = n
	}
	return Load{Running: v[0], Waiting: v[1], Slots: v[2]}, true
}

// maxDecimalLength bounds the text of a decimal number, in bytes.
const maxDecimalLength = 20

// ParseDecimal parses a decimal number without a sign or an exponent. It returns false if text
// is malformed.
func ParseDecimal(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if len(text) == 0 || len(text) > maxDecimalLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

// ParseRate returns the lowest of the rates in a header field, which are separated by commas.
// It returns false if none is a decimal number.
func ParseRate(text string) (rate float64, ok bool) {
	for part := range strings.SplitSeq(text, ",") {
		if v, valid := ParseDecimal(part); valid && (!ok || v < rate) {
			rate, ok = v, true
		}
	}
	return rate, ok
}

// newReader returns a reader of an answer's body, whose buffer has room for one event of up
// to 4 KiB.
func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, 4<<10) }
