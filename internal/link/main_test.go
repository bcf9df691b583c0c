package link

import (
	"flag"
	"io"
	"os"
	"testing"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

func TestMain(m *testing.M) {
	if addr := os.Getenv(pausedAddress); addr != "" {
		runPaused(addr)
		return
	}
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// pausedAddress is the environment variable that makes the test binary keep a link to an address.
const pausedAddress = "GENTIANTRAIL_TEST_LINK_TO"

// runPaused keeps a link to addr until its standard input ends.
func runPaused(addr string) {
	n, err := New(Config{
		Identity: message.Identity{Role: message.RoleAgent, Name: "paused", Incarnation: 7},
		Key:      []byte(testKey), IdleTimeout: 400 * time.Millisecond,
	}, new(recorder))
	if err != nil {
		panic(err)
	}
	n.Dial(addr)
	_, _ = io.Copy(io.Discard, os.Stdin)
}
