package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/gentiantrail/gentiantrail/internal/standin/engine"
	"github.com/gentiantrail/gentiantrail/internal/standin/load"
)

const (
	// streamTokens is the length of a long answer.
	streamTokens = 100
	// tokenTime is the time between two tokens of an answer.
	tokenTime = 5 * time.Millisecond
	warmUp    = 2 * time.Second
)

// cost is the processor time of an entry and of an agent under load.
type cost struct{ entry, agent sample }

// TestTraffic measures the cost of a request and of a relayed token.
func TestTraffic(t *testing.T) {
	if !*slopes {
		c := measureTraffic(t, 20, 2)
		assert.Assert(t, c.entry.memory > 0 && c.agent.memory > 0)
		return
	}
	var short, long [2][]sample
	for _, rate := range []int{0, 50, 100, 200} {
		c := measureTraffic(t, rate, 1)
		short[0], short[1] = append(short[0], c.entry), append(short[1], c.agent)
	}
	for _, rate := range []int{0, 10, 20, 40} {
		c := measureTraffic(t, rate, streamTokens)
		long[0], long[1] = append(long[0], c.entry), append(long[1], c.agent)
	}
	report("entry, over requests/s with one token (1 % = 10 ms of CPU a second)", short[0])
	report("agent, over requests/s with one token", short[1])
	report(fmt.Sprintf("entry, over requests/s with %d tokens", streamTokens), long[0])
	report(fmt.Sprintf("agent, over requests/s with %d tokens", streamTokens), long[1])
}

// measureTraffic runs one entry and one agent under a rate of requests.
func measureTraffic(t *testing.T, rate, tokens int) cost {
	t.Helper()
	var c cost
	t.Run(fmt.Sprintf("%d-requests-of-%d-tokens", rate, tokens), func(t *testing.T) {
		p := startPlatform(t)
		target := serve(t, engine.New(engine.Config{Warm: 4096, Cold: 4096, TokenTime: tokenTime}).Handle)
		listen, addr := freeAddr(t), freeAddr(t)
		entry := startDaemon(t, "gentiantrail-entry", fmt.Sprintf("name: zone-0-entry-00\navailability_zone: %s\n"+
			"listen: %s\nlink_address: %s\nplatform_address: %s\n", ownZone, listen, addr, p.addr))
		agent := startDaemon(t, "gentiantrail-agent", fmt.Sprintf("name: %s\navailability_zone: %s\npool: %s\n"+
			"target_address: %s\nplatform_address: %s\nentries: [%s]\n", agentName(0, 0), ownZone, poolName(0), target, p.addr, addr))
		serving(t, listen)
		done := startLoad(t, listen, rate, tokens)
		time.Sleep(warmUp)
		c = cost{entry: sample{size: float64(rate)}, agent: sample{size: float64(rate)}}
		used, start := [2]time.Duration{entry.cpu(), agent.cpu()}, time.Now()
		_, length := spans()
		time.Sleep(length)
		seconds := time.Since(start).Seconds()
		c.entry.cpu = (entry.cpu() - used[0]).Seconds() / seconds * 100
		c.agent.cpu = (agent.cpu() - used[1]).Seconds() / seconds * 100
		c.entry.memory, c.agent.memory = entry.memory(), agent.memory()
		assert.NilError(t, <-done)
	})
	return c
}

// plan sends requests of a number of tokens to an entry.
func plan(listen string, rate float64, tokens int, length time.Duration) *load.Plan {
	return &load.Plan{
		Entries: []string{listen},
		Phases:  []load.Phase{{Name: "all", Duration: length}},
		Jobs: []load.Job{{
			Name: "stream", Keys: []string{apiKey}, Method: "POST", Path: "/" + poolName(0) + "/x",
			Tokens: tokens, Rate: rate, Timeout: 20 * time.Second,
		}},
		MaxOpen: 1000,
	}
}

// serving waits until a request reaches the target.
func serving(t *testing.T, listen string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r, err := load.Run(plan(listen, 10, 1, 100*time.Millisecond))
		if err != nil || r.Rows[0].Verdicts["complete"] == 0 {
			return poll.Continue("no answer yet: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience))
}

// startLoad sends requests until the measurement is over; the result reports whether
// all were answered.
func startLoad(t *testing.T, listen string, rate, tokens int) <-chan error {
	t.Helper()
	done := make(chan error, 1)
	if rate == 0 {
		done <- nil
		return done
	}
	_, length := spans()
	go func() {
		r, err := load.Run(plan(listen, float64(rate), tokens, warmUp+length))
		if err == nil && r.Rows[0].Verdicts["complete"] != r.Rows[0].Sent {
			err = fmt.Errorf("not all answers are complete: %v %v", r.Rows[0].Verdicts, r.Rows[0].Kinds)
		}
		done <- err
	}()
	return done
}
