package load

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/standin/callers"
	"github.com/gentiantrail/gentiantrail/internal/standin/plain"
)

func servePlain(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = fasthttp.Serve(ln, plain.New().Handle) }()
	return ln.Addr().String()
}

// TestReportFailsWhenTheRecordContradictsTheAnswers compares the answers of a plain
// service with its own record, and with the empty record of another service: then every
// answered request counts as lost.
func TestReportFailsWhenTheRecordContradictsTheAnswers(t *testing.T) {
	plan := &Plan{
		Phases: []Phase{{"first", 50 * time.Millisecond}, {"second", 50 * time.Millisecond}},
		Jobs: []Job{
			{Name: "once", Keys: []string{"k"}, Method: "POST", Path: "/x", Rate: 100, UseIdempotencyKeys: true},
			{Name: "lookup", Keys: []string{"k"}, Method: "GET", Path: "/x", Rate: 100},
		},
		MaxInFlight: 100,
	}
	for _, ok := range []bool{true, false} {
		addr, other := servePlain(t), servePlain(t)
		plan.Entries, plan.PlainServices = []string{addr}, []string{other}
		if ok {
			plan.PlainServices = []string{addr}
		}
		r, err := Run(plan)
		assert.NilError(t, err)
		assert.Equal(t, r.OK(), ok, "%v", r.Violations)
		assert.Equal(t, len(r.Violations) == 10, !ok, "%v", r.Violations)
		for _, row := range r.Rows {
			assert.Equal(t, row.Sent, 5, row.Phase)
			assert.Equal(t, row.Verdicts[callers.Complete], 5, row.Phase)
			assert.Assert(t, row.FirstP50 > 0 && row.FirstP50 <= row.TotalP99, row.Phase)
		}
		var table strings.Builder
		r.Write(&table)
		assert.Assert(t, strings.Contains(table.String(), "first p50"))
	}
}
