package callers

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

const (
	dataPrefix = "data: "
	doneEvent  = "[DONE]"
)

// token is one event of an engine's stream.
type token struct {
	Mark  string `json:"mark"`
	Index int    `json:"index"`
}

// plainAnswer is the body of an answer from a plain service.
type plainAnswer struct {
	Mark string `json:"mark"`
}

// classify returns the verdict on an answer and its explanation. err is the error
// that ended the reading of body, or nil if body is complete.
func classify(res *Result, body []byte, err error) (Verdict, string) {
	if res.Status != http.StatusOK {
		return classifyError(res, err)
	}
	if err != nil {
		return Broken, err.Error()
	}
	if res.Request.Tokens > 0 {
		return classifyTokens(res.Request, body)
	}
	var a plainAnswer
	if json.Unmarshal(body, &a) != nil {
		return WrongAnswer, "the answer is not JSON: " + excerpt(body)
	}
	if a.Mark != res.Request.Mark {
		return WrongAnswer, "the answer's mark is " + a.Mark
	}
	return Complete, ""
}

// classifyError returns the verdict on an answer with a status other than 200.
func classifyError(res *Result, err error) (Verdict, string) {
	detail := res.Kind
	if err != nil {
		detail = err.Error()
	}
	switch res.Outcome {
	case string(NotRun):
		return NotRun, detail
	case string(Ran):
		return Ran, detail
	default:
		return Unknown, detail
	}
}

// classifyTokens checks that an engine's answer contains every token of the request,
// in order, and no token of another request. An error event makes the answer Broken,
// because the caller can see it.
func classifyTokens(r Request, body []byte) (Verdict, string) {
	next, done := 0, false
	for line := range bytes.Lines(body) {
		line = bytes.TrimSpace(line)
		if bytes.HasPrefix(line, []byte("event: error")) {
			return Broken, "error event"
		}
		data, ok := bytes.CutPrefix(line, []byte(dataPrefix))
		if !ok {
			continue
		}
		if string(data) == doneEvent {
			done = true
			continue
		}
		var t token
		if json.Unmarshal(data, &t) != nil || t.Mark != r.Mark || t.Index != next || done {
			return WrongAnswer, "unexpected token " + excerpt(data)
		}
		next++
	}
	if next != r.Tokens || !done {
		return WrongAnswer, fmt.Sprintf("%d of %d tokens, end seen: %t", next, r.Tokens, done)
	}
	return Complete, ""
}

func excerpt(b []byte) string {
	const maxLength = 120
	return string(b[:min(len(b), maxLength)])
}
