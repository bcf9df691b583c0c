// Package daemon contains the steps of start-up and shutdown that the programs share:
// command line, logger, metrics, incarnation, signals and exit codes.
package daemon

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

// Exit codes of the daemons.
const (
	// ExitOK follows a graceful stop.
	ExitOK = 0
	// ExitFailure follows a failure while running.
	ExitFailure = 1
	// ExitUsage follows an invalid command line or invalid settings.
	ExitUsage = 2
	// ExitForced follows a stop whose timeout ended while requests were still in flight.
	ExitForced = 3
)

// Args is the command line of a daemon.
type Args struct {
	// Settings is the path of the settings file.
	Settings string `arg:"--settings,required" help:"path of the YAML settings file"`
	// Check ends the program after the settings have been checked.
	Check bool `arg:"--check" help:"check the settings and exit"`
}

// ParseArgs parses the command line; it exits with ExitUsage if it is invalid.
func ParseArgs() Args {
	var args Args
	p, err := arg.NewParser(arg.Config{Exit: exitUsage}, &args)
	if err != nil {
		Fail(ExitFailure, err)
	}
	p.MustParse(os.Args[1:])
	return args
}

// Main loads the settings file that the command line names, and runs the program with
// it unless --check is given.
func Main[S any](load func(path string) (S, error), run func(path string, s S) error) {
	signal.Notify(reloadSignals, syscall.SIGHUP)
	signal.Notify(stopSignals, syscall.SIGTERM, os.Interrupt)
	args := ParseArgs()
	s, err := load(args.Settings)
	if err != nil {
		Fail(ExitUsage, err)
	}
	if !args.Check {
		Exit(run(args.Settings, s))
	}
}

// exitUsage maps go-arg's exit codes to the daemon's.
func exitUsage(code int) {
	if code != 0 {
		code = ExitUsage
	}
	os.Exit(code)
}

// failTimeout bounds how long Fail waits for a reader of standard error.
const failTimeout = time.Second

// Fail ends the program with one line on standard error, unless nobody reads it.
func Fail(code int, err error) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		fmt.Fprintln(os.Stderr, err)
	}()
	select {
	case <-written:
	case <-time.After(failTimeout):
	}
	os.Exit(code)
}

// newIncarnation returns a random number, never zero, that identifies this start of the
// process.
func newIncarnation() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.LittleEndian.Uint64(raw[:]) | 1
}

// Main subscribes these channels, so that a signal during the start is acted on after it
// instead of ending the process.
var (
	reloadSignals = make(chan os.Signal, 1) // SIGHUP
	stopSignals   = make(chan os.Signal, 1) // SIGTERM and SIGINT
)

// StopSignals returns the channel that receives SIGTERM and SIGINT.
func StopSignals() <-chan os.Signal { return stopSignals }

// LogStart logs the start of the daemon.
func (p *Process) LogStart() {
	p.Logger.Info().Str("event", "start").Str("availability_zone", p.Identity.AvailabilityZone).
		Uint64("incarnation", p.Identity.Incarnation).Int("pid", os.Getpid()).Msg("")
}

// Exit ends the program with the code for err.
func Exit(err error) {
	switch {
	case err == nil:
		os.Exit(ExitOK)
	case errors.Is(err, ErrStopTimeout):
		Fail(ExitForced, err)
	default:
		Fail(ExitFailure, err)
	}
}

// ErrStopTimeout means that requests were still in flight when the stop timeout ended, or that
// their callers had not taken the answers.
var ErrStopTimeout = errors.New("stop timeout: requests are still in flight")
