//go:build soak

package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/testaddr"
	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

const (
	gateways = 3
	plains   = 3
	streams  = 3
)

// gatewayProcess is one gateway; its addresses stay the same over restarts.
type gatewayProcess struct {
	name, front, ready, settings, logPath string
	cmd                                   *exec.Cmd
	exited                                chan struct{}
	// restarting tells that a fault waits for the end of the process to start it again.
	restarting bool
	// disturbed is until when callers of this gateway may meet a fault of its process.
	disturbed time.Time
}

// world is everything that one seed plays with.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	dir     string
	store   *platformtest.Store
	storeIn *proxy
	targets []*platformtest.Target
	proxies []*proxy
	service []string

	mu       sync.Mutex
	gateways []*gatewayProcess
	version  int64
	// revoked is when the second key was taken away, and evacuated when zone b was; zero
	// while they are not.
	revoked, evacuated time.Time
	// storeBad and netBad hold until when faults excuse slow beliefs.
	storeBad, netBad time.Time
	lifetimes        int
	faults           []string

	judge *judge
}

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := testaddr.Free()
	assert.NilError(t, err)
	return addr
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 0)), dir: t.TempDir()}
	w.judge = newJudge(w)
	var err error
	w.store, err = platformtest.NewStore()
	assert.NilError(t, err)
	w.storeIn, err = newProxy(w.store.Addr())
	assert.NilError(t, err)
	for i := range plains + streams {
		zone := string(rune('a' + i%3))
		target, err := platformtest.NewTarget(fmt.Sprintf("i-%d-0", i), zone, w.judge.ran)
		assert.NilError(t, err)
		p, err := newProxy(target.Addr())
		assert.NilError(t, err)
		w.targets, w.proxies = append(w.targets, target), append(w.proxies, p)
		w.service = append(w.service, map[bool]string{true: "desk", false: "drafts"}[i < plains])
		w.announce(i)
	}
	w.configure()
	for i := range gateways {
		w.gateways = append(w.gateways, w.newGateway(i))
	}
	t.Cleanup(w.close)
	return w
}

// announce writes a target's entry.
func (w *world) announce(i int) {
	w.store.PutTarget(w.targets[i], w.service[i], w.proxies[i].addr())
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + int64(w.version%3)
	keys := []string{"key-1", "key-2"}
	if !w.revoked.IsZero() {
		keys = keys[:1]
	}
	w.store.PutConfig(w.version, keys)
}

func (w *world) newGateway(i int) *gatewayProcess {
	g := &gatewayProcess{
		name: fmt.Sprintf("gw-%d", i), front: freeAddr(w.t), ready: freeAddr(w.t),
		settings: filepath.Join(w.dir, fmt.Sprintf("gw-%d.yaml", i)), logPath: filepath.Join(w.dir, fmt.Sprintf("gw-%d.log", i)),
	}
	text := []string{
		"name: " + g.name, "availability_zone: " + string(rune('a'+i%3)), "listen: " + g.front, "ready_address: " + g.ready,
		"admin_address: " + freeAddr(w.t), "peer_address: " + freeAddr(w.t), "store_address: " + w.storeIn.addr(), "memory: 256",
		"limits:", "  retry_ratio: 0.2", "  retry_slack: 100", "  stop_timeout: 6s",
	}
	assert.NilError(w.t, os.WriteFile(g.settings, []byte(strings.Join(text, "\n")+"\n"), 0o600))
	w.start(g)
	return g
}

// start runs the gateway's program.
func (w *world) start(g *gatewayProcess) {
	log, err := os.OpenFile(g.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(w.t, err)
	defer func() { _ = log.Close() }()
	g.cmd = exec.Command("../../bin/gentiantrail-gateway", "--settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = log, log
	assert.NilError(w.t, g.cmd.Start())
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(g.cmd, g.exited)
}

// signal strikes the process; one that has ended already is not there to be struck.
func (w *world) signal(g *gatewayProcess, s syscall.Signal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
}

// close ends what the seed started, by its ids.
func (w *world) close() {
	for _, g := range w.gateways {
		w.signal(g, syscall.SIGCONT)
		w.signal(g, syscall.SIGKILL)
		<-g.exited
	}
	w.storeIn.close()
	for i := range w.targets {
		w.proxies[i].close()
		w.targets[i].Close()
	}
	w.store.Close()
	if w.t.Failed() {
		w.t.Logf("faults:\n%s", strings.Join(w.faults, "\n"))
		for _, g := range w.gateways {
			kept := filepath.Join(os.TempDir(), "gentiantrail-soak-"+g.name+".log")
			if b, err := os.ReadFile(g.logPath); err == nil && os.WriteFile(kept, b, 0o600) == nil {
				w.t.Logf("log of %s: %s", g.name, kept)
			}
		}
	}
}
