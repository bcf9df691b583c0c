package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFirstOfTheDroppedPipelinedRequestsIsRefused guards against whole requests that are dropped for a limit while the
// connection closes without an answer to any of them, although the answer before has not announced that.
func TestFirstOfTheDroppedPipelinedRequestsIsRefused(t *testing.T) {
	const size = 1 << 16
	release := make(chan struct{})
	for name, limit := range map[string]int64{"connection": 0, "budget": 3 * size} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t, func(w http.ResponseWriter, r *http.Request) {
				<-release
				respond(200, "x")(w, r)
			}).waitReady()
			if limit > 0 {
				gw.limitCallers(limit, 1000)
			}
			c := gw.send(get("/once/")...)
			gw.waitForRequest()
			whole := strings.Replace(post("/once/", size), "T-Id: a1", "T-Id: b2", 1) + strings.Repeat("x", size)
			_, err := io.WriteString(c, strings.Repeat(whole, 4))
			assert.NilError(t, err)
			gw.waitForLog("caller-cut-off", "reason=pipelined")
			release <- struct{}{}
			br := bufio.NewReader(c)
			status, _ := readAnswer(t, br)
			assert.Equal(t, status, 200)
			resp, err := http.ReadResponse(br, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, 503)
			assert.Equal(t, resp.Header.Get("T-Id"), "b2")
			assert.Check(t, resp.Close)
			assert.Check(t, strings.Contains(string(body), `"outcome":"not-run"`), "%s", body)
			_, err = br.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, len(gw.targets[0].requests()), 1)
		})
	}
}
