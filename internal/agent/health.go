package agent

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/target"
)

const (
	// defaultHealthInterval is the period of the target's health check.
	defaultHealthInterval = 250 * time.Millisecond
	// healthTimeout bounds one health check.
	healthTimeout = time.Second
	// healthPath is where a target reports its load.
	healthPath = "/load"
	// maxReport bounds a load report in bytes.
	maxReport = 64 << 10
	// failuresUntilDown is the number of failed checks in a row that take a target out.
	failuresUntilDown = 2
)

// loadReport is the part of a target's load report that the agent reads.
type loadReport struct {
	StartID string `json:"start_id"`
	State   string `json:"state"`
}

// stateCold is the state of an engine that still warms up.
const stateCold = "cold"

// WatchHealth checks the target until ctx ends and reports to the control
// goroutine. When the target closes the probe's connection, it may have been
// replaced: nothing new goes to it before the check that follows at once.
func (a *Agent) WatchHealth(ctx context.Context) {
	probe := a.opts.Target.NewProbe()
	defer probe.Close()
	failures := 0
	for {
		began := a.now()
		report, ok := checkHealth(ctx, probe)
		if ctx.Err() != nil {
			return
		}
		if ok {
			failures = 0
		} else {
			failures++
		}
		if ok || failures >= failuresUntilDown {
			a.post(healthChecked{up: ok, startID: hashID(report.StartID), cold: report.State == stateCold, began: began})
		}
		if probe.Wait(ctx, a.opts.HealthInterval) {
			a.opts.Target.CloseIdle()
			a.post(targetLost{})
		}
	}
}

// checkHealth asks the target for its load. A target without a load report counts
// as up while it answers at all.
func checkHealth(ctx context.Context, probe *target.Probe) (loadReport, bool) {
	var report loadReport
	status, body, err := probe.Get(ctx, healthPath, healthTimeout, maxReport)
	if err != nil || status >= http.StatusInternalServerError {
		return report, false
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(body, &report)
	}
	return report, true
}

// hashID maps a start id to a number; zero means that the target names none.
func hashID(id string) uint64 {
	if id == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
