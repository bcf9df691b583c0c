package callers

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// streamBody returns the body of an engine's stream with the tokens [from, to) of mark,
// followed by end.
func streamBody(mark string, from, to int, end string) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, "data: {\"mark\":%q,\"index\":%d}\n\n", mark, i)
	}
	return b.String() + end
}

const done = "data: [DONE]\n\n"

func TestClassify(t *testing.T) {
	tokens := Request{Mark: "m", Tokens: 3}
	plain := Request{Method: http.MethodPost, Mark: "m"}
	for name, c := range map[string]struct {
		req  Request
		body string
		want Verdict
	}{
		"complete stream":         {tokens, streamBody("m", 0, 3, done), Complete},
		"other request's stream":  {tokens, streamBody("x", 0, 3, done), WrongAnswer},
		"missing token":           {tokens, streamBody("m", 0, 1, "") + streamBody("m", 2, 3, done), WrongAnswer},
		"repeated token":          {tokens, streamBody("m", 0, 2, "") + streamBody("m", 1, 3, done), WrongAnswer},
		"end without error event": {tokens, streamBody("m", 0, 2, ""), WrongAnswer},
		"missing end event":       {tokens, streamBody("m", 0, 3, ""), WrongAnswer},
		"error event":             {tokens, streamBody("m", 0, 2, "event: error\ndata: {}\n\n"), Broken},
		"plain answer":            {plain, `{"mark":"m","run":1}`, Complete},
		"other request's answer":  {plain, `{"mark":"x","run":1}`, WrongAnswer},
		"truncated plain answer":  {plain, `{"mark":"m`, WrongAnswer},
	} {
		got, detail := classify(&Result{Request: c.req, Status: 200}, []byte(c.body), nil)
		assert.Equal(t, got, c.want, "%s: %s", name, detail)
	}
}

func TestEachViolationIsReported(t *testing.T) {
	attempt := func(mark string, v Verdict) Result {
		return Result{Request: Request{Method: http.MethodPost, Mark: mark}, Verdict: v}
	}
	repeatable := func(mark string, v Verdict) Result {
		r := attempt(mark, v)
		r.Request.Repeatable = true
		return r
	}
	results := []Result{
		attempt("once", Complete),
		attempt("doubled", Unknown), attempt("doubled", Complete),
		attempt("lost", Complete),
		attempt("lied", NotRun), attempt("lied", Unreached),
		attempt("open", NotRun), attempt("open", NoAnswer),
		attempt("refused", NotRun),
		attempt("crossed", WrongAnswer),
		repeatable("again", Complete), repeatable("denied", NotRun),
	}
	runs := map[string]int{"once": 1, "doubled": 2, "lied": 1, "open": 1, "stray": 1, "again": 2, "denied": 2}
	var marks []string
	for _, v := range FindViolations(results, runs) {
		marks = append(marks, v.Mark)
	}
	assert.DeepEqual(t, marks, []string{"crossed", "denied", "doubled", "lied", "lost", "stray"})
}

func TestGeneratorSkipsUnreachableEntries(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, `{"mark":%q}`, r.Header.Get("X-Mark"))
	}))
	defer server.Close()
	closedServer := httptest.NewServer(nil)
	closedServer.Close()
	results := &ResultLog{}
	g := &Generator{
		Name: "t", Template: Request{Method: http.MethodPost, Path: "/permits/permits"}, Workers: 2, Interval: time.Millisecond,
		Balancer: NewBalancer(strings.TrimPrefix(server.URL, "http://"), strings.TrimPrefix(closedServer.URL, "http://")),
		Caller:   NewCaller(false, 2), Results: results,
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for len(results.Results(time.Time{}, time.Time{})) < 20 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	g.Run(ctx)
	sum := Summarize(results.Results(time.Time{}, time.Time{}))
	assert.Equal(t, sum.Count[Complete], sum.Sent, sum.String())
	assert.Assert(t, sum.Sent >= 20 && sum.P50 > 0)
}
