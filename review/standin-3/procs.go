package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case: the processes of the project that it starts, and its record.
type world struct {
	dir     string // temporary
	trouble bool
	store   *store
	begun   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{dir: dir, trouble: trouble, store: newStore(), begun: time.Now(), record: record}, nil
}

// note writes a line with the time since the start into the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.begun).Seconds()}, args...)...)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.procs {
		p.end()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// process is one program of the project. It is started again when it ends by itself, as the platform does.
type process struct {
	name, file string
	args       []string
	log        string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// ends is the number of times that it ended by itself.
	ends int
	done chan struct{}
}

const restartDelay = 500 * time.Millisecond

// start runs "target/PROGRAM --settings FILE", the command of the deploy file, in the repository's root.
func (w *world) start(program, name, settings string) (*process, error) {
	path := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, file: path, args: []string{"target/" + program, "--settings", path}, log: filepath.Join(w.dir, name+".log"), done: make(chan struct{})}
	if err := p.launch(); err != nil {
		return nil, err
	}
	w.procs = append(w.procs, p)
	go p.watch(w)
	return p, nil
}

func (p *process) launch() error {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	return cmd.Start()
}

func (p *process) watch(w *world) {
	defer close(p.done)
	for {
		err := p.cmd.Wait()
		p.mu.Lock()
		stopped := p.stopped
		if !stopped {
			p.ends++
		}
		p.mu.Unlock()
		if stopped {
			return
		}
		w.note("process %s ended by itself: %v", p.name, err)
		time.Sleep(restartDelay)
		if p.isStopped() || p.launch() != nil {
			return
		}
	}
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(s)
}

// stop sends SIGTERM and then, after the time, SIGKILL, as the platform does, and waits for the end.
func (p *process) stop(after time.Duration) (killed bool) {
	p.mu.Lock()
	p.stopped = true
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	p.mu.Unlock()
	select {
	case <-p.done:
		return false
	case <-time.After(after):
		p.end()
		return true
	}
}

func (p *process) isStopped() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopped
}

func (p *process) ownEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends
}

func (p *process) end() {
	p.mu.Lock()
	p.stopped = true
	_ = p.cmd.Process.Kill()
	p.mu.Unlock()
	<-p.done
}

// freePorts returns free TCP ports of a loopback address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		ln, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		ports = append(ports, ln.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// gateway is a running gateway.
type gateway struct {
	*process
	zone, storeAddr           string
	front, ready, admin, peer string
}

// settings returns the settings file with the figures of kenanga-abnormal-load's sheet, but for the time from SIGTERM to
// SIGKILL (gracePeriodS).
func (g *gateway) settings(name string, gracePeriod time.Duration) string {
	return fmt.Sprintf(`name: %q
availability_zone: %q
listen: %q
ready_address: %q
admin_address: %q
peer_address: %q
store_address: %q
store_history: 20s
memory: 284
limits:
  retry_ratio: 0.2
  retry_slack: 90
  retry_window: 10s
  cold_factor: 1.5
  cold_slack: 5
  drain_timeout: 2000ms
  stop_timeout: %ds
`, name, g.zone, g.front, g.ready, g.admin, g.peer, g.storeAddr, int(gracePeriod.Seconds()))
}

// gracePeriod is gracePeriodS of the sheet.
const gracePeriod = 8 * time.Second

// startGateway starts a gateway.
func (w *world) startGateway(name, zone, storeAddr string, gracePeriod time.Duration) (*gateway, error) {
	ports, err := freePorts("127.0.0.1", 4)
	if err != nil {
		return nil, err
	}
	addr := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	g := &gateway{zone: zone, storeAddr: storeAddr, front: addr(0), ready: addr(1), admin: addr(2), peer: addr(3)}
	g.process, err = w.start("gentiantrail-gateway", name, g.settings(name, gracePeriod))
	return g, err
}

// reload replaces the settings file and sends SIGHUP.
func (g *gateway) reload(gracePeriod time.Duration) error {
	text := g.settings(g.name, gracePeriod)
	if err := os.WriteFile(g.file+".new", []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.Rename(g.file+".new", g.file); err != nil {
		return err
	}
	return g.signal(syscall.SIGHUP)
}

// awaitReady waits until a gateway answers readiness checks with 200.
func (g *gateway) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, timeout)
}
