package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment on loopback addresses: the store, the machines of the system and
// whatever servers and clients a case adds.
type world struct {
	dir    string
	mode   string
	start  time.Time
	net    string // the first three parts of the addresses
	hosts  int
	ports  map[string]int
	store  *store
	fields map[string]string

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// newWorld prepares a deployment. A mode of 0 leaves out the disruptions.
func newWorld(recordPath, mode string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "gentiantrail-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, mode: mode, start: time.Now(), record: record, ports: map[string]int{}, fields: map[string]string{},
		net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)),
	}
	for _, name := range []string{"front", "ready", "admin", "peer", "app", "store"} {
		if w.ports[name], err = freePort(); err != nil {
			return nil, err
		}
	}
	if w.store, err = newStore(w.address(w.host(), "store")); err != nil {
		return nil, err
	}
	for k, v := range map[string]string{
		"platform.address": w.store.addr, "platform.historyS": "20", "limits.memoryMb": "284",
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "94", "bounds.budgetWindowS": "10",
		"bounds.coldOvershoot": "1.5", "bounds.coldSlack": "5", "bounds.drainMs": "2000", "bounds.gracePeriodS": "8",
		"internalPortRange.0": strconv.Itoa(w.ports["admin"]), "internalPortRange.1": strconv.Itoa(w.ports["peer"]),
	} {
		w.fields[k] = v
	}
	w.logf("TROUBLE=%s", mode)
	return w, nil
}

func (w *world) trouble() bool { return w.mode != "0" }

func freePort() (int, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// inSpell reports whether a disruption is on that comes for a time, again and again, with a second
// between two.
func (w *world) inSpell(length time.Duration) bool {
	return time.Since(w.start)%(length+time.Second) < length
}

// host returns the IP address of another machine.
func (w *world) host() string {
	w.hosts++
	return fmt.Sprintf("%s.%d", w.net, w.hosts)
}

func (w *world) address(host, port string) string {
	return net.JoinHostPort(host, strconv.Itoa(w.ports[port]))
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.procs {
		p.kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		w.logf("logs of the processes: %s", filepath.Base(w.dir))
	}
	_ = w.record.Close()
}

// process is one program of the system on one machine.
type process struct {
	w              *world
	role           string
	name, ip, zone string
	settings       string
	cmd            *exec.Cmd
	done           chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// startProcess starts a role of the deploy file on a machine, with the settings that its template
// gives.
func (w *world) startProcess(role, name, ip, zone string, fields map[string]string) (*process, error) {
	template, err := os.ReadFile(filepath.Join("platform", role+".yaml.tmpl"))
	if err != nil {
		return nil, err
	}
	all := map[string]string{
		"nodeName": name, "zone": zone, "ipAddress": ip,
		"listenAddresses.front": w.address(ip, "front"), "listenAddresses.ready": w.address(ip, "ready"),
	}
	for k, v := range w.fields {
		all[k] = v
	}
	for k, v := range fields {
		all[k] = v
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(m string) string { return all[strings.Trim(m, "{}")] })
	p := &process{w: w, role: role, name: name, ip: ip, zone: zone, settings: filepath.Join(w.dir, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.procs = append(w.procs, p)
	return p, p.run()
}

// run starts the program.
func (p *process) run() error {
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join("target", "gentiantrail-"+p.role), "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	go func() {
		err := cmd.Wait()
		p.w.logf("process %s (%d) has ended: %v", p.name, cmd.Process.Pid, err)
		close(done)
	}()
	p.w.logf("process %s started, pid %d", p.name, cmd.Process.Pid)
	return nil
}

// kill ends the program with SIGKILL.
func (p *process) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// restartDelay is the time after which the platform starts a program again that has ended; the
// bench has the same.
const restartDelay = 500 * time.Millisecond

// killAndRestart is what a kill of the process on its machine looks like.
func (p *process) killAndRestart() error {
	p.w.logf("SIGKILL to %s", p.name)
	p.kill()
	time.Sleep(restartDelay)
	return p.run()
}

// ready asks the process whether it takes requests.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.w.address(p.ip, "ready") + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (p *process) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.ready() {
			return true
		}
	}
	return false
}

// front is the address to which clients connect.
func (p *process) front() string { return p.w.address(p.ip, "front") }
