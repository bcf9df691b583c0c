//go:build soak

package soak

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Guards against requests that are lost around planned stops: it requires that no violation occurs while
// gateways are stopped and nothing else is disturbed.
func TestStops(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed <= *lastSeed; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			tb := newTestbed(t, seed)
			tb.awaitReady()
			stopLoad := tb.startLoad()
			tb.stopInTurn(*stopDuration)
			stopLoad()
			tb.checkViolations()
		})
	}
}

// stopInTurn stops the gateways in turn for a time, again and again, and starts each again when it has
// exited. Stops overlap with each other, with reloads of settings and with new versions of the
// configuration. It returns when all gateways are ready.
func (tb *testbed) stopInTurn(duration time.Duration) {
	start := time.Now()
	var stops sync.WaitGroup
	for n := 0; time.Since(start) < duration; n++ {
		g := tb.gateways[n%len(tb.gateways)]
		tb.mu.Lock()
		restarting := g.restarting
		tb.mu.Unlock()
		if !restarting && tb.awaitProgram(g) {
			stops.Add(1)
			go func() {
				defer stops.Done()
				tb.stopAndStart(g)
			}()
		}
		tb.changeDuringStop()
	}
	stops.Wait()
	tb.awaitReady()
}

// stopAndStart stops a gateway and starts it again when it has exited.
func (tb *testbed) stopAndStart(g *gatewayProcess) {
	tb.logFault("planned stop of " + g.name)
	name, _, start := tb.restart(g, syscall.SIGTERM, 0)
	if start != nil {
		start()
	}
	tb.logFault("end of " + name)
}

// changeDuringStop waits for up to 2 s and writes a new version of the configuration or reloads the
// settings of a gateway, which may be stopping too, in between.
func (tb *testbed) changeDuringStop() {
	time.Sleep(time.Duration(tb.rng.IntN(1000)) * time.Millisecond)
	g := tb.gateways[tb.rng.IntN(len(tb.gateways))]
	switch tb.rng.IntN(3) {
	case 0:
		tb.configure()
		tb.logFault("new configuration version")
	case 1:
		if tb.awaitProgram(g) {
			tb.signal(g, syscall.SIGHUP)
			tb.logFault("SIGHUP " + g.name)
		}
	}
	time.Sleep(time.Duration(tb.rng.IntN(1000)) * time.Millisecond)
}

// logFault adds a line to the report of a failed seed.
func (tb *testbed) logFault(line string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.faults = append(tb.faults, time.Now().Format("05.000 ")+line)
}
