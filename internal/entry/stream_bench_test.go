package entry

import (
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// tokensPerStream is the number of tokens in a stream of BenchmarkStreamedTokens.
const tokensPerStream = 500

// BenchmarkStreamedTokens relays streams of token-sized pieces from a link to a
// caller. Run it with -cpu 1: tokens/s is then the rate of one core, including
// decoding and HTTP, but without the system calls of the network.
func BenchmarkStreamedTokens(b *testing.B) {
	s := newTestEntry(b)
	token := []byte("data: {\"mark\":\"0123456789\",\"index\":1}\n\n")
	s.addAgent("agent", func(p *linktest.Peer, m message.Message) {
		req, ok := m.(*message.Request)
		if !ok {
			return
		}
		frame := func(m message.Message) {
			raw, err := message.Encode(m)
			if err != nil {
				b.Error(err)
			}
			decoded, err := message.Decode(raw)
			if err != nil {
				b.Error(err)
			}
			s.entry.Message(p, decoded)
		}
		frame(&message.ResponseHead{ID: req.ID, Status: http.StatusOK, Length: -1})
		for i := range tokensPerStream {
			frame(&message.ResponseData{ID: req.ID, Offset: int64(i * len(token)), Data: token})
		}
		frame(&message.ResponseEnd{ID: req.ID, Length: int64(tokensPerStream * len(token)), Load: warm})
	})
	b.ResetTimer()
	for b.Loop() {
		got := s.call("GET", "/svc/x")
		assert.NilError(b, got.readErr)
		assert.Equal(b, got.status, http.StatusOK, got.body)
		assert.Equal(b, bytes.Count([]byte(got.body), token), tokensPerStream)
	}
	b.ReportMetric(float64(b.N*tokensPerStream)/b.Elapsed().Seconds(), "tokens/s")
}
