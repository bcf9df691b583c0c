// Package ctl implements gentiantrailctl, the operators' command-line tool. It checks,
// compares and publishes configuration folders, drains availability zones and
// instances, and shows the state of the platform and of processes.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// program is the name of the command.
const program = "gentiantrailctl"

// The output formats.
const (
	outputText = "text"
	outputJSON = "json"
)

// Run runs the command with argv, the arguments after the program's name, and returns
// its exit code.
func Run(argv []string, out, errOut io.Writer) ExitCode {
	var args Args
	parser, err := arg.NewParser(arg.Config{Program: program}, &args)
	if err != nil {
		fmt.Fprintln(errOut, "error:", err)
		return ExitFailure
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		fmt.Fprintln(errOut, "error:", err)
		_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...)
		return ExitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(errOut)
		return ExitUsage
	case args.Output != outputText && args.Output != outputJSON:
		fmt.Fprintln(errOut, "error: --output is text or json")
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Timeout)
	defer cancel()
	report := &Report{Command: parser.SubcommandNames()[0]}
	report.recordError(run(ctx, &args, report))
	report.write(out, errOut, args.Output)
	return report.ExitCode
}

// run runs the chosen subcommand and fills the report.
func run(ctx context.Context, args *Args, r *Report) error {
	switch {
	case args.Check != nil:
		return check(args.Check, r)
	case args.Dump != nil:
		return dump(ctx, args.Dump, r)
	}
	p, err := publisher(args)
	if err != nil {
		return err
	}
	switch {
	case args.Diff != nil:
		return diff(ctx, p, args.Diff, r)
	case args.Apply != nil:
		return apply(ctx, p, args.Apply, r)
	case args.Pull != nil:
		return pull(ctx, p, args.Pull, r)
	case args.Drain != nil:
		return drain(ctx, p, args.Drain, true, r)
	case args.Undrain != nil:
		return drain(ctx, p, args.Undrain, false, r)
	default:
		return status(ctx, p, args.Status, r)
	}
}

func publisher(args *Args) (*config.Publisher, error) {
	if args.Platform == "" {
		return nil, &usageError{"--platform is missing; give the address of the platform's object API"}
	}
	return &config.Publisher{Store: platform.NewClient(args.Platform, platform.Options{})}, nil
}

// recordError records an error, its exit code and a hint on what the operator should do.
// A nil error changes nothing.
func (r *Report) recordError(err error) {
	if err == nil {
		return
	}
	r.Error = err.Error()
	r.ExitCode, r.Hint = explain(err)
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		r.Problems = invalid.Problems
		r.Error = fmt.Sprintf("invalid configuration: %d problems", len(invalid.Problems))
	}
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		r.Conflict = conflict.Files
		r.Error = fmt.Sprintf("conflict with revision %d", conflict.Revision)
	}
	var noBase *noBaseError
	if errors.As(err, &noBase) {
		r.Diff = &Diff{Revision: noBase.revision, Changes: noBase.changes}
	}
}
