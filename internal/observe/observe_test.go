package observe

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestLinesAreKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	logger := NewLogger(&out, "info", "entry", "sk-a-1")
	logger.Debug().Str("event", "hidden").Msg("")
	logger.Info().Str("event", "request").Str("path", `/a b="c"`).Int("status", 200).
		Bool("whole", true).Bool("late", false).Str("none", "").Dur("took", time.Second).Msg("")
	line := out.String()
	assert.Equal(t, strings.Count(line, "\n"), 1)
	assert.Assert(t, strings.HasPrefix(line, "time="), line)
	want := `level=info program=entry instance=sk-a-1 event=request path="/a b=\"c\"" status=200 whole=true late=false none="" took=1000`
	assert.Assert(t, strings.HasSuffix(line, want+"\n"), line)
}

func get(t *testing.T, addr, path string) (status int, body string) {
	t.Helper()
	status, b, err := fasthttp.Get(nil, "http://"+addr+path)
	assert.NilError(t, err)
	return status, string(b)
}

func TestAdminServesHealthMetricsAndState(t *testing.T) {
	metrics := NewMetrics(map[string]string{"instance": "sk-a-1"}, NewLogger(io.Discard, "info", "entry", "sk-a-1"))
	defer func() { assert.NilError(t, metrics.Close()) }()
	metrics.Scope.Tagged(map[string]string{"kind": "timeout"}).Counter("answers").Inc(3)
	metrics.Scope.Histogram("request_seconds", LatencyBuckets).RecordDuration(time.Millisecond)
	reason := errors.New("no configuration yet")
	admin := NewAdmin(AdminConfig{
		Ready:   func() error { return reason },
		State:   func() any { return struct{ Revision int }{7} },
		Metrics: metrics,
	})
	assert.NilError(t, admin.Listen("127.0.0.1:0"))

	status, _ := get(t, admin.Addr(), "/healthz")
	assert.Equal(t, status, 200)
	status, body := get(t, admin.Addr(), "/readyz")
	assert.Equal(t, status, 503)
	assert.Equal(t, body, "no configuration yet\n")
	status, body = get(t, admin.Addr(), "/debug/state")
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.Contains(body, `"Revision": 7`), body)
	status, _ = get(t, admin.Addr(), "/debug/pprof/")
	assert.Equal(t, status, 404)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, body := get(t, admin.Addr(), "/metrics")
		if strings.Contains(body, `gentiantrail_answers{instance="sk-a-1",kind="timeout"} 3`) &&
			strings.Contains(body, "gentiantrail_request_seconds_bucket") {
			return poll.Success()
		}
		return poll.Continue("%s", body)
	}, poll.WithTimeout(20*time.Second))
	assert.NilError(t, admin.Close(context.Background()))
}
