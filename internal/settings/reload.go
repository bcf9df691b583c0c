package settings

import (
	"reflect"
	"strings"
)

// A field with this tag takes effect at a reload, and so do all fields of its structure. All others take effect at
// the next start.
const (
	reloadTag  = "reload"
	reloadLive = "live"
)

// NeedRestart returns the names of the settings that differ between two values of one type and take effect only
// at the next start.
func NeedRestart[T any](inForce, changed *T) []string {
	return differences("", reflect.ValueOf(*inForce), reflect.ValueOf(*changed))
}

// differences returns the names of the fields that differ and are not live, behind the name of their structure.
func differences(prefix string, a, b reflect.Value) []string {
	var names []string
	for i := range a.NumField() {
		field := a.Type().Field(i)
		if field.Tag.Get(reloadTag) == reloadLive {
			continue
		}
		name := prefix + strings.Split(field.Tag.Get("yaml"), ",")[0]
		switch {
		case field.Type.Kind() == reflect.Struct:
			names = append(names, differences(name+".", a.Field(i), b.Field(i))...)
		case !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()):
			names = append(names, name)
		}
	}
	return names
}
