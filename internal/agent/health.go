package agent

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

const (
	// healthInterval is the period of the target's health check.
	healthInterval = 250 * time.Millisecond
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

// WatchHealth checks the target until ctx ends and reports to the control goroutine.
func (a *Agent) WatchHealth(ctx context.Context) {
	failures := 0
	for {
		began := a.now()
		report, ok := a.checkHealth(ctx)
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
		select {
		case <-time.After(healthInterval):
		case <-ctx.Done():
			return
		}
	}
}

// checkHealth asks the target for its load. A target without a load report counts
// as up while it answers at all.
func (a *Agent) checkHealth(ctx context.Context) (loadReport, bool) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var report loadReport
	req := &message.Request{Method: http.MethodGet, Path: healthPath, Idempotent: true}
	resp, err := a.opts.Target.Do(ctx, req)
	if err != nil {
		return report, false
	}
	defer resp.Close()
	body, readErr := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if readErr != nil || resp.Status >= http.StatusInternalServerError {
		return report, false
	}
	if resp.Status == http.StatusOK {
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
