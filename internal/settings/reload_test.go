package settings

import (
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// changeEach calls check for each setting of a value in turn, with a copy in which only this setting differs.
func changeEach[T any](t *testing.T, base *T, check func(name string, changed *T)) {
	t.Helper()
	var walk func(prefix string, path []int, typ reflect.Type)
	walk = func(prefix string, path []int, typ reflect.Type) {
		for i := range typ.NumField() {
			field := typ.Field(i)
			name, at := prefix+field.Tag.Get("yaml"), append(slices.Clone(path), i)
			if field.Type.Kind() == reflect.Struct {
				walk(name+".", at, field.Type)
				continue
			}
			changed := *base
			v := reflect.ValueOf(&changed).Elem().FieldByIndex(at)
			switch v.Kind() {
			case reflect.String:
				v.SetString(v.String() + "x")
			case reflect.Bool:
				v.SetBool(!v.Bool())
			case reflect.Float64:
				v.SetFloat(v.Float() + 1)
			default:
				v.SetInt(v.Int() + 1)
			}
			check(name, &changed)
		}
	}
	walk("", nil, reflect.TypeFor[T]())
}

// Guards against a changed setting that neither takes effect at a reload nor is named in the log: every setting of
// the processes that reload is one or the other.
func TestEverySettingIsLiveOrNeedsARestart(t *testing.T) {
	live := map[string]bool{}
	changeEach(t, &Gateway{}, func(name string, changed *Gateway) {
		names := NeedRestart(&Gateway{}, changed)
		if live[name] = len(names) == 0; !live[name] {
			assert.DeepEqual(t, names, []string{name})
		}
	})
	for name, isLive := range live {
		want := slices.Contains([]string{
			"limits.retry_ratio", "limits.retry_slack", "limits.retry_window", "limits.cold_factor", "limits.cold_slack",
			"limits.drain_timeout", "limits.stop_timeout", "zone_routing.enabled", "zone_routing.cost_ms",
		}, name)
		assert.Equal(t, isLive, want, "%s: see TestEveryLiveSettingIsInForceAfterAReload", name)
	}
	changeEach(t, &Mapper{}, func(name string, changed *Mapper) {
		assert.DeepEqual(t, NeedRestart(&Mapper{}, changed), []string{name})
	})
}
