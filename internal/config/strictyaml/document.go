package strictyaml

import (
	"errors"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Field is one key of a mapping with its value.
type Field struct {
	// Name is the key.
	Name string
	// Line is the key's line.
	Line int
	// Node is the value.
	Node ast.Node
}

// Parse returns the fields of the mapping that is the file's only document. An
// empty file has no fields.
func Parse(file string, content []byte) ([]Field, []Problem) {
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, []Problem{problemFromError(file, 0, err)}
	}
	docs := nonEmpty(parsed.Docs)
	if len(docs) == 0 {
		return nil, nil
	}
	if len(docs) > 1 {
		return nil, []Problem{{file, line(docs[1].Body), "the file contains more than one document", "use one file for each document"}}
	}
	fields, ok := Fields(docs[0].Body)
	if !ok {
		return nil, []Problem{{file, line(docs[0].Body), "the file is not a mapping", "begin with a field, for example \"name: value\""}}
	}
	return fields, repeatedFields(file, fields)
}

// Fields returns the fields of a mapping, or false if node is not a mapping.
func Fields(node ast.Node) ([]Field, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		fields := make([]Field, 0, len(n.Values))
		for _, v := range n.Values {
			fields = append(fields, newField(v))
		}
		return fields, true
	case *ast.MappingValueNode:
		return []Field{newField(n)}, true
	default:
		return nil, false
	}
}

func newField(v *ast.MappingValueNode) Field {
	return Field{Name: v.Key.GetToken().Value, Line: line(v.Key), Node: v.Value}
}

func nonEmpty(docs []*ast.DocumentNode) []*ast.DocumentNode {
	var kept []*ast.DocumentNode
	for _, d := range docs {
		if d.Body != nil && d.Body.Type() != ast.NullType && d.Body.Type() != ast.CommentType {
			kept = append(kept, d)
		}
	}
	return kept
}

func repeatedFields(file string, fields []Field) []Problem {
	var problems []Problem
	seen := make(map[string]bool, len(fields))
	for _, f := range fields {
		if seen[f.Name] {
			problems = append(problems, Problem{file, f.Line, "field " + f.Name + " is repeated", "keep one of them"})
		}
		seen[f.Name] = true
	}
	return problems
}

// line returns the line on which node begins.
func line(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// Line returns the line on which node begins; for a mapping, the line of its first key.
func Line(node ast.Node) int {
	if fields, ok := Fields(node); ok && len(fields) > 0 {
		return fields[0].Line
	}
	return line(node)
}

// problemFromError returns the problem that a YAML error describes; at is the line to
// report if the error has none.
func problemFromError(file string, at int, err error) Problem {
	text := err.Error()
	var positioned yaml.Error
	if errors.As(err, &positioned) {
		text = positioned.GetMessage()
		if tk := positioned.GetToken(); tk != nil {
			at = tk.Position.Line
		}
	}
	text, _, _ = strings.Cut(text, "\n")
	return Problem{File: file, Line: at, Text: text}
}
