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

	"github.com/gentiantrail/gentiantrail/internal/daemon"
)

// kind is the kind of a process. For stand-ins it is also their subcommand.
type kind string

// The kinds of processes.
const (
	kindPlatform kind = "platform"
	kindEngine   kind = "engine"
	kindPlain    kind = "plain"
	kindEntry    kind = "entry"
	kindAgent    kind = "agent"
)

// stopTimeout bounds the wait for a graceful stop.
const stopTimeout = 60 * time.Second

// process is one started program. Its addresses stay the same across restarts.
type process struct {
	kind          kind
	name, zone    string
	target        string // process name of the stand-in behind an agent
	serviceAddr   string // address of an entry for callers, or of a stand-in
	adminAddr     string
	linkAddr      string // link address of an entry
	advertiseAddr string // address of the forwarder to linkAddr
	program       string
	args          []string
	logPath       string

	cmd    *exec.Cmd
	exited chan struct{}
	result error
}

// start starts the program with its output appended to the log file.
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

// waitListening waits until addr accepts connections.
func (p *process) waitListening(addr string) error {
	return waitUntil(func() error {
		select {
		case <-p.exited:
			return fmt.Errorf("%s exited during startup: %v\n%s", p.name, p.result, p.logTail())
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

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

// stop sends SIGTERM and requires that the process exits with code 0.
func (p *process) stop() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	return p.waitStopped()
}

// stopForced sends SIGTERM and requires that the process exits with daemon.ExitForced.
func (p *process) stopForced() error {
	err := p.stop()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == daemon.ExitForced {
		return nil
	}
	return fmt.Errorf("%s did not exit with code %d: %w", p.name, daemon.ExitForced, err)
}

// checkLogged requires that the process's log contains text.
func (p *process) checkLogged(text string) error {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err
	}
	if !strings.Contains(string(content), text) {
		return fmt.Errorf("%s did not log %q", p.name, text)
	}
	return nil
}

// waitStopped waits at most stopTimeout for the exit of the process and requires code 0.
func (p *process) waitStopped() error {
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not exit within the stop timeout", p.name)
	}
	if p.result != nil {
		return fmt.Errorf("%s: %w", p.name, p.result)
	}
	return nil
}

// ensureExited kills the process if it still runs and waits for its exit.
func (p *process) ensureExited() {
	err := p.signal(syscall.SIGKILL)
	if err == nil || errors.Is(err, os.ErrProcessDone) {
		<-p.exited
	}
}

// logTail returns the last lines of the process's log under a title line.
func (p *process) logTail() string {
	const maxLines = 60
	content, _ := os.ReadFile(p.logPath)
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	lines = lines[max(0, len(lines)-maxLines):]
	return fmt.Sprintf("--- %s\n%s", p.name, strings.Join(lines, "\n"))
}
