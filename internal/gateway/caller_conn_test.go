package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/callerbuf"
	"github.com/gentiantrail/gentiantrail/internal/settings"
)

// limitCallers sets the budget of bytes held for callers and the number of their connections once
// no caller is connected.
func (gw *testGateway) limitCallers(bytes int64, conns int) *testGateway {
	gw.t.Helper()
	gw.waitUntil("no caller is connected", func() bool {
		gw.g.server.mu.Lock()
		defer gw.g.server.mu.Unlock()
		return len(gw.g.server.conns) == 0
	})
	b := gw.g.server.budget
	b.mu.Lock()
	b.budget = callerbuf.New[*callerConn](bytes)
	b.mu.Unlock()
	gw.g.server.mu.Lock()
	gw.g.server.maxConns = conns
	gw.g.server.mu.Unlock()
	return gw
}

// waitUntil waits until the condition is true.
func (gw *testGateway) waitUntil(condition string, done func() bool) {
	gw.t.Helper()
	poll.WaitOn(gw.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", condition)
	}, poll.WithDelay(time.Millisecond))
}

// held returns the number of bytes held for callers.
func (gw *testGateway) held() int64 {
	b := gw.g.server.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Used()
}

// post returns the head of a request with a valid key and a body of n bytes.
func post(path string, n int, more ...string) string {
	lines := get(path, append(more, "Content-Length: "+strconv.Itoa(n))...)
	return strings.Replace(strings.Join(lines, "\r\n"), "GET", "POST", 1) + "\r\n\r\n"
}

// readAnswer reads one answer with its body.
func readAnswer(t *testing.T, br *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(br, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, string(body)
}

// echo answers with the body of the request.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("T-Sign", "signed")
	_, _ = w.Write(body)
}

// Guards against legal requests that are served differently because they arrive in pieces, expect
// 100 Continue, or follow each other without a wait.
func TestLegalRequestsAreServed(t *testing.T) {
	gw := newTestGateway(t, echo).waitReady()
	largest := strings.Repeat("x", 1<<16)
	chunked := strings.Replace(post("/once/", 3), "Content-Length: 3", "Transfer-Encoding: chunked", 1) + "1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: r\r\n\r\n"
	three := post("/once/", 1<<16) + largest + chunked + post("/once/", 0)

	c := gw.write("")
	br := bufio.NewReader(c)
	for range 2 {
		for piece := three; len(piece) > 0; {
			n := min(len(piece), 777)
			_, err := io.WriteString(c, piece[:n])
			assert.NilError(t, err)
			piece = piece[n:]
		}
		for _, want := range []string{largest, "abc", ""} {
			status, body := readAnswer(t, br)
			assert.Equal(t, status, 200)
			assert.Assert(t, body == want, "%d bytes", len(body))
		}
	}

	_, err := io.WriteString(c, post("/once/", 2, "Expect: 100-continue"))
	assert.NilError(t, err)
	status, _ := readAnswer(t, br)
	assert.Equal(t, status, 100)
	_, err = io.WriteString(c, "ok")
	assert.NilError(t, err)
	status, body := readAnswer(t, br)
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "ok")
	gw.waitUntil("all bytes are released", func() bool { return gw.held() == 0 })
}

// Guards against bodies that are read although their head determines the answer, and against an
// answer that its caller can't read because it is still sending.
func TestHeadDeterminesTheAnswer(t *testing.T) {
	gw := newTestGateway(t, echo).waitReady()
	for name, tc := range map[string]struct {
		head string
		want int
	}{
		"no route": {post("/nowhere/", 1<<16), 404},
		"no key":   {strings.Replace(post("/once/", 1<<16), "Bearer key", "Bearer other", 1), 401},
		"too long": {post("/once/", 1<<22), 413},
	} {
		c := gw.write(tc.head)
		for range 63 { // the answer arrives during these writes
			_, err := io.WriteString(c, strings.Repeat("x", 1<<10))
			assert.NilError(t, err, name)
			time.Sleep(time.Millisecond)
		}
		br := bufio.NewReader(c)
		status, body := readAnswer(t, br)
		assert.Equal(t, status, tc.want, name)
		assert.Assert(t, strings.Contains(body, `"outcome":"not-run"`), body)
		_, err := br.ReadByte()
		assert.ErrorIs(t, err, io.EOF, name)
	}
	assert.Equal(t, len(gw.targets[0].requests()), 0)
}

