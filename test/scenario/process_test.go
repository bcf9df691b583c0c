//go:build scenario

package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// kind is what a process is.
type kind string

// The kinds of processes.
const (
	kindPlatform kind = "platform"
	kindEngine   kind = "engine"
	kindPlain    kind = "plain"
	kindEntry    kind = "entry"
	kindAgent    kind = "agent"
)

// stopPatience bounds a graceful stop.
const stopPatience = 60 * time.Second

// process is one started program; its addresses stay the same over restarts.
type process struct {
	kind       kind
	name, zone string
	target     string // the stand-in behind an agent
	serves     string // address for callers, or of a stand-in
	admin      string
	link       string // link address of an entry
	advertise  string // the same behind the forwarder
	program    string
	args       []string
	logPath    string

	cmd    *exec.Cmd
	exited chan struct{}
	result error
}

// start runs the program; its output is appended to its log.
func (p *process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(binDir, p.program), p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		p.result = cmd.Wait()
		close(exited)
	}(p.exited)
	return nil
}

// listening waits until addr accepts connections.
func (p *process) listening(addr string) error {
	return until(func() error {
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended at its start: %v\n%s", p.name, p.result, p.tail())
		default:
		}
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err
	})
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// stop asks for a graceful stop and requires that the process ends with code 0.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.stopped()
}

// stopped waits for the end of a graceful stop.
func (p *process) stopped() error {
	select {
	case <-p.exited:
	case <-time.After(stopPatience):
		return fmt.Errorf("%s does not stop", p.name)
	}
	if p.result != nil {
		return fmt.Errorf("%s: %w", p.name, p.result)
	}
	return nil
}

// end makes sure that the process is gone.
func (p *process) end() {
	err := p.signal(syscall.SIGKILL)
	if err == nil || errors.Is(err, os.ErrProcessDone) {
		<-p.exited
	}
}

// tail returns the last lines of the process's log.
func (p *process) tail() string {
	const most = 60
	content, _ := os.ReadFile(p.logPath)
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	lines = lines[max(0, len(lines)-most):]
	return fmt.Sprintf("--- %s\n%s", p.name, strings.Join(lines, "\n"))
}

// Ports are taken below the range from which outgoing connections get theirs.
const (
	firstPort = 15_000
	portCount = 15_000
)

var portsTaken atomic.Uint32

// host is a loopback address of this test process alone, so that no other
// process takes the ports that it chose.
var host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, 1+os.Getpid()/250%250)

// freeAddr returns an address that nothing listens on. It is handed out once.
func freeAddr() (string, error) {
	ln, err := freeListener()
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// freeListener listens on an address of its own. A listener that was closed must
// not be opened again here: a process that is being started may hold a copy of it
// until its program runs.
func freeListener() (net.Listener, error) {
	for range portCount {
		addr := fmt.Sprintf("%s:%d", host, firstPort+portsTaken.Add(1)%portCount)
		if ln, err := net.Listen("tcp", addr); err == nil {
			return ln, nil
		}
	}
	return nil, errors.New("no free port")
}
