// Package rebalance decides which experts get replicas and on which ranks they are placed,
// so that the ranks of a lock-step group, that is an expert-parallel group whose ranks run
// every step together, carry equal load.
//
// The decision is free of I/O: a Planner takes reports of expert popularity and a limit on
// the weights to move, and returns a new map. It changes few slots, and only when the
// predicted gain exceeds the cost of the weights moved and of the change itself.
package rebalance

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/gentiantrail/gentiantrail/internal/apierr"
)

// Shape is the size of a group's expert map.
type Shape struct {
	Ranks        int `cbor:"1,keyasint"`
	Layers       int `cbor:"2,keyasint"`
	Experts      int `cbor:"3,keyasint"`
	SlotsPerRank int `cbor:"4,keyasint"`
}

// LayerSlots returns the number of slots in a layer.
func (s Shape) LayerSlots() int { return s.Ranks * s.SlotsPerRank }

// Map assigns an expert to each slot.
type Map struct {
	Shape Shape `cbor:"1,keyasint"`
	// Slots contains expert numbers by layer, rank and slot of the rank.
	Slots []uint16 `cbor:"2,keyasint"`
}

// Layer returns the slots of layer l; the result aliases the map.
func (m Map) Layer(l int) []uint16 {
	n := m.Shape.LayerSlots()
	return m.Slots[l*n : (l+1)*n]
}

// Clone returns a copy of the map.
func (m Map) Clone() Map {
	return Map{Shape: m.Shape, Slots: append([]uint16(nil), m.Slots...)}
}

// Validate returns an error unless every expert of every layer has a slot.
func (m Map) Validate() error {
	s := m.Shape
	if s.Ranks <= 0 || s.Layers <= 0 || s.Experts <= 0 || s.LayerSlots() < s.Experts {
		return apierr.New(apierr.KindMalformed, "expert map has an invalid shape")
	}
	if len(m.Slots) != s.Layers*s.LayerSlots() {
		return apierr.New(apierr.KindMalformed, "expert map has a wrong number of slots")
	}
	for l := range s.Layers {
		placed := make([]bool, s.Experts)
		missing := s.Experts
		for _, e := range m.Layer(l) {
			if int(e) >= s.Experts {
				return apierr.New(apierr.KindMalformed, "expert map names an unknown expert")
			}
			if !placed[e] {
				placed[e] = true
				missing--
			}
		}
		if missing > 0 {
			return apierr.New(apierr.KindMalformed, "expert map leaves out an expert")
		}
	}
	return nil
}

// Encode returns the map in CBOR for the change protocol.
func (m Map) Encode() ([]byte, error) { return cbor.Marshal(m) }

// DecodeMap parses and validates a map.
func DecodeMap(data []byte) (Map, error) {
	var m Map
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Map{}, apierr.Wrap(apierr.KindMalformed, "expert map", err)
	}
	return m, m.Validate()
}

// Moved returns the number of experts that ranks must load to change from m to next. A rank
// loads an expert once, and exchanging the slots of one rank costs nothing.
func (m Map) Moved(next Map) int {
	return movedSlots(m.Shape, m.Slots, next.Slots)
}

// movedSlots returns the number of experts to load for slots of one layer or of several.
func movedSlots(s Shape, current, next []uint16) int {
	moved := 0
	for at := 0; at < len(next); at += s.SlotsPerRank {
		held := current[at : at+s.SlotsPerRank]
		for i, e := range next[at : at+s.SlotsPerRank] {
			if !contains(held, e) && !contains(next[at:at+i], e) {
				moved++
			}
		}
	}
	return moved
}

func contains(slots []uint16, e uint16) bool {
	for _, held := range slots {
		if held == e {
			return true
		}
	}
	return false
}
