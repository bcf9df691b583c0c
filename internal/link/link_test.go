package link

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gobwas/ws"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	testKey     = "0123456789abcdef0123456789abcdef"
	waitTimeout = 20 * time.Second
)

// recorder is a Handler that records its calls; onMsg, if not nil, is called instead of
// recording a message.
type recorder struct {
	mu       sync.Mutex
	peers    []Peer
	messages []message.Message
	downs    []error
	onMsg    func(Peer, message.Message)
}

func (r *recorder) Up(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers = append(r.peers, p)
}

func (r *recorder) Message(p Peer, m message.Message) {
	if r.onMsg != nil {
		r.onMsg(p, m)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, m)
}

func (r *recorder) Down(_ Peer, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downs = append(r.downs, cause)
}

func (r *recorder) counts() (ups, msgs, downs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers), len(r.messages), len(r.downs)
}

// logSink is a concurrency-safe log sink.
type logSink struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logSink) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logSink) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

func newNode(t testing.TB, name string, h Handler, change func(*Config)) *Node {
	t.Helper()
	cfg := Config{
		Identity: message.Identity{Role: message.RoleAgent, Name: name, Incarnation: uint64(len(name)) + 1},
		Key:      []byte(testKey), IdleTimeout: 10 * time.Second, BackoffMin: 5 * time.Millisecond,
	}
	if change != nil {
		change(&cfg)
	}
	n, err := New(cfg, h)
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		assert.NilError(t, n.Close(ctx))
	})
	return n
}

// pair returns two linked nodes; a is the dialler's Handler and b the acceptor's.
func pair(t testing.TB, a, b *recorder, change func(*Config)) (dialler, acceptor *Node) {
	t.Helper()
	acceptor = newNode(t, "acceptor", b, change)
	assert.NilError(t, acceptor.Listen("127.0.0.1:0"))
	dialler = newNode(t, "dialler", a, change)
	dialler.Dial(acceptor.Addr())
	dialler.Dial(acceptor.Addr())
	eventually(t, func() bool {
		ups, _, _ := a.counts()
		peers, _, _ := b.counts()
		return ups == 1 && peers == 1
	})
	return dialler, acceptor
}

func eventually(t testing.TB, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("the condition does not hold yet")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(2*time.Millisecond))
}

func TestMessagesArriveOnceAndInOrderInBothDirections(t *testing.T) {
	a, b := &recorder{}, &recorder{}
	pair(t, a, b, nil)
	assert.Equal(t, a.peers[0].Identity().Name, "acceptor")
	assert.Equal(t, b.peers[0].Identity().Name, "dialler")
	assert.Assert(t, a.peers[0].Dialled() && !b.peers[0].Dialled())
	const count = 3000
	var wg sync.WaitGroup
	for _, p := range []Peer{a.peers[0], b.peers[0]} {
		wg.Go(func() {
			for i := range count {
				data := bytes.Repeat([]byte{byte(i)}, i%777)
				assert.Check(t, p.Send(&message.ResponseData{ID: uint64(i), Data: data}))
			}
		})
	}
	wg.Wait()
	for _, r := range []*recorder{a, b} {
		eventually(t, func() bool { _, msgs, _ := r.counts(); return msgs == count })
		for i, m := range r.messages {
			data, ok := m.(*message.ResponseData)
			assert.Assert(t, ok && data.ID == uint64(i))
			assert.Assert(t, bytes.Equal(data.Data, bytes.Repeat([]byte{byte(i)}, i%777)))
		}
	}
}

func TestLargestFramePassesAndLargerIsRefused(t *testing.T) {
	a, b := &recorder{}, &recorder{}
	pair(t, a, b, nil)
	body := make([]byte, message.MaxFrameSize-64)
	assert.NilError(t, a.peers[0].Send(&message.Request{ID: 1, Body: body}))
	eventually(t, func() bool { _, msgs, _ := b.counts(); return msgs == 1 })
	err := a.peers[0].Send(&message.Request{ID: 2, Body: make([]byte, message.MaxFrameSize)})
	assert.ErrorIs(t, err, ErrTooLarge)
}

func TestSendFailsWhenThePeerDoesNotRead(t *testing.T) {
	release := make(chan struct{})
	a := &recorder{}
	b := &recorder{onMsg: func(Peer, message.Message) { <-release }}
	const limit = 1 << 20
	pair(t, a, b, func(c *Config) { c.QueueLimit = limit })
	p := a.peers[0]
	m := &message.ResponseData{Data: make([]byte, 64<<10)}
	sent := 0
	for !errors.Is(p.Send(m), ErrQueueFull) {
		sent++
		assert.Assert(t, sent < 10_000, "the queue is not bounded")
	}
	assert.Assert(t, p.Queued() <= limit+64<<10)
	close(release)
	eventually(t, func() bool { return p.Send(m) == nil })
}

