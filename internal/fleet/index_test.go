package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against levels of a service from routes that send it nothing, and from routes of the same
// priority.
func TestPriorityLevels(t *testing.T) {
	c := &Config{
		Routes: []Route{
			{Priority: 2, Split: []WeightedService{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}},
			{Priority: 0, Split: []WeightedService{{Service: "s", Weight: 1}, {Service: "u", Weight: 0}}},
			{Priority: 2, Split: []WeightedService{{Service: "s", Weight: 1}, {Service: "u", Weight: 1}}},
		},
		Services: []Service{{Name: "s", Engine: &Engine{}}, {Name: "t"}, {Name: "u"}, {Name: "v"}},
	}
	x := NewIndex(c)
	for name, want := range map[string][]int{"s": {0, 2}, "t": {2}, "u": {2}, "v": nil} {
		assert.DeepEqual(t, c.PriorityLevels(name), want)
		assert.Equal(t, x.HasLevels(name), len(want) > 1, name)
	}
}
