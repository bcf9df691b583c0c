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
	// waitTimeout bounds each wait for a state. It is far longer than any wait needs.
	waitTimeout = 45 * time.Second
	// pollInterval is the time between two checks of a state.
	pollInterval = 20 * time.Millisecond
	linkKey      = "0123456789abcdef0123456789abcdef"
)

// cluster is the set of processes, links, requests and loads that one script has started.
type cluster struct {
	// frozenCoordinator is the name of the coordinator that was paused last.
	frozenCoordinator string

	dir                string
	network            *forwarder.Network
	platformAddr       string   // address of the platform stand-in
	startOrder         []string // process names in start order
	processes          map[string]*process
	platformAddrByZone map[string]string // forwarder to the platform, by availability zone
	caller             *callers.Caller
	balancer           *callers.Balancer
	results            *callers.ResultLog
	pending            map[string]chan callers.Result
	loads              map[string]*load
	marks              map[string]time.Time // times named by load mark

	closing chan struct{} // closed when the script ends
	wg      sync.WaitGroup
}

type clusterKey struct{}

func setup(env *testscript.Env) error {
	c := &cluster{
		dir:                env.WorkDir,
		network:            forwarder.New(),
		processes:          make(map[string]*process),
		platformAddrByZone: make(map[string]string),
		caller:             callers.NewCaller(false, 0),
		balancer:           callers.NewBalancer(),
		results:            &callers.ResultLog{},
		pending:            make(map[string]chan callers.Result),
		loads:              make(map[string]*load),
		marks:              make(map[string]time.Time),
		closing:            make(chan struct{}),
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

// command adapts a cluster method to a testscript command. The method returns text for
// the script's log and an error; a negated command expects the error.
func command(f func(*cluster, []string) (string, error)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		c := ts.Value(clusterKey{}).(*cluster)
		output, err := f(c, args)
		if output != "" {
			ts.Logf("%s", output)
		}
		switch {
		case err != nil && !neg:
			ts.Fatalf("%v", err)
		case err == nil && neg:
			ts.Fatalf("unexpected success")
		}
	}
}

// close stops everything that the script left running. If the script failed, the ends
// of all process logs are logged.
func (c *cluster) close(env *testscript.Env) {
	close(c.closing)
	for _, l := range c.loads {
		l.stop()
	}
	for _, p := range c.processes {
		p.ensureExited()
	}
	c.network.Close()
	c.wg.Wait()
	if t, ok := env.T().(interface{ Failed() bool }); ok && t.Failed() {
		for _, name := range c.startOrder {
			env.T().Log(c.processes[name].logTail())
		}
	}
}

func (c *cluster) process(name string) (*process, error) {
	if p := c.processes[name]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("unknown process %q", name)
}

// ofKind returns the processes of a kind in start order, limited to an availability
// zone unless zone is empty.
func (c *cluster) ofKind(k kind, zone string) []*process {
	var list []*process
	for _, name := range c.startOrder {
		if p := c.processes[name]; p.kind == k && (zone == "" || p.zone == zone) {
			list = append(list, p)
		}
	}
	return list
}

// waitUntil polls cond until it returns nil or waitTimeout has passed. It returns the last
// error of cond.
func waitUntil(cond func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := cond()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// parseFlags parses leading "-name value" pairs and bare "-name" switches of args. It
// returns the flags and the remaining arguments.
func parseFlags(args []string, switches ...string) (set map[string]string, rest []string, err error) {
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