// Guards against callers whose unfinished bodies use up the memory: the ones that stand still are
// refused, and a whole request among them is served.
func TestUnfinishedBodiesAreCutOff(t *testing.T) {
	const budget = 1 << 20
	gw := newTestGateway(t, echo).waitReady().limitCallers(budget, 1000)
	const size = 1 << 16
	var callers []net.Conn
	for range 2 * budget / size {
		callers = append(callers, gw.write(post("/once/", size)+strings.Repeat("x", size-1)))
	}
	status, _ := readAnswer(t, bufio.NewReader(gw.write(post("/once/", size)+strings.Repeat("x", size))))
	assert.Equal(t, status, 200)
	gw.waitUntil("the budget is kept to", func() bool { return gw.held() <= budget })
	refused, waiting := 0, 0
	for _, c := range callers {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		br := bufio.NewReader(c)
		if _, err := br.Peek(1); err != nil {
			var timeout net.Error
			assert.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), "%v", err)
			waiting++
			continue
		}
		status, body := readAnswer(t, br)
		assert.Equal(t, status, 503)
		assert.Assert(t, strings.Contains(body, `"kind":"overloaded"`) && strings.Contains(body, `"outcome":"not-run"`), body)
		refused++
	}
	assert.Assert(t, refused > 0 && waiting > 0, "%d refused, %d waiting", refused, waiting)
	_, logged := gw.logs.find("caller-cut-off", "reason=incomplete")
	assert.Assert(t, logged)
}

// Guards against a caller that does not read its answers and keeps their memory.
func TestUnreadAnswersAreCutOff(t *testing.T) {
	const budget = 1 << 20
	gw := newTestGateway(t, respond(200, strings.Repeat("x", 6<<20))).waitReady().limitCallers(budget, 1000)
	c := gw.write("")
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err := io.WriteString(c, strings.Join(get("/once/"), "\r\n")+"\r\n\r\n")
	assert.NilError(t, err)
	gw.waitForLog("caller-cut-off", "reason=unsent")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	assert.Assert(t, err != nil, "an answer that was broken off looks complete")
}

// Guards against requests behind one that is being handled that use up the memory. The request
// itself is answered, and no more than one of the others.
func TestPipelinedBytesAreCutOff(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(300 * time.Millisecond)
		echo(w, r)
	}
	gw := newTestGateway(t, slow).waitReady()
	many := strings.Repeat(strings.Join(get("/once/"), "\r\n")+"\r\n\r\n", 4000)
	c := gw.write("")
	go func() { _, _ = io.WriteString(c, many) }()
	br := bufio.NewReader(c)
	status, _ := readAnswer(t, br)
	assert.Equal(t, status, 200)
	status, body := readAnswer(t, br)
	assert.Equal(t, status, 503)
	assert.Assert(t, strings.Contains(body, `"outcome":"not-run"`), body)
	_, err := http.ReadResponse(br, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(gw.targets[0].requests()), 1)
	_, logged := gw.logs.find("caller-cut-off", "reason=pipelined")
	assert.Assert(t, logged)
}

// Guards against callers that are cut off for a request that does not fit in any case.
func TestRequestWithoutRoomCutsNobodyOff(t *testing.T) {
	gw := newTestGateway(t, echo).waitReady().limitCallers(1<<16, 1000)
	small := gw.write(post("/once/", 2) + "o")
	gw.waitUntil("the small request has arrived", func() bool { return gw.held() > 0 })
	const size = 50 << 10 // within the budget once, but not twice
	status, body := readAnswer(t, bufio.NewReader(gw.write(post("/once/", size)+strings.Repeat("x", size))))
	assert.Equal(t, status, 503)
	assert.Assert(t, strings.Contains(body, `"outcome":"not-run"`), body)
	_, err := io.WriteString(small, "k")
	assert.NilError(t, err)
	status, body = readAnswer(t, bufio.NewReader(small))
	assert.Equal(t, status, 200)
	assert.Equal(t, body, "ok")
}

// Guards against callers that are cut off for bytes which they have not been offered.
func TestOnlyOfferedBytesAreCutOff(t *testing.T) {
	gw := newTestGateway(t, echo).waitReady().limitCallers(1000, 1000)
	b := gw.g.server.budget
	cc := &callerConn{s: gw.g.server}
	cc.account = b.open(cc)
	w := &connWriter{cc: cc}
	for _, pending := range []int64{900, 2000} { // with an excess of others' and of its own bytes
		other := b.handled(cc, 100)
		w.pending.Store(pending)
		b.setUnsent(w)
		victim, _, _ := b.victim()
		assert.Assert(t, victim == nil, "%d pending bytes", pending)
		b.close(other)
	}
	w.pending.Store(0)
	w.buffered.Store(2000)
	b.setUnsent(w)
	victim, part, _ := b.victim()
	assert.Equal(t, victim, cc)
	assert.Equal(t, part, callerbuf.Unsent)
	b.close(cc.account)
}

// Guards against pipelined requests that are dropped because one of them counts twice when its
// handling starts.
func TestPipelinedRequestCountsOnce(t *testing.T) {
	const size = 48 << 10
	release := make(chan struct{})
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(200, "x")(w, r)
	}).waitReady().limitCallers(140<<10, 1000) // less than the size once behind a request and twice as handled
	c := gw.write(post("/once/", 0) + post("/once/", size) + strings.Repeat("x", size) + post("/once/", 0))
	gw.waitUntil("all bytes have arrived", func() bool { return gw.held() > size })
	close(release)
	br := bufio.NewReader(c)
	for range 3 {
		status, _ := readAnswer(t, br)
		assert.Equal(t, status, 200)
	}
}

