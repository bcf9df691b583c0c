package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// writeRaw ends the handler's connection after the given bytes.
func writeRaw(w http.ResponseWriter, text string) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(buffered, text)
	_ = buffered.Flush()
}

// rawAnswer returns a handler that writes an answer as it is, with the id of the request.
func rawAnswer(head, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeRaw(w, head+"\r\nT-Id: "+r.Header.Get("T-Id")+"\r\n\r\n"+body)
	}
}

// errorHead is an answer of a target that fails, as bytes.
const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\noops\n"

// resumedAnswers are the answers of a target that does not go on with a stream.
func resumedAnswers() map[string]http.HandlerFunc {
	signed := "HTTP/1.1 200 OK\r\nT-Sign: signed\r\nContent-Type: text/event-stream"
	return map[string]http.HandlerFunc{
		"failed":                        respond(500, "oops\n\n"),
		"failed, with an event":         respond(500, "id: 5\ndata: x\n\n"),
		"not found":                     respond(404, "oops"),
		"moved":                         respond(302, "oops"),
		"no content":                    respond(204, ""),
		"refused":                       refuse(503),
		"refused as malformed":          refuse(400),
		"replaced":                      refuse(421),
		"refused, not stated":           respond(503, "oops\n\n"),
		"unsigned":                      rawAnswer("HTTP/1.1 200 OK\r\nContent-Length: 6", "oops\n\n"),
		"signed text":                   respond(200, "oops"),
		"signed text with a blank line": respond(200, "oops\n\n"),
		"signed JSON":                   respond(200, `{"error":"oops"}`+"\n\n"),
		"event without an id":           respond(200, "data: oops\n\n"),
		"event with an empty id":        respond(200, "id:\ndata: oops\n\n"),
		"event out of order":            respond(200, "id: 9\ndata: x\n\n"),
		"event that was sent":           respond(200, "id: 4\ndata: x\n\n"),
		"head in the body":              rawAnswer(signed+"\r\nConnection: close", errorHead),
		"head in a chunk":               rawAnswer(signed+"\r\nTransfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(errorHead), errorHead)),
		"nothing, with a length":        rawAnswer(signed+"\r\nContent-Length: 0", ""),
		"nothing, in chunks":            rawAnswer(signed+"\r\nTransfer-Encoding: chunked", "0\r\n\r\n"),
		"nothing, until it closes":      rawAnswer(signed+"\r\nConnection: close", ""),
		"comments":                      respond(200, ": wait\n\n"),
		"half an event":                 respond(200, "id: 5\ndata: x\n"),
		"no answer":                     closeConnection,
		"no HTTP":                       func(w http.ResponseWriter, _ *http.Request) { writeRaw(w, "oops\n\n") },
	}
}

// TestBrokenStreamStaysBrokenAfterAnError breaks a stream off after four events. Whatever the next
// target answers but the following events, the caller must get these four, and a response that is
// visibly incomplete.
func TestBrokenStreamStaysBrokenAfterAnError(t *testing.T) {
	for name, answer := range resumedAnswers() {
		handler := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("T-Last") == "" {
				streamEvents(9, 4)(w, r)
				return
			}
			answer(w, r)
		}
		gw := newTestGateway(t, handler, handler).waitReady()
		status, _, body, whole := gw.do(get("/stream/")...)
		assert.Equal(t, status, 200, name)
		assert.Assert(t, !whole, "%s: the stream seems complete", name)
		assert.Equal(t, strings.ReplaceAll(body, ": wait\n\n", ""), eventsUpTo(4), name)
		resumed := 0
		for _, f := range gw.targets {
			for _, r := range f.requests() {
				if r.Header.Get("T-Last") != "" {
					resumed++
				}
			}
		}
		assert.Assert(t, resumed > 0, "%s: the stream was not resumed", name)
	}
}

// TestHeadInsideAStreamIsNotRelayed lets a target write a second answer into the body of its stream.
func TestHeadInsideAStreamIsNotRelayed(t *testing.T) {
	events := eventsUpTo(3)
	for name, head := range map[string]string{"framed by the connection": "Connection: close", "without a framing": "X: y"} {
		handler := rawAnswer("HTTP/1.1 200 OK\r\nT-Sign: signed\r\nContent-Type: text/event-stream\r\n"+head, events+errorHead)
		gw := newTestGateway(t, handler, handler).waitReady()
		c := gw.send(get("/stream/")...)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, "%s: the stream seems complete", name)
		assert.Equal(t, string(body), events, name)
	}
}
