package capacity

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

var binDir = flag.String("bin", "", "folder of built programs; they are built if it is empty")

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

// run builds the programs unless -bin names their folder, and runs the tests.
func run(m *testing.M) int {
	if *binDir != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "gentiantrail-capacity")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	*binDir = dir
	return m.Run()
}
