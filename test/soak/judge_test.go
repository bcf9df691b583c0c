//go:build soak

package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/gentiantrail/gentiantrail/platform/platformtest"
)

// beliefTime is how long after an acknowledged change old beliefs may last.
const beliefTime = 2 * time.Second

// judge holds what callers and targets saw, and what broke a promise.
type judge struct {
	w *world

	mu   sync.Mutex
	runs map[string]int
	// promised holds the attempts whose callers were told that they did not run.
	promised map[string]bool
	sent     map[string]bool
	broken   []string
	answers  map[int]int
}

func newJudge(w *world) *judge {
	return &judge{w: w, runs: map[string]int{}, promised: map[string]bool{}, sent: map[string]bool{}, answers: map[int]int{}}
}

func (j *judge) fail(format string, args ...any) {
	j.broken = append(j.broken, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// ran takes in a run at a target.
func (j *judge) ran(r platformtest.Run) {
	j.w.mu.Lock()
	now := time.Now()
	calm := now.After(j.w.storeBad) && now.After(j.w.netBad)
	for _, g := range j.w.gateways {
		calm = calm && now.After(g.disturbed)
	}
	evacuated := !j.w.evacuated.IsZero() && now.Sub(j.w.evacuated) > beliefTime
	revoked := !j.w.revoked.IsZero() && now.Sub(j.w.revoked) > beliefTime
	j.w.mu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.Attempt]++
	once := strings.HasPrefix(r.Path, "/once/")
	switch {
	case !j.sent[r.Attempt]:
		j.fail("UNASKED: %s ran at %s", r.Attempt, r.Target)
	case once && j.runs[r.Attempt] > 1:
		j.fail("TWICE: %s ran again at %s", r.Attempt, r.Target)
	case once && j.promised[r.Attempt]:
		j.fail("REFUSED: %s ran at %s after its refusal", r.Attempt, r.Target)
	case r.Organisation != "org" || r.SawKey:
		j.fail("TENANT: %s reached %s as %q, with its key: %t", r.Attempt, r.Target, r.Organisation, r.SawKey)
	case calm && evacuated && r.Zone == "b":
		j.fail("EVACUATED: %s ran at %s of zone b", r.Attempt, r.Target)
	case calm && revoked && strings.HasPrefix(r.Attempt, "key-2"):
		j.fail("REVOKED: %s ran at %s", r.Attempt, r.Target)
	}
}

// asked notes an attempt before it is sent.
func (j *judge) asked(attempt string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sent[attempt] = true
}

// answered takes in an answer; whole tells that it ended properly.
func (j *judge) answered(attempt, path string, status int, signature, body string, whole bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.answers[status]++
	stream := strings.HasPrefix(path, "/stream/")
	switch {
	case status == 200 && stream:
		j.judgeStream(attempt, signature, body, whole)
	case status == 200 && whole && (body != platformtest.Body(attempt, path) || signature != platformtest.Sign(attempt, body)):
		j.fail("MIXED: %s got %d bytes with signature %q", attempt, len(body), signature)
	case status == 429 || status == 503 || status == 408 || status == 421:
		j.promised[attempt] = true
		if strings.HasPrefix(path, "/once/") && j.runs[attempt] > 0 {
			j.fail("REFUSED: %s was told %d and had run", attempt, status)
		}
	case status == 404 || status == 400 || status == 403:
		j.fail("DENIED: %s got %d", attempt, status)
	}
}

// judgeStream requires events 1, 2, 3 and so on, all of them if the stream looks whole.
func (j *judge) judgeStream(attempt, signature, body string, whole bool) {
	var want strings.Builder
	for id := 1; id <= platformtest.StreamEvents; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s\n\n", id, attempt)
	}
	switch {
	case signature != platformtest.Sign(attempt, ""):
		j.fail("MIXED: stream %s has signature %q", attempt, signature)
	case whole && body != want.String():
		j.fail("ORDER: stream %s ended as whole with %q", attempt, body)
	case !whole && !strings.HasPrefix(want.String(), body):
		j.fail("ORDER: stream %s broke off with %q", attempt, body)
	}
}
