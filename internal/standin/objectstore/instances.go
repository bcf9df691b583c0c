package objectstore

import (
	"context"
	"sort"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// instanceChange is one change of the instance list.
type instanceChange struct {
	at       time.Time
	instance platform.Instance
	removed  bool
}

// SetInstance adds or changes an instance. The list shows the change after the
// configured lag.
func (m *Memory) SetInstance(i platform.Instance) {
	m.changeInstance(instanceChange{at: time.Now(), instance: i})
}

// RemoveInstance removes an instance. The list shows the instance until the configured
// lag has passed.
func (m *Memory) RemoveInstance(name string) {
	m.changeInstance(instanceChange{at: time.Now(), instance: platform.Instance{Name: name}, removed: true})
}

func (m *Memory) changeInstance(c instanceChange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.instances = append(m.instances, c)
}

// Instances implements platform.Store.
func (m *Memory) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := m.beginCall(ctx, func(c *Counters) { c.Instances++ }); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	asOf := time.Now().Add(-milliseconds(m.faults.InstanceLagMS))
	byName := make(map[string]platform.Instance)
	for _, c := range m.instances {
		switch {
		case c.at.After(asOf):
		case c.removed:
			delete(byName, c.instance.Name)
		default:
			byName[c.instance.Name] = c.instance
		}
	}
	list := make([]platform.Instance, 0, len(byName))
	for _, i := range byName {
		list = append(list, i)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list, nil
}
