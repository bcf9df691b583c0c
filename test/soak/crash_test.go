//go:build soak

package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

const (
	// crashDowntime is how long a target that has crashed is away.
	crashDowntime = time.Second
	// crashingInterval is the interval of the requests with a crashing part.
	crashingInterval = 120 * time.Millisecond
	// maxPartCrashes is the number of targets that may end on one part, and maxPlainCrashes that on
	// one plain request: three, and three more.
	maxPartCrashes  = 5
	maxPlainCrashes = 3 + 3
)

// crashingRequest is a kind of request on which targets crash: all of them have a part of their
// prompts in common, or are the same plain request.
type crashingRequest struct {
	name, path string
	parts      []string
	maxCrashes int
}

func (r crashingRequest) String() string { return r.path + " " + r.name }

// newCrashingRequest returns a crashing request of one of three kinds.
func (tb *testbed) newCrashingRequest(kind int) crashingRequest {
	tb.mu.Lock()
	tb.crashingRequests++
	name := fmt.Sprint(platformtest.CrashingName, tb.crashingRequests)
	tb.mu.Unlock()
	switch kind {
	case 0:
		return crashingRequest{name: name, path: "/stream/x", parts: []string{"route", name}, maxCrashes: maxPartCrashes}
	case 1:
		return crashingRequest{name: name, path: "/safe/" + name, maxCrashes: maxPlainCrashes}
	default:
		return crashingRequest{name: name, path: "/once/" + name, maxCrashes: maxPlainCrashes}
	}
}

// crashTarget ends a target that has run a crashing request. It starts again under a new id after
// crashDowntime.
func (tb *testbed) crashTarget(i int, name string) {
	tb.mu.Lock()
	tb.crashes[name]++
	tb.replacements++
	newID, oldID := fmt.Sprintf("i-%d-%d", i, tb.replacements), tb.targets[i].ID()
	tb.replacedIDs = append(tb.replacedIDs, oldID)
	tb.mu.Unlock()
	tb.disturb(targetName(oldID), crashDowntime+timeoutSlack)
	tb.proxies[i].refuse()
	time.AfterFunc(crashDowntime, func() {
		tb.targets[i].Restart(newID)
		if err := tb.proxies[i].listen(); err != nil {
			return // the target has crashed again in the meantime, or the test has ended
		}
		tb.announce(i)
		tb.store.RemoveTarget(oldID)
	})
}

// sendCrashingRequests sends crashing requests to random gateways for a time.
func (tb *testbed) sendCrashingRequests(r crashingRequest, duration time.Duration, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	var sent sync.WaitGroup
	for n, start := 0, time.Now(); time.Since(start) < duration; n++ {
		g := tb.gateways[rng.IntN(len(tb.gateways))]
		sent.Add(1)
		go func() {
			defer sent.Done()
			conn, err := net.DialTimeout("tcp4", g.listenAddr, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			tb.sendRequest(conn, bufio.NewReader(conn), fmt.Sprintf("key-1-%s-%d-%d", r.name, seed, n), r.path, "key-1", r.parts...)
		}()
		time.Sleep(crashingInterval)
	}
	sent.Wait()
}

// crashAfterFaults sends crashing requests of each kind once all faults have settled, and checks how
// many targets end. Half of the time all gateways are killed and started again in between.
func (tb *testbed) crashAfterFaults() {
	for kind, restart := range []bool{false, tb.rng.IntN(2) == 0, tb.rng.IntN(2) == 0} {
		r := tb.newCrashingRequest(kind)
		tb.faults = append(tb.faults, fmt.Sprintf("%s crashing requests %s, restart of all gateways: %t", time.Now().Format("05.000"), r, restart))
		tb.sendCrashingRequests(r, 4*time.Second, tb.rng.Uint64())
		if restart {
			tb.restartAll()
			tb.sendCrashingRequests(r, 3*time.Second, tb.rng.Uint64())
		}
		tb.checkCrashes(r)
	}
}

// restartAll kills all gateways at once and starts them again.
func (tb *testbed) restartAll() {
	for _, g := range tb.gateways {
		tb.markFaulty(g, settleTime)
		tb.signal(g, syscall.SIGKILL)
	}
	for _, g := range tb.gateways {
		<-g.exited
		tb.mu.Lock()
		tb.start(g)
		tb.mu.Unlock()
	}
	tb.awaitReady()
}

// checkCrashes checks how many targets have ended on a crashing request.
func (tb *testbed) checkCrashes(r crashingRequest) {
	tb.mu.Lock()
	crashes := tb.crashes[r.name]
	tb.mu.Unlock()
	tb.checker.mu.Lock()
	defer tb.checker.mu.Unlock()
	if crashes > r.maxCrashes {
		tb.checker.addViolation("CRASH: %d targets ended on %s, %d are allowed", crashes, r, r.maxCrashes)
	}
}
