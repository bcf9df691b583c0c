package message

import "github.com/gentiantrail/gentiantrail/internal/apierr"

// MapPrepare asks a rank to load an expert map and not to enter Step undecided.
type MapPrepare struct {
	Group   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Step    uint64 `cbor:"3,keyasint"`
	Fence   uint64 `cbor:"4,keyasint"`
	Map     []byte `cbor:"5,keyasint"`
}

// MapPromise answers MapPrepare.
type MapPromise struct {
	Group   string       `cbor:"1,keyasint"`
	Rank    int          `cbor:"2,keyasint"`
	Version uint64       `cbor:"3,keyasint"`
	Fence   uint64       `cbor:"4,keyasint"`
	Step    uint64       `cbor:"5,keyasint"`
	Refused *apierr.Kind `cbor:"6,keyasint,omitempty"`
}

// MapDecide commits or aborts a prepared map.
type MapDecide struct {
	Group   string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Fence   uint64 `cbor:"3,keyasint"`
	Commit  bool   `cbor:"4,keyasint"`
	// Release tells that all ranks have committed: the rank may switch.
	Release bool `cbor:"5,keyasint,omitempty"`
}

// MapQuery asks a rank for its state and binds it to Fence.
type MapQuery struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	// Round grows with each round of queries that the holder of Fence sends.
	Round uint64 `cbor:"3,keyasint,omitempty"`
	// WantMaps asks for the bytes of the active and the pending map.
	WantMaps bool `cbor:"4,keyasint,omitempty"`
}

// MapState answers MapQuery, MapDecide and MapJoin; a restarted rank also sends it unasked.
type MapState struct {
	Group string `cbor:"1,keyasint"`
	Rank  int    `cbor:"2,keyasint"`
	// Fence is the highest fence that the rank is bound to.
	Fence uint64 `cbor:"3,keyasint"`
	// Committed is the latest committed version; zero means that the rank holds no map.
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
	// Entered tells that the rank has entered Step.
	Entered bool `cbor:"10,keyasint,omitempty"`
	// PendingStep is the step at which the prepared or committed version takes over.
	PendingStep uint64 `cbor:"11,keyasint,omitempty"`
	// ActiveMap and PendingMap are set when the query wants maps.
	ActiveMap  []byte `cbor:"12,keyasint,omitempty"`
	PendingMap []byte `cbor:"13,keyasint,omitempty"`
	// Released tells that the rank may switch to Committed at PendingStep.
	Released bool `cbor:"14,keyasint,omitempty"`
}

// PendingVersion returns the version that takes over at PendingStep, or zero.
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

// MapJoin gives a rank without a map the state of its group.
type MapJoin struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	Round uint64 `cbor:"3,keyasint"`
	// Incarnation is the rank incarnation that the state is meant for.
	Incarnation uint64 `cbor:"4,keyasint"`
	Step        uint64 `cbor:"5,keyasint"`
	Active      uint64 `cbor:"6,keyasint"`
	ActiveMap   []byte `cbor:"7,keyasint"`
	// Pending is a committed version that takes over at PendingStep; zero means none.
	Pending     uint64 `cbor:"8,keyasint,omitempty"`
	PendingStep uint64 `cbor:"9,keyasint,omitempty"`
	PendingMap  []byte `cbor:"10,keyasint,omitempty"`
}

// MapPreload asks a rank to bring the weights of a map into memory before it is
// proposed. It promises nothing and changes no state of the engine's map.
type MapPreload struct {
	Group string `cbor:"1,keyasint"`
	Fence uint64 `cbor:"2,keyasint"`
	// Round identifies the preload under Fence.
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
