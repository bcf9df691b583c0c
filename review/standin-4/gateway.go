package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a program of the project that a script has started.
type process struct {
	name, listen, ready, peer string

	cmd *exec.Cmd
	log *os.File
}

// freePorts returns n addresses on loopback that are free for TCP and UDP.
func freePorts(n int) ([]string, error) {
	var held []net.Listener
	var addresses []string
	defer func() {
		for _, ln := range held {
			_ = ln.Close()
		}
	}()
	for len(addresses) < n {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, ln)
		udp, err := net.ListenPacket("udp4", ln.Addr().String())
		if err != nil {
			continue
		}
		_ = udp.Close()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

// startGateway starts a gateway with the command of the deploy file. Its settings are those of the deploy file's
// template, filled in as for a small deployment.
func startGateway(root, dir, name, zone, storeAddress string) (*process, error) {
	a, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(dir, name+".yaml")
	text := fmt.Sprintf(`name: %q
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
  retry_slack: 94
  retry_window: 10s
  cold_factor: 1.5
  cold_slack: 5
  drain_timeout: 2000ms
  stop_timeout: 8s
`, name, zone, a[0], a[1], a[2], a[3], storeAddress)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, listen: a[0], ready: a[1], peer: a[3], log: log}
	p.cmd = exec.Command(filepath.Join(root, "target", "gentiantrail-gateway"), "--settings", settings)
	p.cmd.Dir = root
	p.cmd.Stderr, p.cmd.Stdout = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p, p.cmd.Start()
}

// awaitReady waits until the process says that it is ready.
func (p *process) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := client.Get("http://" + p.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", p.name, limit)
}

// kill ends the process.
func (p *process) kill() {
	if p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
	_ = p.log.Close()
}