func TestClosedLinkIsDialledAgain(t *testing.T) {
	a, b := &recorder{}, &recorder{}
	dialler, acceptor := pair(t, a, b, nil)
	b.peers[0].Close()
	eventually(t, func() bool { ups, _, downs := a.counts(); return ups == 2 && downs == 1 })
	assert.ErrorIs(t, a.peers[0].Send(&message.Cancel{}), ErrClosed)
	dialler.StopDialling(acceptor.Addr())
	eventually(t, func() bool { return len(dialler.Links()) == 0 && len(acceptor.Links()) == 0 })
}

func TestCloseSendsQueuedMessages(t *testing.T) {
	a, b := &recorder{}, &recorder{}
	dialler, _ := pair(t, a, b, nil)
	const count = 500
	for i := range count {
		assert.NilError(t, a.peers[0].Send(&message.Cancel{ID: uint64(i)}))
	}
	assert.NilError(t, dialler.Close(context.Background()))
	eventually(t, func() bool { _, msgs, downs := b.counts(); return msgs == count && downs == 1 })
}

// stallingProxy forwards in both directions until stall is called. Then it keeps its
// connections open and forwards nothing, as a network partition or a frozen peer does.
func stallingProxy(t *testing.T, to string) (addr string, stall func()) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	stalled := make(chan struct{})
	forward := func(dst, src net.Conn) {
		t.Cleanup(func() { _ = src.Close() })
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			select {
			case <-stalled:
				blockOnRead(src)
				return
			default:
			}
			if err != nil {
				return
			}
			_, _ = dst.Write(buf[:n])
		}
	}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go forward(out, in)
			go forward(in, out)
		}
	}()
	return ln.Addr().String(), func() { close(stalled) }
}

func blockOnRead(src net.Conn) {
	_, _ = src.Read(make([]byte, 1))
}

func TestSilentPeerIsDetectedOnBothSides(t *testing.T) {
	shortIdle := func(c *Config) { c.IdleTimeout = 400 * time.Millisecond }
	a, b := &recorder{}, &recorder{}
	acceptor := newNode(t, "acceptor", b, shortIdle)
	assert.NilError(t, acceptor.Listen("127.0.0.1:0"))
	addr, stall := stallingProxy(t, acceptor.Addr())
	dialler := newNode(t, "dialler", a, shortIdle)
	dialler.Dial(addr)
	eventually(t, func() bool { ups, _, _ := b.counts(); return ups >= 1 })
	stall()
	for _, r := range []*recorder{a, b} {
		eventually(t, func() bool { _, _, downs := r.counts(); return downs >= 1 })
		assert.ErrorIs(t, r.downs[0], ErrIdle)
	}
}

func TestWrongKeyIsRefusedByBothSides(t *testing.T) {
	sink := &logSink{}
	a, b := &recorder{}, &recorder{}
	logTo := func(c *Config) { c.Logger = &log.Logger{Writer: log.IOWriter{Writer: sink}} }
	acceptor := newNode(t, "acceptor", b, logTo)
	assert.NilError(t, acceptor.Listen("127.0.0.1:0"))
	dialler := newNode(t, "dialler", a, func(c *Config) {
		logTo(c)
		c.Key = []byte(strings.Repeat("x", minKeySize))
	})
	dialler.Dial(acceptor.Addr())
	eventually(t, func() bool { return sink.contains("another link key") })
	ups, _, _ := a.counts()
	peers, _, _ := b.counts()
	assert.Equal(t, ups+peers, 0)
}

func clientFrame(op ws.OpCode, payload []byte) []byte {
	return appendFrame(nil, op, payload, true)
}

func encoded(t *testing.T, m message.Message) []byte {
	t.Helper()
	frame, err := message.Encode(m)
	assert.NilError(t, err)
	return frame
}

const upgradeRequest = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n" +
	"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"

