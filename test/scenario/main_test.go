//go:build scenario

package scenario

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// parallelScenarios is the number of scenarios that run at the same time. Each starts
// about a dozen processes.
const parallelScenarios = "3"

// binDir is the folder of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("test.parallel", parallelScenarios); err != nil {
		panic(err)
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "gentiantrail-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// TestScenarios runs every script in testdata. README.md lists the commands.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":      command((*cluster).cmdStart),
			"crash":      command((*cluster).cmdCrash),
			"terminate":  command((*cluster).cmdTerminate),
			"terminated": command((*cluster).cmdTerminated),
			"restart":    command((*cluster).cmdRestart),
			"freeze":     command((*cluster).cmdFreeze),
			"thaw":       command((*cluster).cmdThaw),
			"cut":        command((*cluster).cmdCut),
			"heal":       command((*cluster).cmdHeal),
			"platform":   command((*cluster).cmdPlatform),
			"fault":      command((*cluster).cmdFault),
			"ctl":        command((*cluster).cmdCtl),
			"request":    command((*cluster).cmdRequest),
			"join":       command((*cluster).cmdJoin),
			"load":       command((*cluster).cmdLoad),
			"balance":    command((*cluster).cmdBalance),
			"expect":     command((*cluster).cmdExpect),
			"ranks":      command((*cluster).cmdRanks),
			"revision":   command((*cluster).cmdRevision),
			"garbage":    command((*cluster).cmdGarbage),
			"memory":     command((*cluster).cmdMemory),
			"pause":      command((*cluster).cmdPause),
		},
	})
}
