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
	// defaultHealthInterval is the default period of the target's health check.
	defaultHealthInterval = 250 * time.Millisecond
	// healthTimeout is the maximum duration of one health check.
	healthTimeout = time.Second
	// healthPath is the path of a target's load report.
	healthPath = "/load"
	// maxReportSize is the maximum size of a load report in bytes.
	maxReportSize = 64 << 10
	// failuresUntilDown is the number of consecutive failed checks after which a target is down.
	failuresUntilDown = 2
)

// loadReport is the part of a target's load report that the agent reads.
type loadReport struct {
	StartID string `json:"start_id"`
	State   string `json:"state"`
}

// stateCold is the reported state of a target that is still warming up.
const stateCold = "cold"

// WatchHealth checks the target's health periodically until ctx ends and reports the
// results to the control goroutine. When the target closes the probe's connection, it may
// have been replaced: new requests are refused until the next check, which follows at
// once, has succeeded.
func (a *Agent) WatchHealth(ctx context.Context) {
	probe := a.opts.Target.NewProbe()
	defer probe.Close()
	failures := 0
	for {
		sentAt := a.now()
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
			a.post(healthChecked{up: ok, startID: hashStartID(report.StartID), cold: report.State == stateCold, sentAt: sentAt})
		}
		if probe.Wait(ctx, a.opts.HealthInterval) {
			a.opts.Target.CloseIdle()
			a.post(probeDisconnected{})
		}
	}
}

// checkHealth requests the target's load report and reports whether the target is up. A
// target without a load report counts as up if it answers with a status below 500.
func checkHealth(ctx context.Context, probe *target.Probe) (loadReport, bool) {
	var report loadReport
	status, body, err := probe.Get(ctx, healthPath, healthTimeout, maxReportSize)
	if err != nil || status >= http.StatusInternalServerError {
		return report, false
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(body, &report)
	}
	return report, true
}

// hashStartID maps a start id to a number; zero means that the target reported none.
func hashStartID(id string) uint64 {
	if id == "" {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}
