package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/phuslu/log"
)

// responder writes the response of an exchange to its caller.
type responder interface {
	// write sends bytes of the response.
	write(b []byte)
	// abort closes the connection, so that the response can't appear complete.
	abort()
	// finish ends the response. Once it has been sent, the connection is closed unless
	// keepAlive is true, which it must be if the response has not announced the close.
	finish(keepAlive bool)
}

// sendPollInterval is the interval at which a response that waits for its caller is checked.
const sendPollInterval = 20 * time.Millisecond

// connWriter passes the bytes of a response to the event loop.
type connWriter struct {
	cc     *callerConn
	cancel context.CancelFunc
	// done is called once the response has been sent, or can't be sent any more.
	done func()
	// pending is the number of bytes that have not reached the event loop.
	pending atomic.Int64
	// buffered is the number of bytes that the event loop has not been able to send.
	buffered atomic.Int64
	aborted  atomic.Bool
}

// write implements responder.
func (w *connWriter) write(b []byte) {
	if w.aborted.Load() {
		return
	}
	size := int64(len(b))
	if held := w.pending.Add(size); held > maxUnsentBytes {
		w.cc.logCut(reasonQueued, held)
		w.abort()
		return
	}
	w.cc.s.budget.setUnsent(w)
	err := w.cc.conn.AsyncWrite(b, func(c gnet.Conn, err error) error {
		w.pending.Add(-size)
		if err == nil {
			w.buffered.Store(int64(c.OutboundBuffered()))
			w.cc.s.budget.setUnsent(w)
			w.cc.s.budget.relieve()
		}
		return nil
	})
	if err != nil {
		w.abort()
	}
}

// abort implements responder.
func (w *connWriter) abort() {
	if w.aborted.CompareAndSwap(false, true) {
		w.cancel()
		_ = w.cc.conn.CloseWithCallback(nil) // fails only if the connection is closed already
	}
}

// finish implements responder.
func (w *connWriter) finish(keepAlive bool) {
	if w.aborted.Load() {
		w.cancel()
		w.done()
		return
	}
	err := w.cc.conn.AsyncWrite(nil, func(_ gnet.Conn, err error) error {
		if err != nil {
			w.end(false)
		} else {
			w.endWhenSent(keepAlive, &sendProgress{})
		}
		return nil
	})
	if err != nil {
		w.cancel()
		w.done()
	}
}

// endWhenSent ends the exchange once no bytes of the response are left to send, or the caller
// takes none of them. It runs on the event loop.
func (w *connWriter) endWhenSent(keepAlive bool, p *sendProgress) {
	switch {
	case w.cc.closed:
		w.end(false)
	case w.cc.conn.OutboundBuffered() == 0:
		w.end(keepAlive)
	case p.stalled(w.cc.untaken(), time.Now()):
		w.cc.cutUnread()
		w.end(false)
	default:
		w.cc.s.budget.refreshUnsent(w.cc)
		time.AfterFunc(sendPollInterval, func() {
			err := w.cc.conn.Wake(func(gnet.Conn, error) error {
				w.endWhenSent(keepAlive, p)
				return nil
			})
			if err != nil { // the event loop has ended
				w.cancel()
				w.done()
			}
		})
	}
}

// Reasons for which a response is broken off, beside those of the budget of the bytes held for callers.
const (
	reasonQueued      = "queued"
	reasonSendTimeout = "send-timeout"
)

// logCut writes the log line of a response that is broken off because its caller does not read it.
func (cc *callerConn) logCut(reason string, bytes int64) {
	cc.s.g.opts.Logger.Warn().Str("event", "caller-cut-off").Str("reason", reason).Int64("bytes", bytes).
		Str("peer", cc.conn.RemoteAddr().String()).Msg("")
}

// end makes the connection ready for the next request, or closes it. It runs on the event
// loop.
func (w *connWriter) end(keepAlive bool) {
	cc := w.cc
	// A stop must not end between this request and one that has been read behind it.
	cc.s.g.inFlight.Add(1)
	defer cc.s.g.inFlight.Add(-1)
	w.cancel()
	w.buffered.Store(0)
	cc.s.budget.setUnsent(w)
	cc.busy, cc.out = false, nil
	cc.waiting.Store(&wait{since: time.Now(), sent: &sendProgress{}})
	w.done()
	switch {
	case cc.closed:
	case cc.discarding && keepAlive: // the response has not announced the close
		cc.refuseDropped()
	case cc.discarding:
		cc.linger()
	case !keepAlive:
		cc.logUnanswered()
		cc.linger()
	default:
		cc.takePipelined()
	}
}

// gnetLogger writes gnet's warnings and errors to the gateway's log.
type gnetLogger struct{ log *log.Logger }

// Debugf implements logging.Logger.
func (gnetLogger) Debugf(string, ...any) {}

// Infof implements logging.Logger.
func (gnetLogger) Infof(string, ...any) {}

// Warnf implements logging.Logger.
func (l gnetLogger) Warnf(format string, args ...any) { l.line(l.log.Warn(), format, args) }

// Errorf implements logging.Logger.
func (l gnetLogger) Errorf(format string, args ...any) { l.line(l.log.Error(), format, args) }

// Fatalf implements logging.Logger; unlike its name it does not end the process.
func (l gnetLogger) Fatalf(format string, args ...any) { l.line(l.log.Error(), format, args) }

func (l gnetLogger) line(e *log.Entry, format string, args []any) {
	e.Str("event", "listener").Str("detail", fmt.Sprintf(format, args...)).Msg("")
}
