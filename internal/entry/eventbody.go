package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// eventBody appends an explicit error event to an event stream that fails. The
// stream still ends without its last chunk, so that it cannot be taken for complete.
type eventBody struct {
	*answer
	pendingEvent []byte
	errorSent    bool
}

// Read implements io.Reader.
func (b *eventBody) Read(p []byte) (int, error) {
	if len(b.pendingEvent) > 0 {
		n := copy(p, b.pendingEvent)
		b.pendingEvent = b.pendingEvent[n:]
		return n, nil
	}
	n, err := b.answer.Read(p)
	if n > 0 || err == nil || errors.Is(err, io.EOF) || b.errorSent {
		return n, err
	}
	b.errorSent = true
	b.pendingEvent = errorEvent(b.answer)
	return b.Read(p)
}

// errorEvent returns the event that states why the stream ends.
func errorEvent(a *answer) []byte {
	text, _ := json.Marshal(errorBody{Error: newErrorDetail(a.exchange, a.err)})
	return fmt.Appendf(nil, "event: error\ndata: %s\n\n", text)
}
