package claims

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run draws the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}
