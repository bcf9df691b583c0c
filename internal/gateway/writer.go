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
	// finish ends the response, and closes the connection unless keepAlive is true.
	finish(keepAlive bool)
}

// connWriter passes the bytes of a response to the event loop.
type connWriter struct {
	cc      *callerConn
	cancel  context.CancelFunc
	pending atomic.Int64
	aborted atomic.Bool
}

// write implements responder.
func (w *connWriter) write(b []byte) {
	if w.aborted.Load() {
		return
	}
	size := int64(len(b))
	if w.pending.Add(size) > maxUnsentBytes {
		w.abort()
		return
	}
	err := w.cc.conn.AsyncWrite(b, func(gnet.Conn, error) error {
		w.pending.Add(-size)
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
		return
	}
	err := w.cc.conn.AsyncWrite(nil, func(c gnet.Conn, err error) error {
		w.cancel()
		cc := w.cc
		cc.busy, cc.cancel = false, nil
		cc.waiting.Store(&wait{since: time.Now()})
		if !keepAlive || err != nil {
			cc.closing = true
			return c.Close()
		}
		if c.InboundBuffered() > 0 {
			cc.read()
		}
		return nil
	})
	if err != nil {
		w.cancel()
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
