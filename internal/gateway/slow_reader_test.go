package gateway

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// slowCaller is a connection whose caller takes bytes only as the test says.
type slowCaller struct {
	gnet.Conn
	fd int
	// buffered is the number of bytes that the event loop has not been able to send.
	buffered atomic.Int64
	closed   atomic.Bool
}

func (c *slowCaller) Fd() int               { return c.fd }
func (c *slowCaller) OutboundBuffered() int { return int(c.buffered.Load()) }
func (c *slowCaller) RemoteAddr() net.Addr  { return &net.TCPAddr{} }

func (c *slowCaller) Wake(done gnet.AsyncCallback) error { return done(c, nil) }

func (c *slowCaller) AsyncWrite(_ []byte, done gnet.AsyncCallback) error { return done(c, nil) }

func (c *slowCaller) Close() error {
	c.closed.Store(true)
	return nil
}

// newSlowCaller returns a caller whose answer has been written and not been taken, and whether it has ended.
func newSlowCaller(fd, buffered int) (*slowCaller, *connWriter, *atomic.Bool) {
	g := New(Options{
		Settings: &settings.Gateway{Limits: settings.DefaultGatewayLimits()},
		Logger:   &log.Logger{Level: log.PanicLevel}, Metrics: tally.NoopScope,
	})
	c, ended := &slowCaller{fd: fd}, &atomic.Bool{}
	c.buffered.Store(int64(buffered))
	cc := &callerConn{s: g.server, conn: c, busy: true}
	cc.account = g.server.budget.open(cc)
	cc.out = &connWriter{cc: cc, cancel: func() {}, done: func() { ended.Store(true) }}
	return c, cc.out, ended
}

// TestSlowReaderGetsItsWholeAnswer guards against an answer that is cut off although its caller goes on reading.
func TestSlowReaderGetsItsWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, w, ended := newSlowCaller(-1, 10)
		w.finish(true)
		for left := range 10 {
			time.Sleep(sendTimeout * 2 / 3)
			assert.Assert(t, !c.closed.Load(), "closed with %d bytes left", 10-left)
			c.buffered.Add(-1)
		}
		time.Sleep(time.Second)
		assert.Assert(t, ended.Load() && !c.closed.Load())
	})
}

// TestBytesTakenFromTheSystemAreProgress guards against an answer that is cut off because the system has no room for
// more of it yet, although the caller reads what the system holds.
func TestBytesTakenFromTheSystemAreProgress(t *testing.T) {
	const pieces = 5
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM, 0)
	assert.NilError(t, err)
	defer func() { _, _ = unix.Close(fds[0]), unix.Close(fds[1]) }()
	piece := make([]byte, 1024)
	for range pieces {
		_, err := unix.Write(fds[0], piece)
		assert.NilError(t, err)
	}
	synctest.Test(t, func(t *testing.T) {
		c, w, ended := newSlowCaller(fds[0], 1)
		w.finish(true)
		for range pieces {
			time.Sleep(sendTimeout * 2 / 3)
			assert.Assert(t, !c.closed.Load())
			_, err := unix.Read(fds[1], piece)
			assert.NilError(t, err)
		}
		c.buffered.Store(0)
		time.Sleep(time.Second)
		assert.Assert(t, ended.Load() && !c.closed.Load())
	})
}

// TestReaderThatStopsIsCutOff guards against an answer that is kept for a caller which does not read it, from the
// begin or from some byte on.
func TestReaderThatStopsIsCutOff(t *testing.T) {
	for _, taken := range []int64{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			c, w, ended := newSlowCaller(-1, 10)
			w.finish(true)
			time.Sleep(time.Second)
			c.buffered.Add(-taken)
			time.Sleep(sendTimeout - 2*time.Second)
			assert.Assert(t, !ended.Load() && !c.closed.Load())
			time.Sleep(3 * time.Second)
			assert.Assert(t, ended.Load() && c.closed.Load())
		})
	}
}