// heldPipelined returns the number of bytes that count as held behind requests.
func (gw *testGateway) heldPipelined() (sum int64) {
	gw.g.server.mu.Lock()
	defer gw.g.server.mu.Unlock()
	for cc := range gw.g.server.conns { // those of waitReady may be open, but hold nothing
		gw.g.server.budget.mu.Lock()
		sum += cc.account.Held(callerbuf.Pipelined)
		gw.g.server.budget.mu.Unlock()
	}
	return sum
}

// Guards against memory behind a request that is held but not counted, or held for a small rest.
func TestWholeArrayOfPipelinedBytesCounts(t *testing.T) {
	const first, second = 16 << 10, 48 << 10
	release := make(chan struct{})
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(200, "x")(w, r)
	}).waitReady()
	behind := post("/once/", first) + strings.Repeat("x", first) + post("/once/", second) + strings.Repeat("x", second) + post("/once/", 0)
	br := bufio.NewReader(gw.write(post("/once/", 0) + behind))
	gw.waitUntil("there is room for all bytes", func() bool { return gw.heldPipelined() >= int64(len(behind)) })
	var counted []int64
	for i := range 4 {
		gw.waitUntil("the request is handled", func() bool { return len(gw.targets[0].requests()) > i })
		counted = append(counted, gw.heldPipelined())
		release <- struct{}{}
		status, _ := readAnswer(t, br)
		assert.Equal(t, status, 200)
	}
	assert.Equal(t, len(counted), 4)
	assert.Equal(t, counted[1], counted[0]) // the rest is more than half of the array
	assert.Assert(t, counted[2] > 0 && counted[2] < first, "%d", counted[2])
	assert.Equal(t, counted[3], int64(0))
}

// Guards against a single pipelined request within the limits that is dropped for its framing.
func TestLargestPipelinedRequestIsServed(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		respond(200, "x")(w, r)
	}).waitReady()
	limits := parseLimits(gw.g.view.Load())
	const chunk = 64
	head := post("/once/", limits.Body, "X: ")
	chunkedHead := strings.Replace(head, "Content-Length: "+strconv.Itoa(limits.Body), "Transfer-Encoding: chunked", 1)
	for name, parts := range map[string][2]string{
		"length": {head, strings.Repeat("x", limits.Body)},
		"chunks": {chunkedHead, strings.Repeat("40\r\n"+strings.Repeat("x", chunk)+"\r\n", limits.Body/chunk) + "0\r\n\r\n"},
	} {
		pad := strings.Repeat("x", limits.Header+len("\r\n\r\n")-len(parts[0]))
		br := bufio.NewReader(gw.write(post("/once/", 0) + strings.Replace(parts[0], "X: ", "X: "+pad, 1) + parts[1]))
		gw.waitUntil("all bytes have arrived", func() bool {
			_, cut := gw.logs.find("caller-cut-off")
			return cut || gw.held() >= int64(limits.Header+len(parts[1]))
		})
		_, cut := gw.logs.find("caller-cut-off")
		assert.Assert(t, !cut, name)
		for range 2 {
			release <- struct{}{}
			status, _ := readAnswer(t, br)
			assert.Equal(t, status, 200, name)
		}
		gw.waitUntil("all bytes are released", func() bool { return gw.held() == 0 })
	}
}

// Guards against two gateways that share an address and its callers.
func TestAddressOfAnotherGatewayIsInUse(t *testing.T) {
	gw := newTestGateway(t, echo).waitReady()
	other := New(Options{
		Settings: &settings.Gateway{Listen: gw.addr, Limits: settings.DefaultGatewayLimits()},
		Logger:   &log.Logger{Level: log.PanicLevel}, Metrics: tally.NoopScope,
	})
	assert.ErrorIs(t, other.Serve(t.Context()), syscall.EADDRINUSE)
}

// Guards against connections that use up the descriptors.
func TestConnectionsAboveTheLimitAreRefused(t *testing.T) {
	gw := newTestGateway(t, respond(200, "x")).waitReady().limitCallers(0, 2)
	first, second := gw.write(""), gw.write("")
	status, body := readAnswer(t, bufio.NewReader(gw.write("")))
	assert.Equal(t, status, 503)
	assert.Assert(t, strings.Contains(body, `"outcome":"not-run"`), body)
	for _, c := range []net.Conn{first, second} {
		_, err := io.WriteString(c, strings.Join(get("/safe/"), "\r\n")+"\r\n\r\n")
		assert.NilError(t, err)
		status, _ := readAnswer(t, bufio.NewReader(c))
		assert.Equal(t, status, 200)
	}
}

func TestDefaultNumberOfConnections(t *testing.T) {
	assert.Equal(t, maxCallers(&settings.Gateway{Callers: settings.GatewayCallers{MaxConnections: 7}}), 7)
	assert.Assert(t, maxCallers(&settings.Gateway{Memory: 152}) <= 152<<20/callerMemory)
}
