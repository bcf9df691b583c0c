package message

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// MapPrepare asks a rank to load an expert map, and not to enter Step before the map is
// committed or aborted.
type MapPrepare struct {
	Group   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Step    uint64 `cbor:"3,keyasint"`
	Fence   uint64 `cbor:"4,keyasint"`
	Map     []byte `cbor:"5,keyasint"`
}

// MapPromise answers MapPrepare. RefusalKind is the reason of a refusal; nil means that
// the rank accepts the map.
type MapPromise struct {
	Group       string       `cbor:"1,keyasint"`
	Rank        int          `cbor:"2,keyasint"`
	Version     uint64       `cbor:"3,keyasint"`
	Fence       uint64       `cbor:"4,keyasint"`
	Step        uint64       `cbor:"5,keyasint"`
	RefusalKind *apierr.Kind `cbor:"6,keyasint,omitempty"`
}

// MapDecide commits or aborts a prepared map.
type MapDecide struct {
	Group   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Fence   uint64 `cbor:"3,keyasint"`
	Commit  bool   `cbor:"4,keyasint"`
	// Release is true once all ranks have committed, so that the rank may switch.
	Release bool `cbor:"5,keyasint,omitempty"`
}

// MapQuery asks a rank for its state and binds it to Fence: the rank then refuses lower fences.
type MapQuery struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	// Round increases with each round of queries that the holder of Fence sends.
	Round uint64 `cbor:"3,keyasint,omitempty"`
	// WantMaps requests the bytes of the active and the pending map.
	WantMaps bool `cbor:"4,keyasint,omitempty"`
}

// MapState answers MapQuery, MapDecide and MapJoin; a restarted rank also sends it unprompted.
type MapState struct {
	Group string `cbor:"1,keyasint"`
	Rank  int    `cbor:"2,keyasint"`
	// Fence is the highest fence that the rank is bound to.
	Fence uint64 `cbor:"3,keyasint"`
	// Committed is the latest committed version; zero means that the rank has no map.
	Committed uint64 `cbor:"4,keyasint"`
	// Prepared is the version that waits for a decision; zero means none.
	Prepared uint64 `cbor:"5,keyasint"`
	// Step is the last step entered, or the step to join at when Entered is false.
	Step uint64 `cbor:"6,keyasint"`
	// Incarnation is random for each start of the rank's agent or engine.
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	// Round is the highest round of queries of Fence that the rank has seen.
	Round uint64 `cbor:"8,keyasint,omitempty"`
	// Active is the version used in Step; it differs from Committed until the switch.
	Active uint64 `cbor:"9,keyasint,omitempty"`
	// Entered is true if the rank has entered Step.
	Entered bool `cbor:"10,keyasint,omitempty"`
	// PendingStep is the step at which the prepared or committed version becomes active.
	PendingStep uint64 `cbor:"11,keyasint,omitempty"`
	// ActiveMap and PendingMap are set if the query has WantMaps.
	ActiveMap  []byte `cbor:"12,keyasint,omitempty"`
	PendingMap []byte `cbor:"13,keyasint,omitempty"`
	// Released is true if the rank may switch to Committed at PendingStep.
	Released bool `cbor:"14,keyasint,omitempty"`
}

// PendingVersion returns the version that becomes active at PendingStep, or zero.
func (m *MapState) PendingVersion() uint64 {
	switch {
	case m.Prepared != 0:
		return m.Prepared
	case m.Committed != m.Active:
		return m.Committed
	default:
		return 0
	}
}

// MapJoin sends the state of its group to a rank without a map.
type MapJoin struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	Round uint64 `cbor:"3,keyasint"`
	// Incarnation is the rank incarnation that the state is meant for.
	Incarnation uint64 `cbor:"4,keyasint"`
	Step        uint64 `cbor:"5,keyasint"`
	Active      uint64 `cbor:"6,keyasint"`
	ActiveMap   []byte `cbor:"7,keyasint"`
	// Pending is a committed version that becomes active at PendingStep; zero means none.
	Pending     uint64 `cbor:"8,keyasint,omitempty"`
	PendingStep uint64 `cbor:"9,keyasint,omitempty"`
	PendingMap  []byte `cbor:"10,keyasint,omitempty"`
}

// MapPreload asks a rank to load the weights of a map into memory before the map is
// proposed. The rank makes no promise, and the state of the engine's map does not change.
type MapPreload struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	// Round identifies the preload among those of Fence.
	Round uint64 `cbor:"3,keyasint"`
	Map   []byte `cbor:"4,keyasint"`
}

// MapPreloaded answers MapPreload once the weights are in memory.
type MapPreloaded struct {
	Group string `cbor:"1,keyasint"`
	Rank  int    `cbor:"2,keyasint"`
	Fence uint64 `cbor:"3,keyasint"`
	Round uint64 `cbor:"4,keyasint"`
}
