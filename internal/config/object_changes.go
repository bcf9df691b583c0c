package config

import (
	"reflect"
	"slices"
	"strings"
)

// ObjectChange is one object that differs between two configurations.
type ObjectChange struct {
	// ObjectKind is the kind of the object, for example "organisation".
	ObjectKind string `json:"object"`
	// Name is the object's name.
	Name string `json:"name"`
	// Kind is how the object differs.
	Kind ChangeKind `json:"kind"`
}

// CompareObjects returns the objects that differ between two configurations, as changes
// from the first to the second. Either may be nil, which stands for a configuration
// without objects.
func CompareObjects(from, to *Config) []ObjectChange {
	if from == nil {
		from = &Config{}
	}
	if to == nil {
		to = &Config{}
	}
	changes := compareList("organisation", from.Organisations, to.Organisations, func(o Organisation) string { return o.Name })
	changes = append(changes, compareList("service", from.Services, to.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, compareList("availability zone", from.AvailabilityZones, to.AvailabilityZones, func(z AvailabilityZone) string { return z.Name })...)
	return append(changes, compareList("pool", from.Pools, to.Pools, func(p Pool) string { return p.Name })...)
}

func compareList[T any](object string, from, to []T, name func(T) string) []ObjectChange {
	find := func(list []T, n string) (T, bool) {
		i := slices.IndexFunc(list, func(v T) bool { return name(v) == n })
		if i < 0 {
			var none T
			return none, false
		}
		return list[i], true
	}
	var changes []ObjectChange
	for _, v := range to {
		old, ok := find(from, name(v))
		switch {
		case !ok:
			changes = append(changes, ObjectChange{object, name(v), Added})
		case !reflect.DeepEqual(old, v):
			changes = append(changes, ObjectChange{object, name(v), Changed})
		}
	}
	for _, v := range from {
		if _, ok := find(to, name(v)); !ok {
			changes = append(changes, ObjectChange{object, name(v), Removed})
		}
	}
	slices.SortFunc(changes, func(a, b ObjectChange) int { return strings.Compare(a.Name, b.Name) })
	return changes
}
