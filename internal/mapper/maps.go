package mapper

import (
	"slices"

	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// mapOf returns a map of full slots. A rank with free places holds its least wanted
// expert several times, which changes nothing.
func mapOf(s rebalance.Shape, rows [][][]uint16, demand rebalance.Popularity) rebalance.Map {
	m := rebalance.Map{Shape: s, Slots: make([]uint16, 0, s.Layers*s.LayerSlots())}
	for layer, ranks := range rows {
		load := demand.Layer(layer)
		for _, experts := range ranks {
			m.Slots = append(m.Slots, experts...)
			filler := slices.MinFunc(experts, func(a, b uint16) int {
				switch {
				case load[a] < load[b]:
					return -1
				case load[a] > load[b]:
					return 1
				default:
					return 0
				}
			})
			for range s.SlotsPerRank - len(experts) {
				m.Slots = append(m.Slots, filler)
			}
		}
	}
	return m
}

// rowsOf returns the experts of a map by layer and rank, each once.
func rowsOf(m rebalance.Map) [][][]uint16 {
	n := m.Shape.SlotsPerRank
	rows := make([][][]uint16, m.Shape.Layers)
	for l := range rows {
		slots := m.Layer(l)
		for r := range m.Shape.Ranks {
			experts := slices.Clone(slots[r*n : (r+1)*n])
			slices.Sort(experts)
			rows[l] = append(rows[l], slices.Compact(experts))
		}
	}
	return rows
}

// digestsOf returns the digest of each rank's experts.
func digestsOf(rows [][][]uint16, ranks int) []uint64 {
	digests := make([]uint64, ranks)
	for r := range ranks {
		own := make([][]uint16, len(rows))
		for l := range rows {
			own[l] = rows[l][r]
		}
		digests[r] = digestOf(own)
	}
	return digests
}

// mostNew returns the most experts that one rank copies to go from one map to another.
func mostNew(s rebalance.Shape, from, to rebalance.Map) int {
	most := 0
	n := s.SlotsPerRank
	for r := range s.Ranks {
		fresh := 0
		for l := range s.Layers {
			held := from.Layer(l)[r*n : (r+1)*n]
			seen := make(map[uint16]bool, n)
			for _, e := range to.Layer(l)[r*n : (r+1)*n] {
				if !seen[e] && !slices.Contains(held, e) {
					fresh++
				}
				seen[e] = true
			}
		}
		most = max(most, fresh)
	}
	return most
}
