package gateway

import (
	"time"

	"golang.org/x/sys/unix"
)

// lingerTime and lingerBytes bound what is read and dropped behind the last response of a connection. Closing a
// connection whose caller sends bytes resets it, and the caller might lose the response. While the caller goes on
// reading, the time is longer until its system has all of the response.
const (
	lingerTime  = 2 * time.Second
	lingerBytes = 8 << 20
)

// linger closes the connection once its caller has had the time to read the last response.
func (cc *callerConn) linger() {
	if cc.closed || cc.closing {
		return
	}
	cc.closing = true
	cc.dropInput()
	cc.waiting.Store(&wait{since: time.Now(), lingering: true, sent: &sendProgress{}})
	if cc.conn.OutboundBuffered() > 0 || unix.Shutdown(cc.conn.Fd(), unix.SHUT_WR) != nil {
		_ = cc.conn.Close()
	}
}

// lingered reports whether the caller has had the time to read the last response, or has stopped reading it.
func (cc *callerConn) lingered(w *wait, now time.Time) bool {
	left := cc.unacknowledged()
	return w.sent.stalled(left, now) || left == 0 && now.Sub(w.since) > lingerTime
}
