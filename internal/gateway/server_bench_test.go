package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkServer measures the listener for callers with requests that need no target, on one
// connection for each processor.
func BenchmarkServer(b *testing.B) {
	head := func(path string) string {
		return strings.Replace(strings.Join(get(path), "\r\n"), "GET", "POST", 1)
	}
	for _, row := range []struct {
		name string
		size int
	}{{"1KiB", 1 << 10}, {"60KiB", 60 << 10}} {
		b.Run(row.name, func(b *testing.B) {
			gw := newTestGateway(b, respond(200, "x")).waitReady()
			// The deadline can't be parsed, so the request is refused after its body.
			text := head("/once/") + "\r\nT-Deadline: x\r\nContent-Length: " + strconv.Itoa(row.size) + "\r\n\r\n" + strings.Repeat("x", row.size)
			b.SetBytes(int64(len(text)))
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				c := gw.write("")
				br := bufio.NewReader(c)
				for pb.Next() {
					_, err := io.WriteString(c, text)
					assert.NilError(b, err)
					resp, err := http.ReadResponse(br, nil)
					assert.NilError(b, err)
					_, err = io.Copy(io.Discard, resp.Body)
					assert.NilError(b, err)
					assert.Equal(b, resp.StatusCode, 400)
				}
			})
		})
	}
}
