package ctl

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/gentiantrail/gentiantrail/internal/config"
)

// Report is the outcome of one command, in the form that --output json prints.
type Report struct {
	Command  string                `json:"command"`
	ExitCode ExitCode              `json:"exit_code"`
	Error    string                `json:"error,omitempty"`
	Hint     string                `json:"hint,omitempty"`
	Notes    []string              `json:"notes,omitempty"`
	Problems []config.Problem      `json:"problems,omitempty"`
	Conflict []config.FileConflict `json:"conflict,omitempty"`
	Summary  *Summary              `json:"summary,omitempty"`
	Diff     *Diff                 `json:"diff,omitempty"`
	Result   *config.Result        `json:"result,omitempty"`
	Status   *Status               `json:"status,omitempty"`
	State    json.RawMessage       `json:"state,omitempty"`
}

// Summary counts the objects of a valid folder.
type Summary struct {
	Files             int `json:"files"`
	Organisations     int `json:"organisations"`
	Services          int `json:"services"`
	AvailabilityZones int `json:"availability_zones"`
	Pools             int `json:"pools"`
}

// Diff lists what apply would change.
type Diff struct {
	// Revision is the newest revision in the platform.
	Revision uint64 `json:"revision"`
	// Changes are the files that apply would change.
	Changes []config.FileChange `json:"changes"`
	// Objects are the objects that apply would change.
	Objects []config.ObjectChange `json:"objects"`
	// RemoteChanges are the files that others changed and that apply would keep.
	RemoteChanges []config.FileChange `json:"theirs,omitempty"`
}

// write prints the report in the given output format: as text, its result to out and its
// error to errOut; as JSON, all of it to out.
func (r *Report) write(out, errOut io.Writer, format string) {
	if format == outputJSON {
		raw, _ := json.MarshalIndent(r, "", "  ")
		fmt.Fprintln(out, string(raw))
		return
	}
	r.writeResult(out)
	for _, p := range r.Problems {
		fmt.Fprintln(errOut, p)
	}
	for _, c := range r.Conflict {
		fmt.Fprintln(errOut, "conflict:", c)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(errOut, "note:", n)
	}
	if r.Error != "" {
		fmt.Fprintln(errOut, "error:", r.Error)
	}
	if r.Hint != "" {
		fmt.Fprintln(errOut, "hint:", r.Hint)
	}
}

func (r *Report) writeResult(out io.Writer) {
	switch {
	case r.Summary != nil:
		s := r.Summary
		fmt.Fprintf(out, "valid: %d files, %d organisations, %d services, %d availability zones, %d pools\n",
			s.Files, s.Organisations, s.Services, s.AvailabilityZones, s.Pools)
	case r.Diff != nil:
		r.Diff.write(out)
	case r.Result != nil:
		writeResult(out, r.Result)
	case r.Status != nil:
		r.Status.write(out)
	case r.State != nil:
		fmt.Fprintln(out, string(r.State))
	}
}

func (d *Diff) write(out io.Writer) {
	fmt.Fprintf(out, "platform: revision %d\n", d.Revision)
	for _, c := range d.Changes {
		fmt.Fprintf(out, "%-8s %s\n", c.Kind, c.Name)
	}
	for _, o := range d.Objects {
		fmt.Fprintf(out, "%-8s %s %s\n", o.Kind, o.ObjectKind, o.Name)
	}
	for _, c := range d.RemoteChanges {
		fmt.Fprintf(out, "kept     %s (%s by others)\n", c.Name, c.Kind)
	}
	if len(d.Changes) == 0 {
		fmt.Fprintln(out, "no difference")
	}
}

func writeResult(out io.Writer, r *config.Result) {
	switch {
	case r.Repeated:
		fmt.Fprintf(out, "revision %d already holds edit %s\n", r.Revision, r.EditID)
	case r.Unchanged:
		fmt.Fprintf(out, "nothing to change at revision %d\n", r.Revision)
	default:
		fmt.Fprintf(out, "revision %d accepted, edit %s\n", r.Revision, r.EditID)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(out, "%-8s %s\n", c.Kind, c.Name)
	}
	for _, c := range r.RemoteChanges {
		fmt.Fprintf(out, "kept     %s (%s by others; run pull)\n", c.Name, c.Kind)
	}
}
