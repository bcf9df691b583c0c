package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["orphan"] = playOrphan }

const (
	orphanRate    = 20 // requests a second
	orphanBudget  = 8 * time.Second
	orphanBefore  = 6 * time.Second // traffic before the first disruption
	orphanAway    = 9 * time.Second // for which the store turns the machine away at most
	orphanDown    = 900 * time.Millisecond
	orphanRecover = 12 * time.Second // recoveryS
	orphanAfter   = 15 * time.Second // traffic after that
)

// playOrphan plays the case of a hold without an owner: all processes are killed as a mapper of another rank than 0 has just held
// a pass.
func playOrphan(w *world) (bool, error) {
	w.store.put("config", "main", groupConfig(talaanShape))
	g, err := newGroup(w, talaanShape)
	if err != nil {
		return false, err
	}
	gates, processes, err := startOrphan(w, g)
	if err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stabilityWindowMs
	traffic := newTraffic(w, processes[:2], orphanRate, groupRequest)
	time.Sleep(orphanBefore)
	first := time.Now()
	back := first
	if w.trouble() {
		if back, err = disruptOrphan(w, g, gates[0], processes); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(back.Add(orphanRecover + orphanAfter)))
	results := traffic.end()
	g.mu.Lock()
	w.logf("the group has begun its last pass %d ms ago; passes with two maps: %d", time.Since(g.lastPass).Milliseconds(), g.mixed)
	for _, r := range g.all {
		if r.held != nil {
			w.logf("rank %d holds pass %d", r.index, *r.held)
		}
	}
	g.mu.Unlock()
	return judgeRecover(w, results, first, back.Add(orphanRecover)), nil
}

// groupConfig is the config of a service of model servers in one group.
func groupConfig(sh shape) map[string]any {
	engine := map[string]any{
		"concurrencySlots": groupSlots, "kvCacheTokens": 494000, "kvBytes": 35136, "linkMbps": linkMbps, "stride": eventStride,
		"sets": sh.sets, "experts": sh.experts, "placements": sh.places, "spare": sh.spare, "expertMb": expertMb,
	}
	return map[string]any{
		"version": 3, "tenants": []any{},
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"services": []any{map[string]any{
			"name": "drafting-models", "healthCheckPath": "/health", "connectionLimit": 328, "coldStartS": 3.0, "coldPerS": 38.0, "engine": engine,
		}},
		"routes": []any{map[string]any{
			"name": "summary", "host": host, "pathPrefix": "/summary/", "kind": "streaming", "timeoutMs": orphanBudget.Milliseconds(),
			"targetLatencyMs": 400, "targetGapMs": 120, "priority": 1, "service": "drafting-models", "maxAttempts": 2,
			"allowAnonymous": true, "sessionAffinity": true, "resumeStreams": true,
		}},
	}
}

func groupRequest() request {
	return request{id: newID(), method: "POST", path: "/summary/1", body: "draft", budget: orphanBudget, headers: []string{
		"Model: m", "Token-Usage: 60,80", "Prompt-Prefix: " + newID() + ":40," + newID() + ":20",
	}}
}

// startOrphan starts two gateways and a mapper beside each rank.
func startOrphan(w *world, g *group) (gates []*gate, processes []*process, err error) {
	for i := range 2 {
		p, err := w.startProcess("gateway", fmt.Sprintf("edge-pasig-%d", i+1), w.host(), "pasig", nil)
		if err != nil {
			return nil, nil, err
		}
		processes = append(processes, p)
	}
	for i, r := range g.all {
		gt, err := w.store.newGate(w.address(w.host(), "store"))
		if err != nil {
			return nil, nil, err
		}
		gates = append(gates, gt)
		ip := r.addr[:len(r.addr)-len(fmt.Sprintf(":%d", w.ports["app"]))]
		p, err := w.startProcess("mapper", fmt.Sprintf("side-pasig-%d", i+1), ip, "pasig", map[string]string{
			"app": r.addr, "service": "drafting-models", "platform.address": gt.addr, "limits.memoryMb": "152",
		})
		if err != nil {
			return nil, nil, err
		}
		processes = append(processes, p)
	}
	for _, p := range processes[:2] {
		if !p.awaitReady(10 * time.Second) {
			return nil, nil, errors.New("a gateway is not ready")
		}
	}
	return gates, processes, nil
}

// disruptOrphan plays the disruptions and returns when the machines were back.
func disruptOrphan(w *world, g *group, away *gate, processes []*process) (back time.Time, err error) {
	if w.mode != "fault" {
		w.logf("the store turns the machine of rank 0 away")
		away.busy.Store(true)
		defer away.busy.Store(false)
		if err := processes[2].killAndRestart(); err != nil {
			return back, err
		}
	}
	held := make(chan int, 64)
	g.mu.Lock()
	g.onHold = func(rank int) { held <- rank }
	g.mu.Unlock()
	for limit := time.After(orphanAway); ; {
		select {
		case rank := <-held:
			if rank == 0 && w.mode != "fault" {
				continue
			}
			w.logf("final fault: all processes are killed, right after rank %d has acknowledged a hold", rank)
		case <-limit:
			return back, errors.New("no rank but 0 has held a pass")
		}
		break
	}
	var kills sync.WaitGroup
	for _, p := range processes {
		kills.Go(p.kill)
	}
	kills.Wait()
	time.Sleep(orphanDown)
	away.busy.Store(false)
	for _, p := range processes {
		err = errors.Join(err, p.run())
	}
	w.logf("all processes are started again, and the store serves all machines")
	return time.Now(), err
}
