package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Decode stores fields into the struct that v points to, by its yaml tags.
// Struct fields that fields does not name keep their values, in nested structs too;
// lists and structs behind pointers are replaced as a whole.
func Decode(file string, fields []Field, v any) []Problem {
	target := reflect.ValueOf(v).Elem()
	problems := repeatedFields(file, fields)
	for _, f := range fields {
		problems = append(problems, decodeField(file, f, target)...)
	}
	return problems
}

func decodeField(file string, f Field, target reflect.Value) []Problem {
	i, ok := fieldIndex(target.Type(), f.Name)
	if !ok {
		return []Problem{unknownField(file, f, target.Type())}
	}
	if problems := checkShape(file, f, target.Type().Field(i).Type); len(problems) > 0 {
		return problems
	}
	if sub, ok := Fields(f.Node); ok {
		return Decode(file, sub, structPointer(target.Field(i)))
	}
	value := reflect.New(target.Type().Field(i).Type)
	if err := yaml.NodeToValue(f.Node, value.Interface(), yaml.CustomUnmarshaler(unmarshalDuration)); err != nil {
		p := problemFromError(file, f.Line, err)
		p.Text = fmt.Sprintf("field %s: %s", f.Name, p.Text)
		p.Fix = "write " + describe(value.Elem().Type())
		return []Problem{p}
	}
	target.Field(i).Set(value.Elem())
	return nil
}

// structPointer returns a pointer to the struct in field. A field that is a pointer is
// set to a new struct first.
func structPointer(field reflect.Value) any {
	if field.Kind() != reflect.Pointer {
		return field.Addr().Interface()
	}
	value := reflect.New(field.Type().Elem())
	field.Set(value)
	return value.Interface()
}

// checkShape reports unknown and repeated fields, empty values, anchors, aliases and
// values of the wrong kind in a field and below it.
func checkShape(file string, f Field, t reflect.Type) []Problem {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case f.Node == nil || f.Node.Type() == ast.NullType:
		return []Problem{{file, f.Line, "field " + f.Name + " has no value", "write " + describe(t) + " or remove the field"}}
	case f.Node.Type() == ast.AliasType || f.Node.Type() == ast.AnchorType:
		return []Problem{{file, f.Line, "field " + f.Name + " uses an anchor or alias", "write the value in full"}}
	case t.Kind() == reflect.Slice:
		return checkList(file, f, t.Elem())
	case t.Kind() == reflect.Struct:
		return checkStruct(file, f, t)
	default:
		return nil
	}
}

func checkList(file string, f Field, elem reflect.Type) []Problem {
	list, ok := f.Node.(*ast.SequenceNode)
	if !ok {
		return []Problem{{file, f.Line, "field " + f.Name + " is not a list", "write " + describe(reflect.SliceOf(elem))}}
	}
	var problems []Problem
	for i, node := range list.Values {
		item := Field{Name: fmt.Sprintf("%s[%d]", f.Name, i), Line: Line(node), Node: node}
		problems = append(problems, checkShape(file, item, elem)...)
	}
	return problems
}

func checkStruct(file string, f Field, t reflect.Type) []Problem {
	fields, ok := Fields(f.Node)
	if !ok {
		return []Problem{{file, f.Line, "field " + f.Name + " is not a mapping", "write its fields below it: " + strings.Join(fieldNames(t), ", ")}}
	}
	problems := repeatedFields(file, fields)
	for _, sub := range fields {
		i, ok := fieldIndex(t, sub.Name)
		if !ok {
			problems = append(problems, unknownField(file, sub, t))
			continue
		}
		problems = append(problems, checkShape(file, sub, t.Field(i).Type)...)
	}
	return problems
}

func unknownField(file string, f Field, t reflect.Type) Problem {
	return Problem{file, f.Line, "unknown field " + f.Name, "use one of: " + strings.Join(fieldNames(t), ", ")}
}

// fieldNames returns the YAML names of the fields of t.
func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if name := yamlName(t.Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if yamlName(t.Field(i)) == name {
			return i, true
		}
	}
	return 0, false
}

// yamlName returns the YAML name of a field, or "" if it has none.
func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

// unmarshalDuration parses a duration that has a unit.
func unmarshalDuration(d *time.Duration, text []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(strings.TrimSpace(string(text)), `"'`))
	if err != nil {
		return fmt.Errorf("%q is not a duration", text)
	}
	*d = parsed
	return nil
}

// describe returns how a value of type t is written, for the fix of a problem.
func describe(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return "a duration with its unit, for example 30s or 1500ms"
	}
	if d, ok := reflect.Zero(t).Interface().(interface{ DescribeYAML() string }); ok {
		return d.DescribeYAML()
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice:
		return "a list, each item on its own line after \"- \""
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	default:
		return "a value of the documented form"
	}
}
