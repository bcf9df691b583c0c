//go:build scenario

package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/standin/callers"
	"github.com/gentiantrail/gentiantrail/internal/standin/engine"
	"github.com/gentiantrail/gentiantrail/internal/standin/plain"
)

// cmdExpect checks a state:
//
//	expect judged                          all answers in the history agree with the recorded runs
//	expect progress LOAD N                 N more complete answers arrive
//	expect quiet ZONE|AGENT DURATION       no request reaches its targets during DURATION
//	expect busy ZONE|AGENT                 at least one request reaches its targets
//	expect share LOAD FROM TO VERDICT OP P compares the share of a verdict between two marks
//	expect none LOAD VERDICT…              no request of the load has one of the verdicts
//	expect runs MARK N                     the plain services ran the request exactly N times
//	expect standing                        no engine has crashed from overload
//	expect logged NAME TEXT                the process's log contains the text
func (c *cluster) cmdExpect(args []string) (string, error) {
	switch {
	case len(args) == 1 && args[0] == "judged":
		return c.expectJudged()
	case len(args) == 3 && args[0] == "progress":
		return "", c.expectProgress(args[1], args[2])
	case len(args) == 3 && args[0] == "quiet":
		return "", c.expectQuiet(args[1], args[2])
	case len(args) == 2 && args[0] == "busy":
		return "", c.expectBusy(args[1])
	case len(args) == 7 && args[0] == "share":
		return c.expectShare(args[1:])
	case len(args) >= 3 && args[0] == "none":
		return "", c.expectNone(args[1], args[2:])
	case len(args) == 3 && args[0] == "runs":
		return "", c.expectRuns(args[1], args[2])
	case len(args) == 3 && args[0] == "logged":
		return "", c.expectLogged(args[1], args[2])
	case len(args) == 1 && args[0] == "standing":
		return "", c.expectStanding()
	default:
		return "", errors.New("usage: expect judged|progress|quiet|busy|share|none|runs|standing|logged …")
	}
}

func (c *cluster) expectLogged(name, text string) error {
	p, err := c.process(name)
	if err != nil {
		return err
	}
	return p.checkLogged(text)
}

// expectJudged compares every answer with the runs recorded by all plain services.
func (c *cluster) expectJudged() (string, error) {
	results := c.results.Results(time.Time{}, time.Time{})
	for _, l := range c.loads {
		results = append(results, l.results.Results(time.Time{}, time.Time{})...)
	}
	runs, err := c.runsByMark()
	if err != nil {
		return "", err
	}
	var problems []error
	for _, v := range callers.FindViolations(results, runs) {
		problems = append(problems, errors.New(v.String()))
	}
	return fmt.Sprintf("judged: %s runs=%d", callers.Summarize(results), len(runs)), errors.Join(problems...)
}

// runsByMark returns the number of runs of each mark, summed over all plain services.
func (c *cluster) runsByMark() (map[string]int, error) {
	runs := make(map[string]int)
	for _, p := range c.ofKind(kindPlain, "") {
		var list []plain.Run
		if err := fetchJSON(p.serviceAddr, "/runs", &list); err != nil {
			return nil, err
		}
		for _, r := range list {
			runs[r.Mark]++
		}
	}
	return runs, nil
}

func (c *cluster) expectRuns(mark, want string) error {
	n, err := strconv.Atoi(want)
	if err != nil {
		return err
	}
	return waitUntil(func() error {
		runs, err := c.runsByMark()
		if err == nil && runs[mark] != n {
			return fmt.Errorf("%s ran %d times, want %d", mark, runs[mark], n)
		}
		return err
	})
}

func (c *cluster) expectProgress(name, count string) error {
	n, err := strconv.Atoi(count)
	if err != nil || c.loads[name] == nil {
		return fmt.Errorf("usage: expect progress LOAD N")
	}
	since := time.Now()
	return waitUntil(func() error {
		summary := callers.Summarize(c.loads[name].results.Results(since, time.Time{}))
		if summary.Count[callers.Complete] < n {
			return fmt.Errorf("%s: not enough complete answers: %s", name, summary)
		}
		return nil
	})
}

