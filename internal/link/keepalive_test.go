package link

import (
	"io"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestUnreadBytesAreNotSilence guards against a process that takes its own standstill for the silence of its peers, and
// closes their links with all answers: its event loop has not read yet what has arrived.
func TestUnreadBytesAreNotSilence(t *testing.T) {
	const idle = 400 * time.Millisecond
	entered, release, arrived := make(chan struct{}), make(chan struct{}), make(chan struct{})
	b := &recorder{onMsg: func(_ Peer, m message.Message) {
		switch m.(type) {
		case *message.Credit:
			close(entered)
			<-release
		case *message.Cancel:
			close(arrived)
		}
	}}
	acceptor := newNode(t, "acceptor", b, func(c *Config) { c.IdleTimeout = idle })
	assert.NilError(t, acceptor.Listen("127.0.0.1:0"))
	a := &recorder{}
	dialler := newNode(t, "dialler", a, nil) // waits longer for its peer
	dialler.Dial(acceptor.Addr())
	eventually(t, func() bool { ups, _, _ := a.counts(); return ups == 1 })
	assert.NilError(t, a.peers[0].Send(&message.Credit{ID: 1, Bytes: 1}))
	<-entered
	assert.NilError(t, a.peers[0].Send(&message.Cancel{ID: 1}))
	time.Sleep(2 * idle)
	close(release)
	select {
	case <-arrived:
	case <-time.After(waitTimeout):
		t.Error("a message that had arrived was not handled")
	}
	_, _, downs := b.counts()
	assert.Equal(t, downs, 0, "the link was closed")
}

// slowProxy forwards all bytes, those of the dialler with the given rate in bytes per second.
func slowProxy(t *testing.T, to string, rate int) (addr string) {
	t.Helper()
	const chunk = 4 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
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
			go func() {
				defer func() { _ = in.Close() }()
				_, _ = io.Copy(in, out)
			}()
			go func() {
				defer func() { _ = out.Close() }()
				for {
					time.Sleep(time.Second * chunk / time.Duration(rate))
					if _, err := io.CopyN(out, in, chunk); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestLinkThatIsSlowInOneDirectionStaysOpen guards against a link that is closed with all its answers while its peer
// reads them: a ping waits behind them, and a peer that hears something had no reason to send.
func TestLinkThatIsSlowInOneDirectionStaysOpen(t *testing.T) {
	const frames, size = 32, 64 << 10
	shortIdle := func(c *Config) { c.IdleTimeout = 800 * time.Millisecond }
	a, b := new(recorder), new(recorder)
	acceptor := newNode(t, "acceptor", b, shortIdle)
	assert.NilError(t, acceptor.Listen("127.0.0.1:0"))
	dialler := newNode(t, "dialler", a, shortIdle)
	dialler.Dial(slowProxy(t, acceptor.Addr(), frames*size/3)) // all frames take 3 s
	eventually(t, func() bool { ups, _, _ := a.counts(); return ups == 1 })
	for range frames {
		assert.NilError(t, a.peers[0].Send(&message.ResponseData{ID: 1, Data: make([]byte, size)}))
	}
	eventually(t, func() bool {
		_, received, downs := b.counts()
		return received == frames || downs > 0
	})
	for name, r := range map[string]*recorder{"dialler": a, "acceptor": b} {
		_, _, downs := r.counts()
		assert.Check(t, downs == 0, "%s: %v", name, r.downs)
	}
}

// TestPausedProcessKeepsItsLinks guards against a process that takes the time for which it was stopped for the silence
// of its peers.
func TestPausedProcessKeepsItsLinks(t *testing.T) {
	r := new(recorder)
	n := newNode(t, "peer", r, nil) // waits longer for the process
	assert.NilError(t, n.Listen("127.0.0.1:0"))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), pausedAddress+"="+n.Addr())
	in, err := cmd.StdinPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _, _ = in.Close(), cmd.Wait() })
	eventually(t, func() bool { ups, _, _ := r.counts(); return ups == 1 })
	for range 3 {
		assert.NilError(t, cmd.Process.Signal(syscall.SIGSTOP))
		time.Sleep(time.Second)
		assert.NilError(t, cmd.Process.Signal(syscall.SIGCONT))
		time.Sleep(500 * time.Millisecond) // longer than a silent link is kept
	}
	_, _, downs := r.counts()
	assert.Equal(t, downs, 0, "the link was closed")
}
