package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// eventBody adds an explicit error event to an event stream that breaks. The
// stream still ends without its last chunk, so it cannot look complete.
type eventBody struct {
	*answer
	event []byte
	told  bool
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	if len(b.event) > 0 {
		n := copy(p, b.event)
		b.event = b.event[n:]
		return n, nil
	}
	n, err := b.answer.Read(p)
	if n > 0 || err == nil || errors.Is(err, io.EOF) || b.told {
		return n, err
	}
	b.told = true
	b.event = errorEvent(b.answer)
	return b.Read(p)
}

// errorEvent returns the event that tells why the stream ends.
func errorEvent(a *answer) []byte {
	text, _ := json.Marshal(errorBody{Error: describe(a.exchange, a.err)})
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", text)
}
