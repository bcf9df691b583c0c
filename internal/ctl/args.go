package ctl

import "time"

// Args is the command line of gentiantrailctl.
type Args struct {
	Check   *CheckArgs  `arg:"subcommand:check" help:"check a configuration folder; needs no platform"`
	Diff    *DiffArgs   `arg:"subcommand:diff" help:"show what apply would change"`
	Apply   *ApplyArgs  `arg:"subcommand:apply" help:"publish a configuration folder"`
	Pull    *PullArgs   `arg:"subcommand:pull" help:"take others' changes from the platform into a folder"`
	Status  *StatusArgs `arg:"subcommand:status" help:"show the revision, the drains and who has the revision in force"`
	Drain   *DrainArgs  `arg:"subcommand:drain" help:"let an availability zone or an instance take no new work"`
	Undrain *DrainArgs  `arg:"subcommand:undrain" help:"let a drained availability zone or instance take work again"`
	Dump    *DumpArgs   `arg:"subcommand:dump" help:"print a process's state"`

	Platform string        `arg:"--platform,env:GENTIANTRAIL_PLATFORM" placeholder:"ADDR" help:"address of the platform's object API, host:port"`
	Output   string        `arg:"--output" default:"text" placeholder:"FORM" help:"text or json"`
	Timeout  time.Duration `arg:"--timeout" default:"10s" help:"longest time for the whole command"`
}

// CheckArgs are the arguments of check.
type CheckArgs struct {
	Dir string `arg:"positional,required" help:"configuration folder"`
}

// DiffArgs are the arguments of diff.
type DiffArgs struct {
	Dir     string `arg:"positional,required" help:"configuration folder"`
	Replace bool   `arg:"--replace" help:"compare as apply --replace would"`
}

// ApplyArgs are the arguments of apply.
type ApplyArgs struct {
	Dir     string `arg:"positional,required" help:"configuration folder"`
	EditID  string `arg:"--edit-id" placeholder:"ID" help:"name of this edit; a repeat with the same name is accepted once [default: random]"`
	Base    uint64 `arg:"--base" placeholder:"REVISION" help:"the folder was compared with this revision; it must still be the newest"`
	Replace bool   `arg:"--replace" help:"the folder replaces whatever is in the platform, others' changes included"`
	Floor   uint64 `arg:"--floor" placeholder:"REVISION" help:"least revision to make; only after the platform was restored from an old copy"`
}

// PullArgs are the arguments of pull.
type PullArgs struct {
	Dir string `arg:"positional,required" help:"configuration folder; made if it does not exist"`
}

// StatusArgs are the arguments of status.
type StatusArgs struct {
	Admin []string `arg:"--admin,separate" placeholder:"ADDR" help:"admin address of a process to ask; may be repeated"`
}

// DrainArgs are the arguments of drain and undrain.
type DrainArgs struct {
	Scope  string `arg:"positional,required" help:"zone or instance"`
	Name   string `arg:"positional,required" help:"name of the availability zone or the instance"`
	EditID string `arg:"--edit-id" placeholder:"ID" help:"name of this edit; a repeat with the same name is accepted once [default: random]"`
}

// DumpArgs are the arguments of dump.
type DumpArgs struct {
	Addr string `arg:"positional,required" help:"admin address of the process, host:port"`
}

// Description implements arg.Described.
func (Args) Description() string {
	return "gentiantrailctl checks, publishes and shows the configuration of gentiantrail."
}

// Epilogue implements arg.Epilogued.
func (Args) Epilogue() string {
	return `Exit codes:
  0  done; for diff: no difference; for status: every asked process has the revision in force
  1  a problem or a difference was found; nothing was changed
  2  the command line is wrong
  3  conflict with another operator's change; nothing was changed
  4  the platform is unavailable; nothing was changed
  5  unclear whether the change was accepted: repeat the command with the printed --edit-id
  6  a process did not answer on its admin address
  7  the platform holds something damaged, or another failure; nothing was changed

Files *.yaml are merged in the order of their names. apply and pull note in
DIR/.gentiantrail-base.json what the folder was in step with; keep it with the folder.

Examples:
  gentiantrailctl check examples/seri-kenanga
  gentiantrailctl apply examples/seri-kenanga --platform 127.0.0.1:7300
  gentiantrailctl drain zone sk-a --platform 127.0.0.1:7300
  gentiantrailctl status --platform 127.0.0.1:7300 --admin 10.0.0.7:7200 --admin 10.0.0.8:7200`
}
