//go:build scenario

package scenario

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/gentiantrail/gentiantrail/internal/standin/callers"
	"github.com/gentiantrail/gentiantrail/internal/standin/forwarder"
)

const (
	// patience bounds every wait for a state; it is far above what a wait needs.
	patience = 45 * time.Second
	// pollInterval is the pause between two looks at a state.
	pollInterval = 20 * time.Millisecond
	linkKey      = "0123456789abcdef0123456789abcdef"
)

// cluster is what one script has started.
type cluster struct {
	// frozen names the coordinator that was paused last.
	frozen string

	dir      string
	network  *forwarder.Network
	platform string   // address of the platform's stand-in
	order    []string // names in the order of their start
	procs    map[string]*process
	links    map[string]string // forwarded platform address by availability zone
	caller   *callers.Caller
	balancer *callers.Balancer
	ledger   *callers.Ledger
	pending  map[string]chan callers.Result
	loads    map[string]*load
	marks    map[string]time.Time // times named by expect quiet and load mark

	closing chan struct{} // closed at the script's end
	wg      sync.WaitGroup
}

type clusterKey struct{}

func setup(env *testscript.Env) error {
	c := &cluster{
		dir:      env.WorkDir,
		network:  forwarder.New(),
		procs:    make(map[string]*process),
		links:    make(map[string]string),
		caller:   callers.NewCaller(false, 0),
		balancer: callers.NewBalancer(),
		ledger:   &callers.Ledger{},
		pending:  make(map[string]chan callers.Result),
		loads:    make(map[string]*load),
		marks:    make(map[string]time.Time),
		closing:  make(chan struct{}),
	}
	env.Values[clusterKey{}] = c
	env.Defer(func() { c.close(env) })
	config, err := os.ReadFile(filepath.Join("testdata", "config", "10-base.yaml"))
	if err != nil {
		return err
	}
	folder := filepath.Join(env.WorkDir, "config")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "10-base.yaml"), config, 0o644)
}

// command adapts a cluster method to testscript. A command returns what it has
// to say or why it failed; the script's negation expects a failure.
func command(f func(*cluster, []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		c := ts.Value(clusterKey{}).(*cluster)
		said, err := f(c, args)
		if said != "" {
			ts.Logf("%s", said)
		}
		switch {
		case err != nil && !neg:
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("unexpected success")
		}
	}
}

// close ends everything that the script left running. The logs of all processes
// are shown when the script failed.
func (c *cluster) close(env *testscript.Env) {
	close(c.closing)
	for _, l := range c.loads {
		l.stop()
	}
	for _, p := range c.procs {
		p.end()
	}
	c.network.Close()
	c.wg.Wait()
	if t, ok := env.T().(interface{ Failed() bool }); ok && t.Failed() {
		for _, name := range c.order {
			env.T().Log(c.procs[name].tail())
		}
	}
}

func (c *cluster) process(name string) (*process, error) {
	if p := c.procs[name]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no process is named %q", name)
}

// ofKind returns the processes of a kind, and of an availability zone unless it
// is empty, in the order of their start.
func (c *cluster) ofKind(k kind, zone string) []*process {
	var list []*process
	for _, name := range c.order {
		if p := c.procs[name]; p.kind == k && (zone == "" || p.zone == zone) {
			list = append(list, p)
		}
	}
	return list
}

// until polls cond until it returns nil or the patience is over.
func until(cond func() error) error {
	deadline := time.Now().Add(patience)
	for {
		err := cond()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// flags takes "-name value" pairs and bare "-name" switches off the front of args.
func flags(args []string, switches ...string) (set map[string]string, rest []string, err error) {
	set = make(map[string]string)
	for len(args) > 0 && len(args[0]) > 1 && args[0][0] == '-' {
		name := args[0][1:]
		if slices.Contains(switches, name) {
			set[name], args = "true", args[1:]
			continue
		}
		if len(args) < 2 {
			return nil, nil, errors.New("-" + name + " needs a value")
		}
		set[name], args = args[1], args[2:]
	}
	return set, args, nil
}
