package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/gentiantrail/gentiantrail/internal/config/strictyaml"
)

// position is a position in a file.
type position struct {
	file string
	line int
}

// object is one named object during a merge.
type object[T any] struct {
	value T
	// at is where the object was defined or last overridden.
	at position
	// fields contains the positions of fields by path, for example routes[0].path.
	fields map[string]position
}

// problem returns a problem at the field with the given path, or at the object
// if no file sets the field.
func (o *object[T]) problem(path, text, fix string) Problem {
	at, ok := o.fields[path]
	if !ok {
		at = o.at
	}
	return Problem{File: at.file, Line: at.line, Text: text, Fix: fix}
}

// section is the set of objects of one kind during a merge.
type section[T any] struct {
	// kind is the name of the kind in problems, for example "organisation".
	kind string
	// defaults returns an object with its default values.
	defaults func() T
	// setName stores the object's name.
	setName func(*T, string)
	objects map[string]*object[T]
}

// directives are the fields that control the merge of an object.
type directives struct {
	Name     string `yaml:"name"`
	Override bool   `yaml:"override"`
	Remove   bool   `yaml:"remove"`
}

// add merges the list of objects in field f of a file.
func (s *section[T]) add(file string, f strictyaml.Field) []Problem {
	list, ok := f.Node.(*ast.SequenceNode)
	if !ok {
		return []Problem{{File: file, Line: f.Line, Text: f.Name + " is not a list", Fix: "write each object after \"- name: NAME\""}}
	}
	var problems []Problem
	for _, node := range list.Values {
		problems = append(problems, s.addObject(file, node)...)
	}
	return problems
}

func (s *section[T]) addObject(file string, node ast.Node) []Problem {
	at := position{file, strictyaml.Line(node)}
	fields, ok := strictyaml.Fields(node)
	if !ok {
		return []Problem{{File: file, Line: at.line, Text: "the " + s.kind + " is not a mapping", Fix: "write \"- name: NAME\" and its fields below"}}
	}
	var d directives
	directiveFields, rest := splitDirectives(fields)
	if problems := strictyaml.Decode(file, directiveFields, &d); len(problems) > 0 {
		return problems
	}
	if !namePattern.MatchString(d.Name) {
		return []Problem{{File: file, Line: at.line, Text: fmt.Sprintf("%s name %q is not usable", s.kind, d.Name), Fix: nameFix}}
	}
	earlier := s.objects[d.Name]
	if problem, ok := s.checkDirectives(at, d, earlier, len(rest)); !ok {
		return []Problem{problem}
	}
	if d.Remove {
		delete(s.objects, d.Name)
		return nil
	}
	return s.define(at, d.Name, earlier, rest)
}

// define decodes an object's fields over its defaults, or over its earlier definition.
func (s *section[T]) define(at position, name string, earlier *object[T], fields []strictyaml.Field) []Problem {
	o := &object[T]{value: s.defaults(), at: at, fields: map[string]position{}}
	if earlier != nil {
		o.value = earlier.value
		maps.Copy(o.fields, earlier.fields)
	}
	s.setName(&o.value, name)
	problems := strictyaml.Decode(at.file, fields, &o.value)
	recordPositions(o.fields, at.file, "", fields)
	s.objects[name] = o
	return problems
}

// checkDirectives checks that an object which exists already is either overridden or
// removed, and that a new object is neither. An object to remove must have no other
// fields.
func (s *section[T]) checkDirectives(at position, d directives, earlier *object[T], fields int) (Problem, bool) {
	p := Problem{File: at.file, Line: at.line}
	switch {
	case d.Override && d.Remove:
		p.Text, p.Fix = s.kind+" "+d.Name+" has both override and remove", "keep one of them"
	case d.Remove && fields > 0:
		p.Text, p.Fix = s.kind+" "+d.Name+" is removed but has fields", "keep only name and remove"
	case (d.Override || d.Remove) && earlier == nil:
		p.Text = fmt.Sprintf("%s %s is not defined in an earlier file", s.kind, d.Name)
		p.Fix = "correct the name, or delete the field override or remove"
	case !d.Override && !d.Remove && earlier != nil:
		p.Text = fmt.Sprintf("%s %s is already defined at %s:%d", s.kind, d.Name, earlier.at.file, earlier.at.line)
		p.Fix = "choose another name, or add \"override: true\" to change it here"
	default:
		return p, true
	}
	return p, false
}

// sorted returns the merged objects, sorted by name.
func (s *section[T]) sorted() []*object[T] {
	var list []*object[T]
	for _, name := range slices.Sorted(maps.Keys(s.objects)) {
		list = append(list, s.objects[name])
	}
	return list
}

// values returns the values of objects.
func values[T any](objects []*object[T]) []T {
	var list []T
	for _, o := range objects {
		list = append(list, o.value)
	}
	return list
}

func splitDirectives(fields []strictyaml.Field) (directiveFields, others []strictyaml.Field) {
	for _, f := range fields {
		switch f.Name {
		case "name", "override", "remove":
			directiveFields = append(directiveFields, f)
		default:
			others = append(others, f)
		}
	}
	return directiveFields, others
}

// recordPositions records the position of each field under its path, which begins with prefix.
func recordPositions(positions map[string]position, file, prefix string, fields []strictyaml.Field) {
	for _, f := range fields {
		path := prefix + f.Name
		removePositionsBelow(positions, path)
		positions[path] = position{file, f.Line}
		if sub, ok := strictyaml.Fields(f.Node); ok {
			recordPositions(positions, file, path+".", sub)
		}
		list, ok := f.Node.(*ast.SequenceNode)
		if !ok {
			continue
		}
		for i, node := range list.Values {
			item := fmt.Sprintf("%s[%d]", path, i)
			positions[item] = position{file, strictyaml.Line(node)}
			if sub, ok := strictyaml.Fields(node); ok {
				recordPositions(positions, file, item+".", sub)
			}
		}
	}
}

// removePositionsBelow removes the positions below path, which a later definition has replaced.
func removePositionsBelow(positions map[string]position, path string) {
	maps.DeleteFunc(positions, func(p string, _ position) bool {
		return strings.HasPrefix(p, path+".") || strings.HasPrefix(p, path+"[")
	})
}
