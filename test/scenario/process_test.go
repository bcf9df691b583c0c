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
