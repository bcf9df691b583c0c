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
	// streamTokens is the length of a long answer in tokens.
	streamTokens = 100
	// tokenTime is the time between two tokens of an answer.
	tokenTime  = 5 * time.Millisecond
	warmUpTime = 2 * time.Second
)

// cost is the cost of an entry and of an agent under load.
type cost struct{ entry, agent sample }

// TestTraffic measures the cost of a request and of a relayed token in an entry and an agent.
func TestTraffic(t *testing.T) {
	if !*slopes {
		c := measureTraffic(t, 20, 2)
		assert.Assert(t, c.entry.memoryMB > 0 && c.agent.memoryMB > 0)
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
	printReport("entry, over requests/s with one token (1 % = 10 ms of CPU a second)", short[0])
	printReport("agent, over requests/s with one token", short[1])
	printReport(fmt.Sprintf("entry, over requests/s with %d tokens", streamTokens), long[0])
	printReport(fmt.Sprintf("agent, over requests/s with %d tokens", streamTokens), long[1])
}

// measureTraffic measures one entry and one agent at a rate of requests per second.
func measureTraffic(t *testing.T, rate, tokens int) cost {
	t.Helper()
	var c cost
	t.Run(fmt.Sprintf("%d-requests-of-%d-tokens", rate, tokens), func(t *testing.T) {
		p := startPlatform(t)
		target := serve(t, engine.New(engine.Config{WarmCapacity: 4096, ColdCapacity: 4096, TokenTime: tokenTime}).Handle)
		listen, addr := freeAddr(t), freeAddr(t)
		entry := startDaemon(t, "gentiantrail-entry", fmt.Sprintf("name: zone-0-entry-00\navailability_zone: %s\n"+
			"listen: %s\nlink_address: %s\nplatform_address: %s\n", localZone, listen, addr, p.addr))
		agent := startDaemon(t, "gentiantrail-agent", fmt.Sprintf("name: %s\navailability_zone: %s\npool: %s\n"+
			"target_address: %s\nplatform_address: %s\nentries: [%s]\n", agentName(0, 0), localZone, poolName(0), target, p.addr, addr))
		waitServing(t, listen)
		done := startLoad(t, listen, rate, tokens)
		time.Sleep(warmUpTime)
		c = cost{entry: sample{size: float64(rate)}, agent: sample{size: float64(rate)}}
		used, start := [2]time.Duration{entry.cpuTime(), agent.cpuTime()}, time.Now()
		_, length := durations()
		time.Sleep(length)
		seconds := time.Since(start).Seconds()
		c.entry.cpuPercent = (entry.cpuTime() - used[0]).Seconds() / seconds * 100
		c.agent.cpuPercent = (agent.cpuTime() - used[1]).Seconds() / seconds * 100
		c.entry.memoryMB, c.agent.memoryMB = entry.memoryMB(), agent.memoryMB()
		assert.NilError(t, <-done)
	})
	return c
}

// newPlan returns a load plan that sends rate requests per second to the entry at listen for
// length. Each answer has the given number of tokens.
func newPlan(listen string, rate float64, tokens int, length time.Duration) *load.Plan {
	return &load.Plan{
		Entries: []string{listen},
		Phases:  []load.Phase{{Name: "all", Duration: length}},
		Jobs: []load.Job{{
			Name: "stream", Keys: []string{apiKey}, Method: "POST", Path: "/" + poolName(0) + "/x",
			Tokens: tokens, Rate: rate, Timeout: 20 * time.Second,
		}},
		MaxInFlight: 1000,
	}
}

// waitServing waits until the entry at listen answers a request completely.
func waitServing(t *testing.T, listen string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r, err := load.Run(newPlan(listen, 10, 1, 100*time.Millisecond))
		if err != nil || r.Rows[0].Verdicts["complete"] == 0 {
			return poll.Continue("no complete answer yet: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}

// startLoad starts to send requests for the warm-up and the measurement. The channel delivers
// an error if not all answers are complete.
func startLoad(t *testing.T, listen string, rate, tokens int) <-chan error {
	t.Helper()
	done := make(chan error, 1)
	if rate == 0 {
		done <- nil
		return done
	}
	_, length := durations()
	go func() {
		r, err := load.Run(newPlan(listen, float64(rate), tokens, warmUpTime+length))
		if err == nil && r.Rows[0].Verdicts["complete"] != r.Rows[0].Sent {
			err = fmt.Errorf("not all answers are complete: %v %v", r.Rows[0].Verdicts, r.Rows[0].Kinds)
		}
		done <- err
	}()
	return done
}
