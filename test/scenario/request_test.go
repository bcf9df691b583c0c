//go:build scenario

package scenario

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/standin/callers"
)

// recheckPath is the path of an idempotent route of the plain service whose runs are
// recorded.
const recheckPath = "/permits/rechecks"

// cmdRequest sends one request and compares its result with the wanted verdicts, or
// starts it in the background:
//
//	request [-eventually] [-bg ID] [-entry NAME] [-mark M] [-key K] [-get]
//	        [-tokens N] [-timeout D] [-org KEY] PATH WANT
//
// WANT is a list such as complete|unknown; an item may also be an error kind. Results
// are added to the history that expect judged checks, except with -eventually, which
// repeats an idempotent request until it has a wanted verdict.
func (c *cluster) cmdRequest(args []string) (string, error) {
	set, rest, err := parseFlags(args, "eventually", "get")
	if err != nil {
		return "", err
	}
	if len(rest) != 2 && (len(rest) != 1 || set["bg"] == "") {
		return "", errors.New("usage: request [flags] PATH WANT")
	}
	r, err := c.newRequest(set, rest[0])
	if err != nil {
		return "", err
	}
	addr, err := c.entryAddr(set["entry"])
	if err != nil {
		return "", err
	}
	switch {
	case set["eventually"] != "":
		return "", waitUntil(func() error { return checkVerdict(c.caller.Do(context.Background(), addr, r), rest[1]) })
	case set["bg"] != "":
		done := make(chan callers.Result, 1)
		c.pending[set["bg"]] = done
		c.wg.Go(func() { done <- c.caller.Do(context.Background(), addr, r) })
		return "", nil
	}
	res := c.caller.Do(context.Background(), addr, r)
	c.results.Add(res)
	return describeResult(res), checkVerdict(res, rest[1])
}

// cmdJoin waits for the result of a background request and compares it: join ID WANT
func (c *cluster) cmdJoin(args []string) (string, error) {
	if len(args) != 2 || c.pending[args[0]] == nil {
		return "", errors.New("usage: join ID WANT")
	}
	res := <-c.pending[args[0]]
	delete(c.pending, args[0])
	c.results.Add(res)
	return describeResult(res), checkVerdict(res, args[1])
}

func (c *cluster) newRequest(set map[string]string, path string) (callers.Request, error) {
	r := callers.Request{Method: "POST", Path: path, APIKey: "alpha-key", IdempotencyKey: set["key"], Mark: set["mark"]}
	if set["get"] != "" {
		r.Method = "GET"
	}
	if set["org"] != "" {
		r.APIKey = set["org"]
	}
	if r.Mark == "" {
		r.Mark = fmt.Sprintf("m%d", time.Now().UnixNano())
	}
	if strings.HasPrefix(path, "/drafting/") {
		r.Tokens, r.Stream = 8, true
	}
	r.Repeatable = r.Tokens > 0 || r.Method == "GET" || path == recheckPath
	var err error
	if set["tokens"] != "" {
		r.Tokens, err = strconv.Atoi(set["tokens"])
	}
	if set["timeout"] != "" && err == nil {
		r.Timeout, err = time.ParseDuration(set["timeout"])
	}
	return r, err
}

// entryAddr returns the address of the named entry, or of the first entry if name is empty.
func (c *cluster) entryAddr(name string) (string, error) {
	if name == "" {
		entries := c.ofKind(kindEntry, "")
		if len(entries) == 0 {
			return "", errors.New("no entry was started")
		}
		return entries[0].serviceAddr, nil
	}
	p, err := c.process(name)
	if err != nil {
		return "", err
	}
	return p.serviceAddr, nil
}

func checkVerdict(res callers.Result, want string) error {
	if wanted := strings.Split(want, "|"); slices.Contains(wanted, string(res.Verdict)) || slices.Contains(wanted, res.Kind) {
		return nil
	}
	return fmt.Errorf("want %s, got %s", want, describeResult(res))
}

func describeResult(res callers.Result) string {
	return fmt.Sprintf("%s: %s status=%d kind=%s outcome=%s request=%s took=%s %s", res.Request.Mark, res.Verdict,
		res.Status, res.Kind, res.Outcome, res.RequestID, res.Duration.Round(time.Millisecond), res.Detail)
}

// load is a running background load.
type load struct {
	generator *callers.Generator
	results   *callers.ResultLog
	cancel    context.CancelFunc
	done      chan struct{}
}

func (l *load) stop() {
	l.cancel()
	<-l.done
}

// cmdLoad starts and stops a bounded background load:
//
//	load start NAME [-workers N] [-every D] [-tokens N] [-timeout D]
//	           [-repeats N] [-copies N] [-keyed] [-get] PATH
//	load stop NAME…
//	load mark NAME
//
// load mark records the current time as NAME for expect share.
func (c *cluster) cmdLoad(args []string) (string, error) {
	switch {
	case len(args) >= 3 && args[0] == "start":
		return "", c.startLoad(args[1], args[2:])
	case len(args) >= 2 && args[0] == "stop":
		return c.stopLoads(args[1:])
	case len(args) == 2 && args[0] == "mark":
		c.marks[args[1]] = time.Now()
		return "", nil
	default:
		return "", errors.New("usage: load start|stop|mark NAME …")
	}
}

func (c *cluster) startLoad(name string, args []string) error {
	set, rest, err := parseFlags(args, "keyed", "get")
	if err != nil {
		return err
	}
	if len(rest) != 1 || c.loads[name] != nil {
		return errors.New("usage: load start NAME [flags] PATH")
	}
	r, err := c.newRequest(set, rest[0])
	if err != nil {
		return err
	}
	g := &callers.Generator{
		Name: name, Template: r, UseIdempotencyKeys: set["keyed"] != "", Workers: 4, Interval: 20 * time.Millisecond,
		Balancer: c.balancer, Caller: c.caller, Results: &callers.ResultLog{},
	}
	if set["workers"] != "" {
		if g.Workers, err = strconv.Atoi(set["workers"]); err != nil {
			return err
		}
	}
	if set["repeats"] != "" {
		if g.Repeats, err = strconv.Atoi(set["repeats"]); err != nil {
			return err
		}
	}
	if set["copies"] != "" {
		if g.Copies, err = strconv.Atoi(set["copies"]); err != nil {
			return err
		}
	}
	if set["every"] != "" {
		if g.Interval, err = time.ParseDuration(set["every"]); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{generator: g, results: g.Results, cancel: cancel, done: make(chan struct{})}
	c.loads[name] = l
	go func() {
		defer close(l.done)
		g.Run(ctx)
	}()
	return nil
}

func (c *cluster) stopLoads(names []string) (string, error) {
	var summaries []string
	for _, name := range names {
		l := c.loads[name]
		if l == nil {
			return "", fmt.Errorf("unknown load %q", name)
		}
		l.stop()
		summaries = append(summaries, name+": "+callers.Summarize(l.results.Results(time.Time{}, time.Time{})).String())
	}
	return strings.Join(summaries, "\n"), nil
}
