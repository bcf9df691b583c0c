package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 256 << 10

// StreamEvent is one complete event, including the blank line that ends it.
type StreamEvent struct {
	// ID is the event's id. HasID is true if the event has one.
	ID    int64
	HasID bool
	// Comment is true if the event consists of comments only.
	Comment bool
	Bytes   []byte
}

// EventReader splits a stream into complete events (WHATWG HTML, section 9.2).
type EventReader struct {
	r *bufio.Reader
}

// NewEventReader returns a reader of the events in an answer's body.
func NewEventReader(body io.Reader) *EventReader { return &EventReader{r: newReader(body)} }

// Next returns the next complete event. It returns io.EOF if the stream ends after an event
// and http1.ErrUnexpectedEnd if it ends inside one.
func (e *EventReader) Next() (StreamEvent, error) {
	var ev StreamEvent
	for {
		line, err := e.r.ReadSlice('\n')
		ev.Bytes = append(ev.Bytes, line...)
		switch {
		case errors.Is(err, io.EOF) && len(ev.Bytes) > 0:
			return StreamEvent{}, http1.ErrUnexpectedEnd
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return StreamEvent{}, err
		}
		if len(ev.Bytes) > maxEvent {
			return StreamEvent{}, &http1.TooLargeError{Part: http1.PartBody, Limit: maxEvent}
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && !endsInsideLine(ev.Bytes) {
			return ev, ev.readID()
		}
	}
}

// endsInsideLine reports whether the last line of b is not blank. A full buffer may have
// split a line just before its line end, so that the last part read looks blank.
func endsInsideLine(b []byte) bool {
	b = bytes.TrimSuffix(bytes.TrimSuffix(b, []byte("\n")), []byte("\r"))
	return len(b) > 0 && b[len(b)-1] != '\n'
}

// readID sets ID and HasID from the event's id field, and Comment.
func (ev *StreamEvent) readID() error {
	ev.Comment = true
	for line := range bytes.Lines(ev.Bytes) {
		if len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			ev.Comment = false
		}
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return &http1.SyntaxError{Reason: "an event's id is not a number"}
		}
		ev.ID, ev.HasID = id, true
	}
	return nil
}
