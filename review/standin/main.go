// Command standin plays the cases of the review: it starts the programs of the deploy file with a
// store, servers and clients on loopback addresses, and judges what these have seen. It exits with
// 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the plays by their names. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){}

func main() {
	name := flag.String("case", "", "name of the case")
	trouble := flag.String("trouble", "1", "0 leaves out the disruptions; orphan and blame: fault leaves out all but the final fault; blame: crash all but the crash")
	record := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	// The programs end with this process; see Pdeathsig.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		os.Exit(2)
	}()
	w, err := newWorld(*record, *trouble)
	broken := false
	if err == nil {
		if broken, err = play(w); err != nil {
			w.logf("the case could not run: %v", err)
		}
		w.close()
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	default:
		fmt.Println("the rule held")
	}
}
