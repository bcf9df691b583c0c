package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/link/linktest"
	"github.com/gentiantrail/gentiantrail/internal/message"
)

// TestRequestReadBehindAnotherInAStopOfAnEntry guards against a request without an answer, since the one before it on its
// connection announces the close in a stop.
func TestRequestReadBehindAnotherInAStopOfAnEntry(t *testing.T) {
	s := &stoppable{testEntry: newTestEntry(t)}
	release, started := make(chan struct{}), make(chan struct{}, 2)
	s.addAgent("agent", func(p *linktest.Peer, m message.Message) {
		if _, ok := m.(*message.Request); ok {
			started <- struct{}{}
			<-release
		}
		streamAnswer(s.entry, piece(0, "ok"))(p, m)
	})
	s.serveTCP()
	s.send(withKey("GET /svc/x", "") + withKey("GET /svc/y", ""))
	<-started
	s.stopBeforeAnswer()
	close(release)
	assert.NilError(t, s.caller.SetReadDeadline(time.Now().Add(waitTimeout)))
	for range 2 {
		resp, err := http.ReadResponse(s.answers, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
	}
}
