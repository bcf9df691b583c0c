// Command standin-4 plays the cases of the third review that can't be written as a day of the bench. It starts the
// project's programs as processes, and simulates the platform's store, servers and clients around them.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what a case plays in.
type scene struct {
	// root is the folder of the repository, and dir a temporary folder.
	root, dir string
	trouble   bool
	record    *record
	processes []*process
}

// cases contains the cases by name; each registers itself.
var cases = map[string]func(*scene) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-4 CASE REPOSITORY RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s := &scene{root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r}
	r.linef("case %s, with the disruption: %t", os.Args[1], s.trouble)
	broken, err := cases[os.Args[1]](s)
	for _, p := range s.processes {
		p.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(dir))
	}
	_ = os.RemoveAll(dir)
	switch {
	case err != nil:
		r.linef("the case could not run: %v", err)
		return exitNotRun
	case broken:
		r.linef("the rule was broken")
		return exitBroken
	default:
		r.linef("the rule was kept")
		return exitHeld
	}
}
