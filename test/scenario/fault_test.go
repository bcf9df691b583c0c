//go:build scenario

package scenario

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// each runs f for every named process at the same time.
func (c *cluster) each(names []string, f func(*process) error) (string, error) {
	if len(names) == 0 {
		return "", errors.New("name a process")
	}
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		p, err := c.process(name)
		if err != nil {
			return "", err
		}
		wg.Go(func() { errs[i] = f(p) })
	}
	wg.Wait()
	return "", errors.Join(errs...)
}

// cmdCrash ends processes with SIGKILL: crash NAME…
func (c *cluster) cmdCrash(args []string) (string, error) { return c.each(args, (*process).kill) }

// cmdTerminate stops processes with SIGTERM and requires exit code 0: terminate
// [-bg] NAME…; with -bg, terminated waits for them.
func (c *cluster) cmdTerminate(args []string) (string, error) {
	if len(args) > 0 && args[0] == "-bg" {
		return c.each(args[1:], func(p *process) error { return p.signal(syscall.SIGTERM) })
	}
	return c.each(args, (*process).stop)
}

// cmdTerminated waits for processes that terminate -bg has stopped: terminated NAME…
func (c *cluster) cmdTerminated(args []string) (string, error) {
	return c.each(args, (*process).stopped)
}

// cmdRestart starts ended processes again, with the same settings: restart NAME…
func (c *cluster) cmdRestart(args []string) (string, error) {
	return c.each(args, func(p *process) error {
		if err := p.start(); err != nil {
			return err
		}
		if p.serves == "" {
			return nil
		}
		return p.listening(p.serves)
	})
}

// cmdFreeze pauses processes with SIGSTOP: freeze NAME…
func (c *cluster) cmdFreeze(args []string) (string, error) {
	return c.each(args, func(p *process) error { return p.signal(syscall.SIGSTOP) })
}

// cmdThaw lets paused processes go on: thaw NAME…
func (c *cluster) cmdThaw(args []string) (string, error) {
	return c.each(args, func(p *process) error { return p.signal(syscall.SIGCONT) })
}

// cmdCut cuts two processes or availability zones, or one and the platform, off
// from each other: cut A B
func (c *cluster) cmdCut(args []string) (string, error) { return "", c.pair(args, c.network.Cut) }

// cmdHeal ends a cut: heal A B
func (c *cluster) cmdHeal(args []string) (string, error) { return "", c.pair(args, c.network.Heal) }

func (c *cluster) pair(args []string, f func(a, b string)) error {
	if len(args) != 2 {
		return errors.New("name two processes or availability zones")
	}
	f(args[0], args[1])
	return nil
}

// cmdPlatform sets the platform's faults:
//
//	platform down|up
//	platform slow DURATION
//	platform lose-answers SHARE
//	platform lose-next N
//	platform lag DURATION
//	platform instance NAME ROLE ZONE live|leaving
func (c *cluster) cmdPlatform(args []string) (string, error) {
	if len(args) == 5 && args[0] == "instance" {
		i := platform.Instance{Name: args[1], Role: args[2], AvailabilityZone: args[3], State: platform.InstanceState(args[4])}
		return "", send("PUT", c.platform, "/admin/instances/"+i.Name, i)
	}
	var faults string
	switch {
	case len(args) == 1 && args[0] == "down":
		faults = `{"down":true}`
	case len(args) == 1 && args[0] == "up":
		faults = `{"down":false,"latency_ms":0,"lose_answers":0}`
	case len(args) == 2 && (args[0] == "slow" || args[0] == "lag"):
		d, err := time.ParseDuration(args[1])
		if err != nil {
			return "", err
		}
		field := map[string]string{"slow": "latency_ms", "lag": "instance_lag_ms"}[args[0]]
		faults = fmt.Sprintf(`{%q:%d}`, field, d.Milliseconds())
	case len(args) == 2 && args[0] == "lose-answers":
		faults = fmt.Sprintf(`{"lose_answers":%s}`, args[1])
	case len(args) == 2 && args[0] == "lose-next":
		faults = fmt.Sprintf(`{"lose_next":%s}`, args[1])
	default:
		return "", errors.New("unknown platform fault")
	}
	return "", send("POST", c.platform, "/admin/faults", json.RawMessage(faults))
}

// cmdFault sets the faults of a stand-in target: fault NAME JSON
func (c *cluster) cmdFault(args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("usage: fault NAME JSON")
	}
	p, err := c.process(args[0])
	if err != nil {
		return "", err
	}
	return "", send("POST", p.serves, "/admin/faults", json.RawMessage(args[1]))
}

// send sends v as JSON and requires status 200.
func send(method, addr, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + path)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, patience); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, path, resp.StatusCode())
	}
	return nil
}

// cmdCtl runs gentiantrailctl in the script's folder and compares its exit code:
// ctl [-exit CODE] ARG…
func (c *cluster) cmdCtl(args []string) (string, error) {
	set, rest, err := flags(args)
	if err != nil {
		return "", err
	}
	cmd := exec.Command(filepath.Join(binDir, "gentiantrailctl"), rest...)
	cmd.Dir = c.dir
	cmd.Env = append(os.Environ(), "GENTIANTRAIL_PLATFORM="+c.platform)
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", err
	}
	code := strconv.Itoa(cmd.ProcessState.ExitCode())
	if want := cmp.Or(set["exit"], "0"); code != want {
		return "", fmt.Errorf("exit code %s, want %s: %s", code, want, out)
	}
	return string(out), nil
}

// cmdPause lets time pass; it is for faults that last, not for waiting: pause DURATION
func (c *cluster) cmdPause(args []string) (string, error) {
	if len(args) != 1 {
		return "", errors.New("usage: pause DURATION")
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return "", err
}
