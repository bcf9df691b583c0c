package agent

import (
	"errors"
	"io"

	"github.com/gentiantrail/gentiantrail/internal/claims"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// maxKeptBody is the largest answer body that is gathered for repeats, in bytes;
// package claims keeps what fits claims.Config.MaxAnswer.
const maxKeptBody = 4 << 10

// keptAnswer gathers an answer that is to be recorded with its claim.
type keptAnswer struct {
	status   int
	headers  []message.Header
	body     []byte
	tooLarge bool
	// complete tells that the whole answer was read.
	complete bool
}

func (k *keptAnswer) begin(status int, headers []message.Header) {
	k.status = status
	k.headers = headers
}

// add appends a piece of the body while it fits.
func (k *keptAnswer) add(p []byte) {
	if k.tooLarge || len(k.body)+len(p) > maxKeptBody {
		k.tooLarge = true
		k.body = nil
		return
	}
	k.body = append(k.body, p...)
}

// answer returns the complete answer, or nil if it is too large to be recorded.
func (k *keptAnswer) answer() *claims.Answer {
	if k.tooLarge {
		return nil
	}
	return &claims.Answer{Status: k.status, Headers: k.headers, Body: k.body}
}

// readRest reads the rest of a body that nobody waits for.
func (k *keptAnswer) readRest(body io.Reader) {
	buf := make([]byte, maxKeptBody)
	for {
		n, err := body.Read(buf)
		k.add(buf[:n])
		if err != nil {
			k.complete = errors.Is(err, io.EOF)
			return
		}
	}
}
