package capacity

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/gentiantrail/gentiantrail/internal/standin/objectstore"
)

// TestClientCalls counts the calls of the operators' client to the platform for one
// changed file, in folders with several numbers of files that hold about 810 organisations.
func TestClientCalls(t *testing.T) {
	sizes := []int{5}
	if *slopes {
		sizes = []int{10, 50, 100}
		fmt.Println("\n## operators' client, one changed file")
		fmt.Println("files | first apply: reads, writes | one change: reads, writes, kB written, ms, CPU ms, memory MB")
	}
	for _, files := range sizes {
		store := objectstore.New()
		addr := serve(t, objectstore.Handler(store))
		dir := t.TempDir()
		writeFolder(t, dir, files)
		applyFolder(t, dir, addr)
		first := store.Counters()
		writeOrganisations(t, dir, 0, organisations/files, 3)
		start := time.Now()
		state := applyFolder(t, dir, addr)
		elapsed := time.Since(start)
		c := store.Counters()
		assert.Assert(t, c.Writes() > first.Writes())
		if *slopes {
			usage := state.UserTime() + state.SystemTime()
			fmt.Printf("%d | %d, %d | %d, %d, %.1f, %d, %d, %.0f\n", files, first.Get+first.List+first.Watch, first.Writes(),
				c.Get+c.List+c.Watch-first.Get-first.List-first.Watch, c.Writes()-first.Writes(),
				float64(c.BytesWritten-first.BytesWritten)/1e3, elapsed.Milliseconds(), usage.Milliseconds(), maxMemoryMB(state))
		}
	}
}

// applyFolder runs gentiantrailctl apply on dir and returns the state of the exited process.
func applyFolder(t *testing.T, dir, addr string) *os.ProcessState {
	t.Helper()
	cmd := exec.Command(filepath.Join(*binDir, "gentiantrailctl"), "apply", dir, "--platform", addr)
	out, err := cmd.CombinedOutput()
	assert.NilError(t, err, string(out))
	return cmd.ProcessState
}

// writeFolder writes the organisations in equal parts to files, without the remainder of the
// division, and all other objects to one additional file.
func writeFolder(t *testing.T, dir string, files int) {
	t.Helper()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "00-base.yaml"), []byte(baseConfig()), 0o600))
	perFile := organisations / files
	for i := range files {
		writeOrganisations(t, dir, i*perFile, (i+1)*perFile, 1)
	}
}

func writeOrganisations(t *testing.T, dir string, from, to, weight int) {
	t.Helper()
	path := filepath.Join(dir, fmt.Sprintf("50-organisations-%03d.yaml", from))
	assert.NilError(t, os.WriteFile(path, []byte(organisationsConfig(from, to, weight)), 0o600))
}
