// Command standin-3 runs the cases of the review that need stand-ins of their own: the platform's store, servers,
// clients and a proxy between gateways. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps the name of a case to its run, which reports whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"garbled-status-line": garbledStatusLine,
	"longer-grace":        longerGrace,
	"started-again":       startedAgain,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		w.close()
		os.Exit(2)
	}()
	broken, err := cases[os.Args[1]](w)
	code := 0
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		code = 2
	case broken:
		w.note("the rule was broken")
		code = 1
	default:
		w.note("the rule held")
	}
	w.close()
	os.Exit(code)
}
