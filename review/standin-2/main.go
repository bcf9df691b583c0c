// Command standin2 runs the cases of the second review: it starts the project's programs as separate processes,
// with stand-ins for the platform's store, the servers and the clients.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds a run.
const longest = 110 * time.Second

// cases are the cases by their names.
var cases = map[string]func(targets, folder string, trouble bool, rec *recorder) (int, error){
	"maps": mapsCase,
	"cold": coldCase,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	targets := flag.String("targets", "", "folder with the project's programs")
	record := flag.String("record", "", "path of the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	c, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case:", *name)
		return exitNotRun
	}
	folder := os.Getenv("KEEP")
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "review-2-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	rec.printf("case %s, trouble %v", *name, *trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	go func() {
		code, err := c(*targets, folder, *trouble, rec)
		done <- outcome{code, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			rec.printf("the case could not run: %v", o.err)
			fmt.Fprintln(os.Stderr, o.err)
		}
		return o.code
	case <-signals: // the processes end with this one
		rec.printf("ended by a signal")
	case <-time.After(longest):
		rec.printf("the case took too long")
	}
	return exitNotRun
}

// serve listens on an address and handles its requests until the process ends.
func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}