func TestInvalidInputClosesOnlyItsOwnLink(t *testing.T) {
	sink := &logSink{}
	b := &recorder{}
	acceptor := newNode(t, "acceptor", b, func(c *Config) {
		c.HandshakeTimeout = 300 * time.Millisecond
		c.IdleTimeout = 800 * time.Millisecond
		c.Logger = &log.Logger{Writer: log.IOWriter{Writer: sink}}
	})
	assert.NilError(t, acceptor.Listen("127.0.0.1:0"))
	upgraded := func(frame []byte) []byte { return append([]byte(upgradeRequest), frame...) }
	hello := &message.Hello{Identity: message.Identity{Name: "x"}, Nonce: newNonce()}
	cases := map[string][]byte{
		"garbage":             []byte("\x00\x01garbage\r\n\r\n"),
		"endless upgrade":     bytes.Repeat([]byte("a"), 1<<20),
		"not an upgrade":      []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"silent":              {},
		"slow":                []byte("GET / HT"),
		"oversized frame":     upgraded([]byte{0x82, 0xff, 0, 0, 0, 1, 0, 0, 0, 0, 1, 2, 3, 4}),
		"unmasked frame":      upgraded(appendFrame(nil, ws.OpBinary, encoded(t, hello), false)),
		"text frame":          upgraded(clientFrame(ws.OpText, []byte("hi"))),
		"unknown type":        upgraded(clientFrame(ws.OpBinary, []byte{message.Version, 250, 0xa0})),
		"unknown version":     upgraded(clientFrame(ws.OpBinary, []byte{message.Version + 1, 1, 0xa0})),
		"work before Hello":   upgraded(clientFrame(ws.OpBinary, encoded(t, &message.Request{ID: 1}))),
		"Auth before Hello":   upgraded(clientFrame(ws.OpBinary, encoded(t, &message.Auth{MAC: newNonce()}))),
		"forged Auth":         upgraded(append(clientFrame(ws.OpBinary, encoded(t, hello)), clientFrame(ws.OpBinary, encoded(t, &message.Auth{MAC: newNonce()}))...)),
		"Hello without nonce": upgraded(clientFrame(ws.OpBinary, encoded(t, &message.Hello{Identity: hello.Identity}))),
	}
	for name, input := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", acceptor.Addr())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, _ = c.Write(input)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
			for err == nil {
				_, err = c.Read(make([]byte, 4096))
			}
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the link stays open")
			line := fmt.Sprintf(`"remote":"%s"`, c.LocalAddr())
			eventually(t, func() bool { return sink.contains(line) })
		})
	}
	ups, msgs, _ := b.counts()
	assert.Equal(t, ups+msgs, 0)
	a := &recorder{}
	newNode(t, "dialler", a, nil).Dial(acceptor.Addr())
	eventually(t, func() bool { ups, _, _ := a.counts(); return ups == 1 })
}

func TestPendingHandshakesAreBounded(t *testing.T) {
	const limit = 4
	acceptor := newNode(t, "acceptor", &recorder{}, func(c *Config) {
		c.MaxPending = limit
		c.HandshakeTimeout = waitTimeout
	})
	assert.NilError(t, acceptor.Listen("127.0.0.1:0"))
	for range 3 * limit {
		c, err := net.Dial("tcp", acceptor.Addr())
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
	}
	eventually(t, func() bool { return len(acceptor.snapshot()) == limit })
}

func TestFrameParserAgreesWithLibrary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOfN(rapid.Byte(), 0, 70_000).Draw(t, "payload")
		dialled := rapid.Bool().Draw(t, "dialled")
		b := appendFrame(nil, ws.OpBinary, payload, dialled)
		h, err := ws.ReadHeader(bytes.NewReader(b))
		assert.NilError(t, err)
		assert.Equal(t, h.Length, int64(len(payload)))
		for _, cut := range []int{0, 1, headerLen(b) - 1, len(b) - 1} {
			_, size, need, err := parseFrame(bytes.Clone(b[:cut]), dialled, 1<<20)
			assert.NilError(t, err)
			assert.Assert(t, size == 0 && need > cut && need <= len(b))
		}
		f, size, _, err := parseFrame(b, dialled, 1<<20)
		assert.NilError(t, err)
		assert.Equal(t, size, len(b))
		assert.Assert(t, bytes.Equal(f.payload, payload))
	})
}

func TestBackoffIsCappedAndJittered(t *testing.T) {
	const minDelay, maxDelay = 50 * time.Millisecond, 2 * time.Second
	for failures := range 100 {
		long := backoff(failures, minDelay, maxDelay, 0)
		short := backoff(failures, minDelay, maxDelay, 1)
		assert.Assert(t, long >= minDelay && long <= maxDelay, "%d: %v", failures, long)
		assert.Assert(t, short >= long/2 && short < long)
	}
}
