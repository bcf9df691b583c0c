// Package settings loads the YAML file that a process reads at its start: its name,
// availability zone, addresses and limits. The comments of the struct fields are the
// reference of the settings. The configuration that operators change while processes
// run is in package config instead.
package settings

import (
	"fmt"
	"os"

	"github.com/gentiantrail/gentiantrail/internal/config/strictyaml"
)

// Error reports a settings file that cannot be used; its text fits on one line.
type Error struct {
	// Problem is the first problem in the file.
	Problem strictyaml.Problem
	// More is the number of further problems.
	More int
}

// Error returns the file, the line, the problem and what to write instead.
func (e *Error) Error() string {
	text := "settings: " + e.Problem.String()
	if e.More > 0 {
		text += fmt.Sprintf(" (and %d more)", e.More)
	}
	return text
}

// checkable is implemented by the settings struct of each program.
type checkable interface {
	check(c *checker)
}

// load decodes the file at path over the defaults in v and checks the result.
func load(path string, v checkable) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return &Error{Problem: strictyaml.Problem{File: path, Text: "the file cannot be read", Fix: "name a readable settings file"}}
	}
	fields, problems := strictyaml.Parse(path, content)
	if len(problems) == 0 {
		problems = strictyaml.Decode(path, fields, v)
	}
	if len(problems) == 0 {
		c := &checker{file: path, fields: fields}
		v.check(c)
		problems = c.problems
	}
	if len(problems) > 0 {
		return &Error{Problem: problems[0], More: len(problems) - 1}
	}
	return nil
}
