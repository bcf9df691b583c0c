package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// program is one process of the system under test.
type program struct {
	name, path, settings string
	rec                  *recorder
	logPath              string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// deployment starts and ends the processes of the system under test.
type deployment struct {
	targets, folder string
	rec             *recorder
	programs        []*program
}

// add writes the settings of a program, which start uses.
func (d *deployment) add(name, binary, settings string) (*program, error) {
	p := &program{
		name: name, path: filepath.Join(d.targets, binary), settings: filepath.Join(d.folder, name+".yaml"), rec: d.rec,
		logPath: filepath.Join(d.folder, name+".log"),
	}
	d.programs = append(d.programs, p)
	return p, os.WriteFile(p.settings, []byte(settings), 0o600)
}

func (p *program) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.path, "--settings", p.settings)
	cmd.Env = append(os.Environ(), "GENTIANTRAIL_NODE_FILE="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.cmd = cmd
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.rec.printf("process %s has ended: %v", p.name, err)
	}()
	return nil
}

// signal sends a signal to the process.
func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// killAndRestart kills the process and starts it again after a pause.
func (p *program) killAndRestart(pause time.Duration) {
	p.rec.printf("SIGKILL to %s", p.name)
	p.signal(syscall.SIGKILL)
	time.Sleep(pause)
	p.rec.printf("%s starts again", p.name)
	if err := p.start(); err != nil {
		p.rec.printf("%s: %v", p.name, err)
	}
}

// logs returns the number of log lines that contain a text.
func (p *program) logs(text string) int {
	b, _ := os.ReadFile(p.logPath)
	return bytes.Count(b, []byte(text))
}

func (d *deployment) end() {
	for _, p := range d.programs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
}

var errNoPort = errors.New("no port is free on all addresses")

// freePorts returns n ports that are free for TCP and UDP on all hosts.
func freePorts(hosts []string, n int) ([]int, error) {
	var ports []int
	for try := 0; try < 200 && len(ports) < n; try++ {
		port := 20000 + (os.Getpid()*97+try*131+int(time.Now().UnixNano()/1000)%9973)%10000
		if portIsFree(hosts, port) && !contains(ports, port) {
			ports = append(ports, port)
		}
	}
	if len(ports) < n {
		return nil, errNoPort
	}
	return ports, nil
}

func contains(ports []int, port int) bool {
	for _, p := range ports {
		if p == port {
			return true
		}
	}
	return false
}

func portIsFree(hosts []string, port int) bool {
	for _, h := range hosts {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", h, port))
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", h, port))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}
