// Package strictyaml decodes YAML files that people write, and reports each
// fault with its file, its line and a suggested fix.
//
// Unknown and repeated fields, several documents in a file, numbers without a
// unit where a unit is needed, and values of the wrong type are rejected.
package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one fault in a file.
type Problem struct {
	// File is the file's name; empty if the problem does not concern a single file.
	File string `json:"file"`
	// Line is the line in File, from 1; zero if the problem concerns the whole file.
	Line int `json:"line"`
	// Text describes the fault.
	Text string `json:"text"`
	// Fix describes what to write instead.
	Fix string `json:"fix"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	b.WriteString(p.Text)
	if p.Fix != "" {
		b.WriteString("; " + p.Fix)
	}
	return b.String()
}
