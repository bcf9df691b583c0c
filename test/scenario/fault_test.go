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

// forEach runs f concurrently for all named processes and joins their errors.
func (c *cluster) forEach(names []string, f func(*process) error) (string, error) {
	if len(names) == 0 {
		return "", errors.New("expected at least one process name")
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

// cmdCrash kills processes with SIGKILL: crash NAME…
func (c *cluster) cmdCrash(args []string) (string, error) { return c.forEach(args, (*process).kill) }

// cmdTerminate stops processes with SIGTERM and requires exit code 0: terminate
// [-bg|-forced] NAME…. With -bg it does not wait for them; the command terminated does. With
// -forced it requires the exit code of a stop whose timeout ended.
func (c *cluster) cmdTerminate(args []string) (string, error) {
	if len(args) > 0 && args[0] == "-forced" {
		return c.forEach(args[1:], (*process).stopForced)
	}
	if len(args) > 0 && args[0] == "-bg" {
		return c.forEach(args[1:], func(p *process) error { return p.signal(syscall.SIGTERM) })
	}
	return c.forEach(args, (*process).stop)
}

// cmdTerminated waits for the exit of processes stopped by terminate -bg, and requires
// exit code 0: terminated NAME…
func (c *cluster) cmdTerminated(args []string) (string, error) {
	return c.forEach(args, (*process).waitStopped)
}

// cmdRestart starts exited processes again with the same settings: restart NAME…
func (c *cluster) cmdRestart(args []string) (string, error) {
	return c.forEach(args, func(p *process) error {
		if err := p.start(); err != nil {
			return err
		}
		if p.serviceAddr == "" {
			return nil
		}
		return p.waitListening(p.serviceAddr)
	})
}

// cmdFreeze pauses processes with SIGSTOP: freeze NAME…
func (c *cluster) cmdFreeze(args []string) (string, error) {
	return c.forEach(args, func(p *process) error { return p.signal(syscall.SIGSTOP) })
}

// cmdThaw resumes paused processes with SIGCONT: thaw NAME…
func (c *cluster) cmdThaw(args []string) (string, error) {
	return c.forEach(args, func(p *process) error { return p.signal(syscall.SIGCONT) })
}

// cmdCut interrupts the network between two processes or availability zones, or between
// one of them and the platform: cut A B
func (c *cluster) cmdCut(args []string) (string, error) { return "", c.forPair(args, c.network.Cut) }

// cmdHeal restores the network after cut: heal A B
func (c *cluster) cmdHeal(args []string) (string, error) { return "", c.forPair(args, c.network.Heal) }

func (c *cluster) forPair(args []string, f func(a, b string)) error {
	if len(args) != 2 {
		return errors.New("expected two names of processes or availability zones")
	}
	f(args[0], args[1])
	return nil
}

// cmdPlatform sets faults of the platform stand-in, or the state of an instance:
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
		return "", sendJSON("PUT", c.platformAddr, "/admin/instances/"+i.Name, i)
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
		return "", errors.New("usage: platform down|up|slow|lose-answers|lose-next|lag|instance …")
	}
	return "", sendJSON("POST", c.platformAddr, "/admin/faults", json.RawMessage(faults))
}

// cmdFault sets the faults of a stand-in: fault NAME JSON
func (c *cluster) cmdFault(args []string) (string, error) {
	if len(args) != 2 {
		return "", errors.New("usage: fault NAME JSON")
	}
	p, err := c.process(args[0])
	if err != nil {
		return "", err
	}
	return "", sendJSON("POST", p.serviceAddr, "/admin/faults", json.RawMessage(args[1]))
}

// sendJSON sends v as a JSON request body and requires status 200.
func sendJSON(method, addr, path string, v any) error {
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
	if err := fasthttp.DoTimeout(req, resp, waitTimeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s %s: status %d, want 200", method, path, resp.StatusCode())
	}
	return nil
}

// cmdCtl runs gentiantrailctl in the script's folder and requires an exit code, by
// default 0: ctl [-exit CODE] ARG…
func (c *cluster) cmdCtl(args []string) (string, error) {
	set, rest, err := parseFlags(args)
	if err != nil {
		return "", err
	}
	cmd := exec.Command(filepath.Join(binDir, "gentiantrailctl"), rest...)
	cmd.Dir = c.dir
	cmd.Env = append(os.Environ(), "GENTIANTRAIL_PLATFORM="+c.platformAddr)
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

// cmdPause sleeps: pause DURATION. It sets how long a fault lasts; to wait for a state,
// scripts use the commands that poll.
func (c *cluster) cmdPause(args []string) (string, error) {
	if len(args) != 1 {
		return "", errors.New("usage: pause DURATION")
	}
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return "", err
}
