package ctl

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
	"github.com/gentiantrail/gentiantrail/internal/testserver"
)

// serve serves h on a loopback port until the test ends.
func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fasthttp.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	return l.Addr().String()
}

// runCtl runs the command and checks its exit code.
func runCtl(t *testing.T, want ExitCode, args ...string) Report {
	t.Helper()
	var out, errOut bytes.Buffer
	code := Run(append(args, "--output", "json"), &out, &errOut)
	assert.Equal(t, code, want, "%v: %s%s", args, &out, &errOut)
	var r Report
	if out.Len() > 0 {
		assert.NilError(t, json.Unmarshal(out.Bytes(), &r))
		assert.Equal(t, r.ExitCode, code)
	}
	return r
}

func write(t *testing.T, dir, name, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
}

const zoneYAML = "availability_zones:\n- name: z\n  region: r\n"

func TestTwoOperators(t *testing.T) {
	store := objectstore.New()
	addr := serve(t, objectstore.Handler(store))
	t.Setenv("GENTIANTRAIL_PLATFORM", addr)
	a, b := t.TempDir(), t.TempDir()
	write(t, a, "z.yaml", zoneYAML)
	runCtl(t, ExitProblem, "diff", a)
	assert.Equal(t, runCtl(t, ExitOK, "apply", a).Result.Revision, uint64(1))
	runCtl(t, ExitOK, "diff", a)
	assert.Assert(t, runCtl(t, ExitOK, "apply", a).Result.Unchanged)
	runCtl(t, ExitOK, "pull", b)

	// Changes of different files are merged; a folder that lacks a file that the other
	// operator added does not remove it.
	write(t, a, "a.yaml", "pools:\n- name: a\n  kind: plain\n  limit: 1\n  cold_limit: 1\n")
	write(t, b, "b.yaml", "pools:\n- name: b\n  kind: plain\n  limit: 1\n  cold_limit: 1\n")
	runCtl(t, ExitOK, "apply", a)
	r := runCtl(t, ExitOK, "apply", b, "--edit-id", "b1")
	assert.DeepEqual(t, r.Result.RemoteChanges, []config.FileChange{{Name: "a.yaml", Kind: config.Added}})
	assert.Assert(t, runCtl(t, ExitOK, "apply", a).Result.Unchanged)

	// Changes of the same file conflict until the operator has taken the other's change.
	write(t, a, "z.yaml", zoneYAML+"- name: y\n  region: r\n")
	write(t, b, "z.yaml", zoneYAML+"- name: x\n  region: r\n")
	runCtl(t, ExitOK, "apply", b, "--edit-id", "b2")
	r = runCtl(t, ExitConflict, "apply", a)
	assert.DeepEqual(t, r.Conflict, []config.FileConflict{{Name: "z.yaml", Local: config.Changed, Remote: config.Changed, Edit: "b2", Revision: 4}})
	runCtl(t, ExitConflict, "pull", a)
	write(t, a, "z.yaml", zoneYAML)
	runCtl(t, ExitOK, "pull", a)
	_, err := os.Stat(filepath.Join(a, "b.yaml"))
	assert.NilError(t, err)
	runCtl(t, ExitOK, "diff", a)

	// A folder without a base record cannot undo others' changes by accident.
	assert.NilError(t, os.Remove(filepath.Join(a, baseFileName)))
	write(t, a, "z.yaml", zoneYAML)
	runCtl(t, ExitConflict, "apply", a)
	runCtl(t, ExitConflict, "apply", a, "--base", "3")
	runCtl(t, ExitOK, "apply", a, "--base", "4")

	runCtl(t, ExitProblem, "drain", "zone", "nowhere")
	runCtl(t, ExitOK, "drain", "zone", "z")
	r = runCtl(t, ExitOK, "drain", "instance", "agent-1")
	assert.Check(t, cmp.Len(r.Notes, 1))
	runCtl(t, ExitOK, "undrain", "instance", "agent-1")
	r = runCtl(t, ExitOK, "status")
	assert.DeepEqual(t, r.Status.DrainedZones, []string{"z"})
	assert.Equal(t, r.Status.Revision, uint64(8))
}

