package gateway

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// fill writes bytes on the connection until the system takes no more of them, and returns their number.
func (cc *callerConn) fill() int {
	sent, piece := 0, []byte(strings.Repeat("x", 1024))
	for full := 0; full < 5; full++ {
		for {
			n, err := unix.Write(cc.conn.Fd(), piece)
			if err != nil {
				break
			}
			sent, full = sent+n, 0
		}
		time.Sleep(5 * time.Millisecond) // the caller's system may take more
	}
	return sent
}

// TestRefusalBehindAnUnreadAnswerArrives guards against a refusal that is lost because the system has no room for it
// until its caller reads the answer before it.
func TestRefusalBehindAnUnreadAnswerArrives(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady()
	c := gw.send(get("/safe/")...)
	br := bufio.NewReader(c)
	status, _ := readAnswer(t, br)
	assert.Equal(t, status, 200)
	gw.waitUntil("no request is handled", func() bool {
		return !slices.ContainsFunc(gw.connections(), func(cc *callerConn) bool { return cc.waiting.Load() == nil })
	})
	unread := make(chan int, 1)
	for _, cc := range gw.connections() {
		assert.NilError(t, cc.conn.Wake(func(conn gnet.Conn, _ error) error {
			if cc.closed || conn.RemoteAddr().String() != c.LocalAddr().String() {
				return nil // a connection of the check
			}
			assert.Check(t, conn.SetWriteBuffer(64<<10))
			n := cc.fill()
			cc.reject(apierr.New(apierr.KindHeaderTooLarge, ""))
			unread <- n
			return nil
		}))
	}
	_, err := io.CopyN(io.Discard, br, int64(<-unread))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 431)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	_, err = br.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// TestConnectionStaysOpenWhileItsLastAnswerIsRead guards against an answer that is reset, as its caller sends, while
// the caller still reads it.
func TestConnectionStaysOpenWhileItsLastAnswerIsRead(t *testing.T) {
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
		_, w, _ := newSlowCaller(fds[0], 0)
		w.finish(false)
		cc := w.cc
		overdue := func(from time.Time) bool {
			for time.Since(from) < sendTimeout*2/3 {
				time.Sleep(sweepInterval)
				if cc.s.overdue(cc, cc.waiting.Load(), time.Now()) {
					return true
				}
			}
			return false
		}
		for range pieces - 1 {
			assert.Assert(t, !overdue(time.Now()))
			_, err := unix.Read(fds[1], piece)
			assert.NilError(t, err)
		}
		assert.Assert(t, !overdue(time.Now()))
		assert.Assert(t, overdue(time.Now()), "the caller has stopped reading")
	})
}

// TestRefusalThatIsNotReadIsCutOff guards against a connection that stays open for a caller which does not read, and
// against a stop that ends before the refusal has been sent.
func TestRefusalThatIsNotReadIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, w, _ := newSlowCaller(-1, 10)
		cc := w.cc
		cc.s.conns[cc] = struct{}{}
		cc.linger()
		time.Sleep(sendTimeout - time.Second)
		assert.Assert(t, !c.closed.Load())
		assert.Equal(t, cc.s.unfinished(), 1)
		assert.Assert(t, !cc.s.overdue(cc, cc.waiting.Load(), time.Now()))
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.closed.Load())
	})
}
