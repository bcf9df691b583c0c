package gateway

import (
	"time"

	"github.com/panjf2000/gnet/v2"
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
	cc.waiting.Store(&wait{since: time.Now(), lingering: true})
	cc.shutdownWhenSent(&sendProgress{})
}

// shutdownWhenSent ends the sending side once no bytes of the last response are left to send, or closes the
// connection if the caller takes none of them. It runs on the event loop.
func (cc *callerConn) shutdownWhenSent(p *sendProgress) {
	switch {
	case cc.closed:
	case cc.conn.OutboundBuffered() == 0:
		cc.waiting.Store(&wait{since: time.Now(), lingering: true, sent: p})
		if unix.Shutdown(cc.conn.Fd(), unix.SHUT_WR) != nil {
			_ = cc.conn.Close() // fails only if it is closed already
		}
	case p.stalled(cc.untaken(), time.Now()):
		cc.cutUnread()
	default:
		time.AfterFunc(sendPollInterval, func() {
			_ = cc.conn.Wake(func(gnet.Conn, error) error { // fails only if the event loop has ended
				cc.shutdownWhenSent(p)
				return nil
			})
		})
	}
}

// cutUnread closes the connection of a caller that takes no bytes of its response.
func (cc *callerConn) cutUnread() {
	cc.logCut(reasonSendTimeout, int64(cc.conn.OutboundBuffered()))
	cc.closing = true
	_ = cc.conn.Close() // fails only if it is closed already
}

// lingered reports whether the caller has had the time to read the last response, or has stopped reading it.
func (cc *callerConn) lingered(w *wait, now time.Time) bool {
	if w.sent == nil {
		return false // shutdownWhenSent bounds the time
	}
	left := cc.unacknowledged()
	return w.sent.stalled(left, now) || left == 0 && now.Sub(w.since) > lingerTime
}
