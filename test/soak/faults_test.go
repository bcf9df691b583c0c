//go:build soak

package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

// settleTime is how long after a fault callers and beliefs may still feel it.
const settleTime = 3 * time.Second

// strike draws a fault, starts it, and returns what ends it, or nil. Faults overlap.
func (w *world) strike() (name string, lasts time.Duration, end func()) {
	lasts = time.Duration(200+w.rng.IntN(1200)) * time.Millisecond
	i, g := w.rng.IntN(len(w.targets)), w.gateways[w.rng.IntN(len(w.gateways))]
	switch w.rng.IntN(12) {
	case 0:
		return w.restart(g, syscall.SIGTERM, 0)
	case 1:
		return w.restart(g, syscall.SIGKILL, lasts)
	case 2:
		w.disturb(g, lasts)
		w.signal(g, syscall.SIGSTOP)
		return "SIGSTOP " + g.name, lasts, func() { w.signal(g, syscall.SIGCONT) }
	case 3:
		w.signal(g, syscall.SIGHUP)
		return "SIGHUP " + g.name, 0, nil
	case 4:
		m := mode(1 + w.rng.IntN(int(modes)-1))
		w.excuse(&w.netBad, lasts)
		w.proxies[i].set(m)
		return fmt.Sprintf("proxy of %d mode %d", i, m), lasts, func() { w.proxies[i].set(pass) }
	case 5:
		w.excuse(&w.netBad, 0)
		w.proxies[i].reset()
		return fmt.Sprintf("reset %d", i), 0, nil
	case 6:
		w.targets[i].SetFaults(w.rng.IntN(40), w.rng.IntN(40), w.rng.IntN(30))
		return fmt.Sprintf("target %d fails", i), lasts, func() { w.targets[i].SetFaults(0, 0, 0) }
	case 7:
		f := platformtest.Fault(1 + w.rng.IntN(3))
		w.excuse(&w.storeBad, lasts)
		w.store.SetFault(f)
		return fmt.Sprintf("store fault %d", f), lasts, func() { w.store.SetFault(platformtest.None) }
	case 8:
		w.excuse(&w.storeBad, 0)
		w.store.Forget()
		w.storeIn.reset()
		return "store forgets", 0, nil
	case 9:
		return w.replaceTarget(i)
	case 10:
		return w.evacuate()
	default:
		w.configure()
		return "configuration", 0, nil
	}
}

func (w *world) excuse(until *time.Time, lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := time.Now().Add(lasts + settleTime); t.After(*until) {
		*until = t
	}
}

func (w *world) disturb(g *gatewayProcess, lasts time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g.disturbed = time.Now().Add(lasts + settleTime)
}

// restart ends a gateway by a signal and starts it again. A second signal may strike it
// meanwhile, but only one of them starts it.
func (w *world) restart(g *gatewayProcess, s syscall.Signal, down time.Duration) (string, time.Duration, func()) {
	w.disturb(g, 10*time.Second)
	w.signal(g, s)
	name := s.String() + " " + g.name
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.restarting {
		return name, 0, nil
	}
	g.restarting = true
	exited := g.exited
	return name, down, func() {
		<-exited
		w.mu.Lock()
		w.start(g)
		g.restarting = false
		w.mu.Unlock()
		w.disturb(g, 0)
	}
}

// replaceTarget begins a new lifetime at a target's address; its old entry goes late.
func (w *world) replaceTarget(i int) (string, time.Duration, func()) {
	w.mu.Lock()
	w.lifetimes++
	id := fmt.Sprintf("i-%d-%d", i, w.lifetimes)
	w.mu.Unlock()
	old := w.targets[i].ID()
	w.targets[i].Restart(id)
	w.announce(i)
	return "replace " + old, 300 * time.Millisecond, func() { w.store.RemoveTarget(old) }
}

// evacuate takes zone b out for a while; the key is revoked with it.
func (w *world) evacuate() (string, time.Duration, func()) {
	w.mu.Lock()
	busy := !w.evacuated.IsZero()
	if !busy {
		w.evacuated = time.Now()
		w.revoked = time.Now()
	}
	w.mu.Unlock()
	if busy {
		return "nothing", 0, nil
	}
	w.store.Evacuate("b", true)
	w.configure()
	return "evacuate b and revoke key-2", 5 * time.Second, func() {
		w.mu.Lock()
		w.evacuated = time.Time{}
		w.revoked = time.Time{}
		w.mu.Unlock()
		w.store.Evacuate("b", false)
		w.configure()
	}
}
