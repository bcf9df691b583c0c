package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/httpclient"
)

// statePath is the path of the state dump on the admin address.
const statePath = "/debug/state"

// maxStateSize is the largest accepted state dump, in bytes.
const maxStateSize = 64 << 20

// Status is the state of the configuration in the platform and in the queried processes.
type Status struct {
	Revision         uint64              `json:"revision"`
	Files            int                 `json:"files"`
	DrainedZones     []string            `json:"drained_availability_zones"`
	DrainedInstances []string            `json:"drained_instances"`
	Edits            []config.EditRecord `json:"edits"`
	Processes        []ProcessStatus     `json:"processes,omitempty"`
}

// ProcessStatus is the state that one process reported on its admin address.
type ProcessStatus struct {
	Addr             string `json:"addr"`
	Name             string `json:"name,omitempty"`
	AvailabilityZone string `json:"availability_zone,omitempty"`
	ConfigRevision   uint64 `json:"config_revision"`
	Error            string `json:"error,omitempty"`
}

// status shows the head, which is the newest revision in the platform, and in which of
// the queried processes it is active.
func status(ctx context.Context, p *config.Publisher, args *StatusArgs, r *Report) error {
	snap, err := p.Read(ctx)
	if err != nil {
		return err
	}
	h := snap.Head
	r.Status = &Status{
		Revision: h.Revision, Files: len(h.Files), Edits: h.Edits,
		DrainedZones: h.DrainedZones, DrainedInstances: h.DrainedInstances,
	}
	for _, addr := range args.Admin {
		process := queryProcess(ctx, addr)
		r.Status.Processes = append(r.Status.Processes, process)
		switch {
		case process.Error != "":
			r.ExitCode = ExitUnreachable
		case process.ConfigRevision > h.Revision:
			r.Notes = append(r.Notes, fmt.Sprintf("%s is ahead of the platform; see --floor of apply", process.Name))
			r.ExitCode = max(r.ExitCode, ExitProblem)
		case process.ConfigRevision < h.Revision:
			r.ExitCode = max(r.ExitCode, ExitProblem)
		}
	}
	return nil
}

func queryProcess(ctx context.Context, addr string) ProcessStatus {
	process := ProcessStatus{Addr: addr}
	raw, err := fetchState(ctx, addr)
	if err == nil {
		err = json.Unmarshal(raw, &process)
	}
	if err != nil {
		process.Error = err.Error()
	}
	return process
}

// dump prints a process's state.
func dump(ctx context.Context, args *DumpArgs, r *Report) error {
	raw, err := fetchState(ctx, args.Addr)
	if err != nil {
		return err
	}
	r.State = raw
	return nil
}

// fetchState returns the state dump of the process at addr.
func fetchState(ctx context.Context, addr string) (json.RawMessage, error) {
	client := fasthttp.HostClient{
		Addr: addr, Transport: httpclient.Transport{}, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxStateSize,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + statePath)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Minute)
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return nil, &unreachableError{addr, err}
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return nil, &unreachableError{addr, fmt.Errorf("status %d", code)}
	}
	body := append(json.RawMessage(nil), resp.Body()...)
	if !json.Valid(body) {
		return nil, &unreachableError{addr, fmt.Errorf("the response is not JSON")}
	}
	return body, nil
}

func (s *Status) write(out io.Writer) {
	fmt.Fprintf(out, "revision %d, %d files\n", s.Revision, s.Files)
	fmt.Fprintf(out, "drained availability zones: %s\n", listText(s.DrainedZones))
	fmt.Fprintf(out, "drained instances: %s\n", listText(s.DrainedInstances))
	for _, e := range s.Edits {
		fmt.Fprintf(out, "edit %s made revision %d: %s\n", e.ID, e.Revision, strings.Join(e.Changed, ", "))
	}
	for _, p := range s.Processes {
		if p.Error != "" {
			fmt.Fprintf(out, "process %s: %s\n", p.Addr, p.Error)
			continue
		}
		state := "in force"
		if p.ConfigRevision != s.Revision {
			state = "not in force"
		}
		fmt.Fprintf(out, "process %s %s (%s): revision %d, %s\n", p.Addr, p.Name, p.AvailabilityZone, p.ConfigRevision, state)
	}
}

func listText(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
