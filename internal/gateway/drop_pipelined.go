package gateway

import (
	"github.com/gentiantrail/gentiantrail/internal/apierr"
	"github.com/gentiantrail/gentiantrail/internal/http1"
)

// dropPipelined drops the requests behind the one that is being handled, and the bytes that follow. The first of them
// is refused later, with its id. One refusal is enough, as it announces the close, and its size is bounded.
func (cc *callerConn) dropPipelined() {
	limits := parseLimits(cc.s.g.view.Load())
	var first http1.RequestReader
	largest := limits.Header + len("\r\n\r\n")
	_, _ = first.Read(cc.pipelined[:min(len(cc.pipelined), largest)], limits) // without a head there is no id
	cc.dropped = cc.attemptField(first.Head())
	cc.discarding = true
}

// refuseDropped sends the refusal to the first request that was dropped, and closes the connection.
func (cc *callerConn) refuseDropped() {
	cc.send(errorAnswer(apierr.New(apierr.KindOverloaded, ""), cc.dropped))
	cc.linger()
}

// attemptField returns the field with the id of a request, or nil if the request or its id is unknown.
func (cc *callerConn) attemptField(head *http1.Request) http1.Header {
	id := cc.attemptID(head)
	if id == "" {
		return nil
	}
	return http1.Header{{Name: cc.s.g.opts.Headers.Attempt, Value: id}}
}

// attemptID returns the id of a request, or "" if the request or its id is unknown.
func (cc *callerConn) attemptID(head *http1.Request) string {
	if head == nil {
		return ""
	}
	id, _ := head.Header.Lookup(cc.s.g.opts.Headers.Attempt)
	return id
}
