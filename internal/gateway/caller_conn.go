package gateway

import (
	"bytes"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/callerbuf"
	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// framingBytes and framingShare allow for the framing of a pipelined request: a number of bytes,
// and a fraction of the largest body. Chunks of at least 64 bytes without extensions fit.
const framingBytes, framingShare = 64 << 10, 8

// callerConn is one connection of a caller. Its fields except waiting and account are owned by
// the event loop.
type callerConn struct {
	s    *server
	conn gnet.Conn
	// account is the bytes held for the connection.
	account *account
	// reader holds the part of the next request that has arrived.
	reader http1.RequestReader
	// pipelined contains the bytes that arrived while a request is being handled.
	pipelined []byte
	// readAhead is true while pipelined has bytes.
	readAhead atomic.Bool
	// firstByte is when the first of the bytes was read that belong to no request yet, or zero.
	firstByte time.Time
	// pipelinedArray is the capacity of the whole array that pipelined is the end of.
	pipelinedArray int
	// busy is true while a request is being handled, and out writes its response.
	busy bool
	out  *connWriter
	// waiting describes the connection's wait for its caller; nil while a request is
	// being handled.
	waiting atomic.Pointer[wait]
	// headChecked is true once the head of the request that arrives has been found acceptable.
	headChecked bool
	// discarding is true once bytes of the caller are dropped: the connection is closed
	// after the response.
	discarding bool
	// dropped is the field with the id of the first request that was dropped behind another one.
	dropped http1.Header
	// discarded is the number of bytes dropped since the response.
	discarded int
	// closing is true once no further request is read, and closed once the connection has
	// been closed.
	closing, closed bool
}

// wait describes a connection's wait for bytes from its caller.
type wait struct {
	since time.Time
	// partial is true if a part of a request has been received.
	partial bool
	// lingering is true if the connection waits for its caller to read the last response.
	lingering bool
	// sent follows the bytes of the last response that the caller's system has not confirmed; nil while the
	// event loop has bytes of it left to send, and before the first response.
	sent *sendProgress
}

// expire closes the connection if its wait is still overdue. It runs on the event loop.
func (cc *callerConn) expire() {
	w := cc.waiting.Load()
	if cc.closed || w == nil || !cc.s.overdue(cc, w, time.Now()) || cc.closing && !w.lingering {
		return
	}
	if w.partial {
		cc.reject(apierr.New(apierr.KindSlowRequest, ""))
		return
	}
	if cc.unread() {
		return // the event loop reads the next request as soon as it can
	}
	cc.closing = true
	_ = cc.conn.EventLoop().Close(cc.conn) // at once, so that nothing more is read; fails only if it is closed already
}

// read takes all bytes that have arrived, so that gnet keeps none.
func (cc *callerConn) read() gnet.Action {
	n := cc.conn.InboundBuffered()
	if n == 0 {
		return gnet.None
	}
	buf, err := cc.conn.Peek(n)
	if err != nil {
		return gnet.Close
	}
	cc.take(buf)
	if cc.closed {
		return gnet.None
	}
	if _, err := cc.conn.Discard(n); err != nil || cc.closing && cc.discarded > lingerBytes {
		return gnet.Close
	}
	return gnet.None
}

// take reads requests from buf, which belongs to the connection, and keeps the bytes behind the
// one that is handled.
func (cc *callerConn) take(buf []byte) {
	cc.recordFirstByte()
	buf = cc.takeRequest(buf)
	if len(buf) == 0 {
		return
	}
	if cc.closing || cc.discarding {
		cc.discarded += len(buf)
		return
	}
	if len(cc.pipelined)+len(buf) > cc.maxPipelined() {
		cc.s.budget.recordCut(callerbuf.Pipelined.String(), int64(len(cc.pipelined)+len(buf)), cc.conn.RemoteAddr())
		cc.cutOff(callerbuf.Pipelined)
		return
	}
	cc.appendPipelined(buf)
	cc.s.budget.relieve()
}

func (cc *callerConn) recordFirstByte() {
	if cc.firstByte.IsZero() {
		cc.firstByte = time.Now()
	}
}

// takePipelined reads the next request from the bytes that arrived during the last one.
func (cc *callerConn) takePipelined() {
	if len(cc.pipelined) == 0 {
		return
	}
	cc.takeRequest(cc.pipelined)
	if cc.closing || cc.discarding {
		cc.setPipelined(nil, 0)
	}
}

// releasePipelined releases the first n bytes behind a request. The rest is copied once it takes
// less than half of its array, so that the cost of copies is proportional to the bytes released.
func (cc *callerConn) releasePipelined(n int) {
	rest, array := cc.pipelined[n:], cc.pipelinedArray
	switch {
	case len(rest) == 0:
		rest, array = nil, 0
	case 2*len(rest) < array:
		rest = bytes.Clone(rest)
		array = cap(rest)
	}
	cc.setPipelined(rest, array)
}

// appendPipelined keeps a copy of buf behind a request.
func (cc *callerConn) appendPipelined(buf []byte) {
	cc.recordFirstByte()
	all, array := append(cc.pipelined, buf...), cc.pipelinedArray
	if cap(all) != cap(cc.pipelined) { // append has allocated a new array
		array = cap(all)
	}
	cc.setPipelined(all, array)
}

// setPipelined replaces the bytes behind a request, and accounts for the whole array that holds
// them.
func (cc *callerConn) setPipelined(b []byte, array int) {
	cc.pipelined, cc.pipelinedArray = b, array
	cc.readAhead.Store(len(b) > 0)
	cc.s.budget.set(cc.account, callerbuf.Pipelined, int64(array))
}

// maxPipelined returns the number of bytes that are kept while a request is handled: one more request
// of the largest size with its framing.
func (cc *callerConn) maxPipelined() int {
	l := parseLimits(cc.s.g.view.Load())
	return l.Header + l.Body + l.Body/framingShare + framingBytes
}

// takeRequest reads the next request from buf and returns the bytes behind it. If the request is
// complete, its handling starts.
func (cc *callerConn) takeRequest(buf []byte) []byte {
	if cc.busy || cc.closing || cc.discarding {
		return buf
	}
	cc.s.gate.Lock()
	defer cc.s.gate.Unlock()
	v := cc.s.g.view.Load()
	n, err := cc.reader.Read(buf, parseLimits(v))
	if err != nil {
		cc.reject(apierr.Wrap(parseErrorKind(err), "", err))
		return nil
	}
	if len(cc.pipelined) > 0 { // buf is cc.pipelined
		// The bytes that were read are released first, since they count for the request from here on.
		cc.releasePipelined(n)
	}
	if req := cc.reader.Complete(); req != nil {
		if cc.s.ending {
			cc.reject(apierr.New(apierr.KindDraining, cc.s.g.opts.Settings.Name))
			return nil
		}
		cc.startRequest(req, v)
		return buf[n:]
	}
	cc.awaitMore(v)
	return buf[n:]
}

// awaitMore records that a part of a request has been received. Once its head is known, it answers
// a request that no body makes acceptable, or sends 100 Continue if the caller expects it.
func (cc *callerConn) awaitMore(v *view) {
	if w := cc.waiting.Load(); w == nil || !w.partial {
		cc.waiting.Store(&wait{since: time.Now(), partial: true})
	}
	if head := cc.reader.Head(); head != nil && !cc.headChecked {
		cc.headChecked = true
		if cc.s.ending {
			cc.reject(apierr.New(apierr.KindDraining, cc.s.g.opts.Settings.Name))
			return
		}
		if cc.s.g.refusedByHead(head, v) {
			head.KeepAlive, head.Body = false, nil
			cc.discarding = true
			cc.startRequest(head, v)
			return
		}
		if head.AwaitsContinue() {
			cc.send([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	}
	cc.s.budget.set(cc.account, callerbuf.Incomplete, cc.reader.Held())
	cc.s.budget.relieve()
}

// refusedByHead reports whether the head of a request alone determines that it is refused.
func (g *Gateway) refusedByHead(req *http1.Request, v *view) bool {
	x := &exchange{req: req, view: v}
	return findRoute(g, x) != nil || identify(g, x) != nil
}

func (cc *callerConn) startRequest(req *http1.Request, v *view) {
	ctx, cancel := context.WithCancel(context.Background())
	cc.busy, cc.headChecked, cc.reader = true, false, http1.RequestReader{}
	g, budget := cc.s.g, cc.s.budget
	g.inFlight.Add(1)
	cc.waiting.Store(nil)
	budget.set(cc.account, callerbuf.Incomplete, 0)
	handled := budget.handled(cc, req.Held())
	x := &exchange{ctx: ctx, req: req, view: v, arrived: time.Now(), firstByte: cc.firstByte, readAhead: &cc.readAhead}
	if len(cc.pipelined) == 0 {
		cc.firstByte = time.Time{}
	}
	cc.out = &connWriter{cc: cc, cancel: cancel, done: sync.OnceFunc(func() {
		x.releaseAnswers()
		budget.close(handled)
		g.inFlight.Add(-1)
		g.requests.remove(x)
	})}
	x.out = cc.out
	g.requests.add(x)
	if x.noRoom = !budget.relieve(); x.noRoom {
		req.Body = nil
		budget.close(handled)
	}
	go g.handle(x)
}

// logUnanswered writes a log line if the connection is closed although bytes have been read that belong to
// requests behind the last response.
func (cc *callerConn) logUnanswered() {
	if len(cc.pipelined) == 0 {
		return
	}
	cc.s.g.opts.Logger.Warn().Str("event", "closed-unanswered").Int("bytes", len(cc.pipelined)).
		Int64("stop_ms", cc.s.g.timeSinceSignal().Milliseconds()).Str("peer", cc.conn.RemoteAddr().String()).Msg("")
}

// reject sends an error response to bytes that are not an acceptable request, or to a
// request that took too long to arrive, and closes the connection.
func (cc *callerConn) reject(err *apierr.Error) {
	cc.s.g.requestMetrics.Count(err.Kind)
	cc.s.g.opts.Logger.Info().Str("event", "request-rejected").Str("request", cc.attemptID(cc.reader.Head())).Str("kind", err.Answer().Name).
		Str("peer", cc.conn.RemoteAddr().String()).Str("detail", err.Error()).Msg("")
	cc.refuse(err)
}

// refuse sends an error response to a request that has not arrived completely, and closes the
// connection.
func (cc *callerConn) refuse(err *apierr.Error) {
	cc.send(errorAnswer(err, cc.attemptField(cc.reader.Head())))
	cc.linger()
}

// unread reports whether bytes have arrived that the event loop has not read. It is called on the event loop or
// while server.mu is held, so that the descriptor is not closed meanwhile.
func (cc *callerConn) unread() bool {
	n, err := unix.IoctlGetInt(cc.conn.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// dropInput releases the bytes that have arrived.
func (cc *callerConn) dropInput() {
	cc.reader = http1.RequestReader{}
	cc.s.budget.set(cc.account, callerbuf.Incomplete, 0)
	cc.setPipelined(nil, 0)
}

// cutOff releases the bytes held for the caller in a part. It refuses a request that is incomplete,
// reads no further request behind one that is being handled, and breaks off a response that the
// caller does not accept.
func (cc *callerConn) cutOff(part callerbuf.Part) {
	switch part {
	case callerbuf.Incomplete:
		cc.refuse(apierr.New(apierr.KindOverloaded, ""))
	case callerbuf.Pipelined:
		cc.dropPipelined()
	default:
		cc.s.budget.close(cc.account)
		if cc.out != nil {
			cc.out.abort()
		}
	}
	cc.dropInput()
}

// send writes from the event loop.
func (cc *callerConn) send(b []byte) {
	if _, err := cc.conn.Write(b); err != nil {
		cc.closing = true
		_ = cc.conn.Close()
	}
}
