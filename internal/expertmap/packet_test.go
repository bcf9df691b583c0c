package expertmap

import (
	"sort"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// packetKey identifies a packet, except for the rank's index.
type packetKey struct {
	kind   message.Type
	fence  uint64
	fields [12]uint64
}

func keyOf(fence uint64, m message.Message) packetKey {
	k := packetKey{kind: m.FrameType(), fence: fence}
	switch m := m.(type) {
	case *message.MapPrepare:
		k.fields = [12]uint64{m.Version, m.Step, m.Fence}
	case *message.MapPromise:
		k.fields = [12]uint64{m.Version, m.Step, m.Fence, bit(m.RefusalKind != nil)}
	case *message.MapDecide:
		k.fields = [12]uint64{m.Version, m.Fence, bit(m.Commit), bit(m.Release)}
	case *message.MapQuery:
		k.fields = [12]uint64{m.Fence, m.Round, bit(m.WantMaps)}
	case *message.MapState:
		k.fields = [12]uint64{
			m.Fence, m.Committed, m.Prepared, m.Step, m.Incarnation, m.Round,
			m.Active, bit(m.Entered), m.PendingStep, bit(m.ActiveMap != nil), bit(m.Released),
		}
	case *message.MapJoin:
		k.fields = [12]uint64{m.Fence, m.Round, m.Incarnation, m.Step, m.Active, m.Pending, m.PendingStep}
	}
	return k
}

// insert adds a packet to a set that is sorted by id, unless the set contains it.
func (w *modelState) insert(set []*packet, fence uint64, m message.Message) []*packet {
	key := keyOf(fence, m)
	id, ok := w.variant.ids[key]
	if !ok {
		id = uint64(len(w.variant.ids)) + 1
		w.variant.ids[key] = id
	}
	at := sort.Search(len(set), func(i int) bool { return set[i].id >= id })
	if at < len(set) && set[at].id == id {
		return set
	}
	grown := make([]*packet, 0, len(set)+1)
	grown = append(append(grown, set[:at]...), &packet{id: id, fence: fence, message: m})
	return append(grown, set[at:]...)
}

// raiseFence returns m with its fencing number raised to at least fence, as if the
// rank did not compare fencing numbers.
func raiseFence(m message.Message, fence uint64) message.Message {
	switch m := m.(type) {
	case *message.MapPrepare:
		c := *m
		c.Fence = max(c.Fence, fence)
		return &c
	case *message.MapDecide:
		c := *m
		c.Fence = max(c.Fence, fence)
		return &c
	}
	return m
}
