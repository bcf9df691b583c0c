package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/gentiantrail/gentiantrail/internal/config/strictyaml"
)

// place is a position in a file.
type place struct {
	file string
	line int
}

// object is one named object while files are merged.
type object[T any] struct {
	value T
	// at is where the object was defined or last overridden.
	at place
	// fields holds the places of fields by path, for example routes[0].path.
	fields map[string]place
}

// problem returns a problem at the field with the given path, or at the object
// if no file names the field.
func (o *object[T]) problem(path, text, fix string) Problem {
	at, ok := o.fields[path]
	if !ok {
		at = o.at
	}
	return Problem{File: at.file, Line: at.line, Text: text, Fix: fix}
}

// section holds the objects of one kind while files are merged.
type section[T any] struct {
	// kind names the objects in problems, for example "organisation".
	kind string
	// defaults returns an object with its default values.
	defaults func() T
	// setName stores the object's name.
	setName func(*T, string)
	objects map[string]*object[T]
}

// marks are the fields that steer the merge of an object.
type marks struct {
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
	at := place{file, strictyaml.Line(node)}
	fields, ok := strictyaml.Fields(node)
	if !ok {
		return []Problem{{File: file, Line: at.line, Text: "the " + s.kind + " is not a mapping", Fix: "write \"- name: NAME\" and its fields below"}}
	}
	var m marks
	own, rest := splitMarks(fields)
	if problems := strictyaml.Decode(file, own, &m); len(problems) > 0 {
		return problems
	}
	if !nameForm.MatchString(m.Name) {
		return []Problem{{File: file, Line: at.line, Text: fmt.Sprintf("%s name %q is not usable", s.kind, m.Name), Fix: nameFix}}
	}
	earlier := s.objects[m.Name]
	if problem, ok := s.checkMarks(at, m, earlier, len(rest)); !ok {
		return []Problem{problem}
	}
	if m.Remove {
		delete(s.objects, m.Name)
		return nil
	}
	return s.define(at, m.Name, earlier, rest)
}

// define decodes an object's fields over its defaults, or over the earlier object.
func (s *section[T]) define(at place, name string, earlier *object[T], fields []strictyaml.Field) []Problem {
	o := &object[T]{value: s.defaults(), at: at, fields: map[string]place{}}
	if earlier != nil {
		o.value = earlier.value
		maps.Copy(o.fields, earlier.fields)
	}
	s.setName(&o.value, name)
	problems := strictyaml.Decode(at.file, fields, &o.value)
	notePlaces(o.fields, at.file, "", fields)
	s.objects[name] = o
	return problems
}

// checkMarks checks that an object is overridden or removed exactly if it exists.
func (s *section[T]) checkMarks(at place, m marks, earlier *object[T], fields int) (Problem, bool) {
	p := Problem{File: at.file, Line: at.line}
	switch {
	case m.Override && m.Remove:
		p.Text, p.Fix = s.kind+" "+m.Name+" has both override and remove", "keep one of them"
	case m.Remove && fields > 0:
		p.Text, p.Fix = s.kind+" "+m.Name+" is removed but has fields", "keep only name and remove"
	case (m.Override || m.Remove) && earlier == nil:
		p.Text = fmt.Sprintf("%s %s is not defined in an earlier file", s.kind, m.Name)
		p.Fix = "correct the name, or take override or remove away"
	case !m.Override && !m.Remove && earlier != nil:
		p.Text = fmt.Sprintf("%s %s is already defined at %s:%d", s.kind, m.Name, earlier.at.file, earlier.at.line)
		p.Fix = "choose another name, or add \"override: true\" to change it here"
	default:
		return p, true
	}
	return p, false
}

// sorted returns the merged objects by name.
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

func splitMarks(fields []strictyaml.Field) (own, rest []strictyaml.Field) {
	for _, f := range fields {
		switch f.Name {
		case "name", "override", "remove":
			own = append(own, f)
		default:
			rest = append(rest, f)
		}
	}
	return own, rest
}

// notePlaces records the place of each field below prefix.
func notePlaces(into map[string]place, file, prefix string, fields []strictyaml.Field) {
	for _, f := range fields {
		path := prefix + f.Name
		forgetPlaces(into, path)
		into[path] = place{file, f.Line}
		if sub, ok := strictyaml.Fields(f.Node); ok {
			notePlaces(into, file, path+".", sub)
		}
		list, ok := f.Node.(*ast.SequenceNode)
		if !ok {
			continue
		}
		for i, node := range list.Values {
			item := fmt.Sprintf("%s[%d]", path, i)
			into[item] = place{file, strictyaml.Line(node)}
			if sub, ok := strictyaml.Fields(node); ok {
				notePlaces(into, file, item+".", sub)
			}
		}
	}
}

// forgetPlaces drops the places below path, which a later file has replaced.
func forgetPlaces(in map[string]place, path string) {
	maps.DeleteFunc(in, func(p string, _ place) bool {
		return strings.HasPrefix(p, path+".") || strings.HasPrefix(p, path+"[")
	})
}
