package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"

	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// Answer is the answer of a target. It must be ended with Finish or Abort.
type Answer struct {
	*http1.Response

	client *Client
	conn   *conn
	stop   func() bool
	// unsent receives the result of a write that goes on while the answer is read;
	// nil if the request was written before.
	unsent chan error
	ended  bool
}

// send writes the request. A large one is written beside the reading, since a target
// may answer before it has read the body.
func (a *Answer) send(call *Call) error {
	wire := http1.AppendRequest(nil, call.Request)
	if len(wire) <= inlineWrite {
		_, err := a.conn.Write(wire)
		return err
	}
	a.unsent = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(wire)
		a.unsent <- err
	}()
	return nil
}

// receive reads the head of the answer to the call; answers to other requests that
// the target sent in excess are skipped.
func (a *Answer) receive(call *Call) error {
	for range maxExtraAnswers {
		resp, err := http1.ReadResponse(a.conn.br, call.Request.Method)
		if err != nil {
			return err
		}
		if a.belongs(resp, call) {
			a.Response = resp
			return nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		if !resp.KeepAlive {
			return ErrForeignAnswer
		}
		a.conn.served++
	}
	return ErrForeignAnswer
}

// ErrForeignAnswer means that only answers to other requests came on the connection.
var ErrForeignAnswer = errors.New("the answer belongs to another request")

// belongs reports whether an answer echoes the call's attempt id. Without an echo,
// the first answer on a connection can only belong to its first request.
func (a *Answer) belongs(resp *http1.Response, call *Call) bool {
	id, echoed := resp.Header.Lookup(a.client.names.Attempt)
	if echoed {
		return id == call.Attempt
	}
	return a.conn.served == 0
}

// NotExecuted reports whether the target says that it did not run the request.
func (a *Answer) NotExecuted() bool {
	if a.Status == 421 {
		return true
	}
	_, ok := a.Header.Lookup(a.client.names.NotExecuted)
	return ok
}

// Finish ends an answer whose body was read to its end, and keeps the connection if
// the target allows it.
func (a *Answer) Finish() {
	if a.ended {
		return
	}
	a.ended = true
	if !a.stop() || !a.KeepAlive || !a.written() || a.conn.br.Buffered() > 0 {
		a.client.drop(a.conn)
		return
	}
	a.conn.served++
	if a.conn.idleFor = idleLimit(a.Header); a.conn.idleFor <= 0 {
		a.client.drop(a.conn)
		return
	}
	a.client.keep(a.conn)
}

// written reports whether the whole request has been sent.
func (a *Answer) written() bool {
	if a.unsent == nil {
		return true
	}
	select {
	case err := <-a.unsent:
		return err == nil
	default:
		return false
	}
}

// Abort ends the call by closing its connection; the target drops its work.
func (a *Answer) Abort() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.client.drop(a.conn)
}

var _ net.Conn = (*conn)(nil)

// Load is what a target says of its work beside an answer.
type Load struct {
	Running, Waiting, Slots int
}

// ParseLoad reads running, waiting and slots, separated by commas.
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

// newReader is the reader of an answer's body with room for one event.
func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, 4<<10) }
