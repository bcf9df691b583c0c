package agent

import (
	"errors"
	"io"

	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// maxRecordedBody is the largest answer body that is buffered for recording, in bytes;
// package claims stores only answers that fit claims.Config.MaxAnswer.
const maxRecordedBody = 4 << 10

// answerBuffer buffers an answer that is to be recorded with its claim.
type answerBuffer struct {
	status   int
	headers  []message.Header
	body     []byte
	tooLarge bool
	// complete is true once the whole answer has been read.
	complete bool
}

func (b *answerBuffer) setHead(status int, headers []message.Header) {
	b.status = status
	b.headers = headers
}

// add appends a piece of the body; a body larger than maxRecordedBody is discarded.
func (b *answerBuffer) add(p []byte) {
	if b.tooLarge || len(b.body)+len(p) > maxRecordedBody {
		b.tooLarge = true
		b.body = nil
		return
	}
	b.body = append(b.body, p...)
}

// answer returns the complete answer, or nil if it is too large to be recorded.
func (b *answerBuffer) answer() *claims.Answer {
	if b.tooLarge {
		return nil
	}
	return &claims.Answer{Status: b.status, Headers: b.headers, Body: b.body}
}

// readRest reads the rest of a body that is no longer relayed.
func (b *answerBuffer) readRest(body io.Reader) {
	buf := make([]byte, maxRecordedBody)
	for {
		n, err := body.Read(buf)
		b.add(buf[:n])
		if err != nil {
			b.complete = errors.Is(err, io.EOF)
			return
		}
	}
}
