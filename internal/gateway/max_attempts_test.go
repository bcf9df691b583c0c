package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/fleet"
)

// oneEvent is a target that sends the next event of a stream and ends the connection.
func oneEvent(w http.ResponseWriter, r *http.Request) {
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("T-Last"), &last)
	w.Header().Set("T-Sign", "signed")
	_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", last+1)
	_ = http.NewResponseController(w).Flush()
	closeConnection(w, r)
}

// targetFailures are the ways in which a target fails a request that may go to another one.
var targetFailures = map[string]http.HandlerFunc{
	"no head":                     closeConnection,
	"unsigned":                    rawAnswer("HTTP/1.1 200 OK\r\nContent-Length: 6", "oops\n\n"),
	"refusal":                     refuse(503),
	"refusal, not stated":         respond(503, ""),
	"reset after the first event": oneEvent,
}

// Guards against a request that is sent to more targets than its route's MaxAttempts: as the first
// send, repeats and a resumed stream, all of whose targets fail in the same way.
func TestRequestIsSentToAtMostMaxAttemptsTargets(t *testing.T) {
	for name, failure := range targetFailures {
		paths := map[string]http.HandlerFunc{
			"/safe/":   failure,
			"/stream/": failure,
			"/stream/resumed": func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("T-Last") == "" {
					oneEvent(w, r)
					return
				}
				failure(w, r)
			},
		}
		for path, target := range paths {
			for _, limit := range []int{1, 2, 3} {
				t.Run(fmt.Sprint(name, path, limit), func(t *testing.T) {
					t.Parallel()
					assertAttempts(t, path, limit, target)
				})
			}
		}
	}
}

// assertAttempts checks that a request to targets that all fail is sent to as many of them as the limit
// allows.
func assertAttempts(t *testing.T, path string, limit int, target http.HandlerFunc) {
	t.Helper()
	config := testConfig(1)
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = limit
	}
	gw := newTestGatewayWith(t, []fleet.Change{{Name: "main", Config: config}}, target, target, target, target, target, target).waitReady()
	status, _, _, whole := gw.do(get(path)...)
	assert.Assert(t, status != 200 || !whole, "the response looks complete")
	sent := 0
	for _, f := range gw.targets {
		sent += len(f.requests())
	}
	assert.Equal(t, sent, limit)
}
