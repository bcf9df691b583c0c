package platform_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/platform"
	"github.com/gentiantrail/gentiantrail/internal/testserver"
)

// Guards against a write that counts as done, and an object that counts as read, by an answer that is none: its
// status or the name of a field is invalid.
func TestInvalidAnswersOfTheStoreAreErrors(t *testing.T) {
	heads := []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.9 200 OK\r\n", "HTTP/1.1 200 O\x01K\r\n"}
	for _, line := range []string{"X A: b", "X-A : b", "X\x01A: b", " X-A: b", "X-A: b\r\n folded", "Content -Length: 1", "Transfer-Encoding: chunked"} {
		heads = append(heads, "HTTP/1.1 200 OK\r\n"+line+"\r\n")
	}
	for _, head := range heads {
		c := platform.NewClient(testserver.Answering(t, head+platform.HeaderVersion+": 7\r\nContent-Length: 2\r\n\r\n{}"), platform.Options{})
		_, err := c.Put(t.Context(), "k", []byte("v"), platform.AnyVersion)
		assert.Check(t, errors.Is(err, platform.ErrIndeterminate), "%q: a write: %v", head, err)
		err = c.Delete(t.Context(), "k", 1)
		assert.Check(t, errors.Is(err, platform.ErrIndeterminate), "%q: a removal: %v", head, err)
		_, err = c.Get(t.Context(), "k")
		assert.Check(t, errors.Is(err, platform.ErrUnavailable), "%q: a read: %v", head, err)
		_, err = c.List(t.Context(), "")
		assert.Check(t, errors.Is(err, platform.ErrUnavailable), "%q: a list: %v", head, err)
		_, err = c.Watch(t.Context(), "", 1, time.Second)
		assert.Check(t, errors.Is(err, platform.ErrUnavailable), "%q: a watch: %v", head, err)
	}
}