// arrivals returns the number of requests that have reached the targets of an
// availability zone or of one agent.
func (c *cluster) arrivals(name string) (int, error) {
	total, found := 0, false
	for _, a := range c.ofKind(kindAgent, "") {
		if a.zone != name && a.name != name {
			continue
		}
		found = true
		n, err := arrivalsAt(c.processes[a.target])
		if err != nil {
			return 0, err
		}
		total += n
	}
	if !found {
		return 0, fmt.Errorf("%s has no targets; expected an availability zone with agents, or an agent", name)
	}
	return total, nil
}

func arrivalsAt(target *process) (int, error) {
	if target.kind == kindPlain {
		var list []plain.Run
		err := fetchJSON(target.serviceAddr, "/runs", &list)
		return len(list), err
	}
	var s engine.Stats
	err := fetchJSON(target.serviceAddr, "/stats", &s)
	return s.Arrived, err
}

func (c *cluster) expectQuiet(name, duration string) error {
	d, err := time.ParseDuration(duration)
	if err != nil {
		return err
	}
	before, err := c.arrivals(name)
	if err != nil {
		return err
	}
	time.Sleep(d)
	after, err := c.arrivals(name)
	if err == nil && after != before {
		err = fmt.Errorf("%d requests reached %s, want none", after-before, name)
	}
	return err
}

func (c *cluster) expectBusy(name string) error {
	before, err := c.arrivals(name)
	if err != nil {
		return err
	}
	return waitUntil(func() error {
		after, err := c.arrivals(name)
		if err == nil && after == before {
			return fmt.Errorf("no request reached %s", name)
		}
		return err
	})
}

// expectShare compares the share of a verdict, in percent of the requests sent between
// two marks, with a bound.
func (c *cluster) expectShare(args []string) (string, error) {
	l, from, to := c.loads[args[0]], c.marks[args[1]], c.marks[args[2]]
	bound, err := strconv.ParseFloat(strings.TrimSuffix(args[5], "%"), 64)
	if l == nil || from.IsZero() || to.IsZero() || err != nil {
		return "", errors.New("usage: expect share LOAD FROM TO VERDICT >=|<= PERCENT")
	}
	summary := callers.Summarize(l.results.Results(from, to))
	share := 100 * summary.Share(callers.Verdict(args[3]))
	if summary.Sent == 0 || (args[4] == ">=" && share < bound) || (args[4] == "<=" && share > bound) {
		return "", fmt.Errorf("%s between %s and %s: %.2f%% %s: %s", args[0], args[1], args[2], share, args[3], summary)
	}
	return fmt.Sprintf("%s between %s and %s: %s", args[0], args[1], args[2], summary), nil
}

func (c *cluster) expectNone(name string, verdicts []string) error {
	l := c.loads[name]
	if l == nil {
		return fmt.Errorf("unknown load %q", name)
	}
	var found []error
	for _, r := range l.results.Results(time.Time{}, time.Time{}) {
		for _, v := range verdicts {
			if string(r.Verdict) == v {
				found = append(found, errors.New(describeResult(r)))
			}
		}
	}
	return errors.Join(found...)
}

func (c *cluster) expectStanding() error {
	for _, p := range c.ofKind(kindEngine, "") {
		var s engine.Stats
		if err := fetchJSON(p.serviceAddr, "/stats", &s); err != nil {
			return err
		}
		if s.Crashes > 0 {
			return fmt.Errorf("engine %s crashed from overload: %+v", p.name, s)
		}
	}
	return nil
}

func fetchJSON(addr, path string, v any) error {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+addr+path, waitTimeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("GET %s: status %d, want 200", path, status)
	}
	return json.Unmarshal(body, v)
}