func TestFailuresHaveTheirExitCodes(t *testing.T) {
	store := objectstore.New()
	addr := serve(t, objectstore.Handler(store))
	t.Setenv("GENTIANTRAIL_PLATFORM", addr)
	dir := t.TempDir()
	write(t, dir, "z.yaml", zoneYAML)
	runCtl(t, ExitUsage, "apply")
	runCtl(t, ExitUsage, "drain", "rack", "x")
	runCtl(t, ExitOK, "check", dir)
	store.ChangeFaults(func(f *objectstore.Faults) { f.Down = true })
	runCtl(t, ExitUnavailable, "apply", dir)
	runCtl(t, ExitUnavailable, "status")

	// The response to the write is lost: the outcome is indeterminate until the command
	// is repeated.
	store.SetFaults(objectstore.Faults{})
	runCtl(t, ExitOK, "apply", dir)
	write(t, dir, "z.yaml", zoneYAML+"- name: y\n  region: r\n")
	lossy := serve(t, loseHeadWriteResponse(store))
	runCtl(t, ExitIndeterminate, "apply", dir, "--edit-id", "e", "--platform", lossy)
	r := runCtl(t, ExitOK, "apply", dir, "--edit-id", "e")
	assert.Assert(t, r.Result.Repeated)
	write(t, dir, "z.yaml", zoneYAML+"- name: x\n  region: r\n")
	runCtl(t, ExitUsage, "apply", dir, "--edit-id", "e")
	write(t, dir, "z.yaml", zoneYAML+"- name: x\n")
	r = runCtl(t, ExitProblem, "apply", dir)
	assert.Equal(t, r.Problems[0].Line, 4)

	runCtl(t, ExitUnreachable, "dump", "127.0.0.1:1")
	admin := serve(t, func(ctx *fasthttp.RequestCtx) {
		assert.Equal(t, string(ctx.Path()), statePath)
		ctx.SetBodyString(`{"name":"entry-1","availability_zone":"z","config_revision":1}`)
	})
	assert.Assert(t, cmp.Contains(string(runCtl(t, ExitOK, "dump", admin).State), "entry-1")().Success())
	r = runCtl(t, ExitProblem, "status", "--admin", admin)
	assert.DeepEqual(t, r.Status.Processes, []ProcessStatus{{Addr: admin, Name: "entry-1", AvailabilityZone: "z", ConfigRevision: 1}})
	runCtl(t, ExitUnreachable, "status", "--admin", admin, "--admin", "127.0.0.1:1")
}

// Guards against a state dump that is shown although the process has sent none: the status of its answer or the name
// of a field is invalid.
func TestInvalidAnswersOfAProcessAreErrors(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK", "HTTP/1.9 200 OK", "HTTP/1.1 200 OK\r\nX A: b", "HTTP/1.1 200 OK\r\nContent -Length: 1"} {
		runCtl(t, ExitUnreachable, "dump", testserver.Answering(t, head+"\r\nContent-Length: 2\r\n\r\n{}"))
	}
}

// loseHeadWriteResponse serves store. It accepts the first write of the head, loses the
// response, and is unavailable from then on.
func loseHeadWriteResponse(store *objectstore.Memory) fasthttp.RequestHandler {
	next := objectstore.Handler(store)
	down := false
	return func(ctx *fasthttp.RequestCtx) {
		if down {
			ctx.SetStatusCode(platform.StatusOf(platform.ErrUnavailable))
			return
		}
		next(ctx)
		if ctx.IsPut() && string(ctx.Path()) == platform.PathObjects+config.HeadKey {
			down = true
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusBadGateway) // outside the API: the outcome is unknown
		}
	}
}
