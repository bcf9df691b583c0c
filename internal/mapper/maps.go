package mapper

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/gentiantrail/gentiantrail/internal/rebalance"
)

// mapFromRows returns the map with the given experts by layer and rank. Every slot is
// filled: a rank with free slots holds its least demanded expert several times, which has
// no effect on the load. A rank without experts counts as having the least demanded expert of the layer;
// see withoutFillers.
func mapFromRows(s rebalance.Shape, rows [][][]uint16, demand rebalance.Popularity) rebalance.Map {
	m := rebalance.Map{Shape: s, Slots: make([]uint16, 0, s.Layers*s.LayerSlots())}
	all := make([]uint16, s.Experts)
	for e := range all {
		all[e] = uint16(e)
	}
	for layer, ranks := range rows {
		load := demand.Layer(layer)
		leastDemanded := func(experts []uint16) uint16 {
			return slices.MinFunc(experts, func(a, b uint16) int { return cmp.Compare(load[a], load[b]) })
		}
		for _, experts := range ranks {
			m.Slots = append(m.Slots, experts...)
			candidates := experts
			if len(experts) == 0 {
				candidates = all
			}
			filler := leastDemanded(candidates)
			for range s.SlotsPerRank - len(experts) {
				m.Slots = append(m.Slots, filler)
			}
		}
	}
	return m
}

// withoutFillers returns the rows of a planned map without the experts that ranks only seem to have in from, the
// map of the active rows: those of ranks without experts. Such an expert stays if no other rank has it.
func withoutFillers(planned, active [][][]uint16, from rebalance.Map) [][][]uint16 {
	for layer, ranks := range planned {
		copies := make([]int, from.Shape.Experts)
		for _, e := range slices.Concat(ranks...) {
			copies[e]++
		}
		for rank := range ranks {
			filler := from.Layer(layer)[rank*from.Shape.SlotsPerRank]
			if i := slices.Index(ranks[rank], filler); i >= 0 && len(active[layer][rank]) == 0 && copies[filler] > 1 {
				ranks[rank] = slices.Delete(ranks[rank], i, i+1)
				copies[filler]--
			}
		}
	}
	return planned
}

// rowsFromMap returns the experts of a map by layer and rank, without duplicates.
func rowsFromMap(m rebalance.Map) [][][]uint16 {
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

// rankDigests returns the digest of each rank's experts.
func rankDigests(rows [][][]uint16, ranks int) []uint64 {
	digests := make([]uint64, ranks)
	for r := range ranks {
		rankExperts := make([][]uint16, len(rows))
		for l := range rows {
			rankExperts[l] = rows[l][r]
		}
		digests[r] = expertsDigest(rankExperts)
	}
	return digests
}

// maxNewExperts returns the largest number of experts that one rank copies to change from
// one map to another.
func maxNewExperts(s rebalance.Shape, from, to rebalance.Map) int {
	most := 0
	n := s.SlotsPerRank
	for r := range s.Ranks {
		added := 0
		for l := range s.Layers {
			held := from.Layer(l)[r*n : (r+1)*n]
			seen := make(map[uint16]bool, n)
			for _, e := range to.Layer(l)[r*n : (r+1)*n] {
				if !seen[e] && !slices.Contains(held, e) {
					added++
				}
				seen[e] = true
			}
		}
		most = max(most, added)
	}
	return most
}

// errNoCounts means that the number of the engine's experts has not been read yet.
var errNoCounts = errors.New("the engine's experts are not known yet")

// fenceMap returns the map that a fence prepares at the local rank.
func (m *Mapper) fenceMap(ctx context.Context) ([][][]uint16, error) {
	reading, err := m.readEngine(ctx)
	if err != nil {
		return nil, err
	}
	m.recordReading(reading)
	active, n := m.rows.active.Experts, len(m.counts.readings)
	if n == 0 || len(active) == 0 {
		return nil, errNoCounts
	}
	return mapAroundRank(active, m.local.Rank, m.local.Size, len(m.counts.readings[n-1].counts)/len(active)), nil
}

// mapAroundRank returns a valid map in which a rank has the given experts by layer, so that it copies
// none to prepare the map. The other ranks share the remaining experts evenly, which fit wherever
// there is a map in which the rank has these experts.
func mapAroundRank(own [][]uint16, rank, ranks, experts int) [][][]uint16 {
	rows := make([][][]uint16, len(own))
	for layer := range own {
		rows[layer] = make([][]uint16, ranks)
		rows[layer][rank] = own[layer]
		next := rank
		for e := range experts {
			if ranks == 1 || slices.Contains(own[layer], uint16(e)) {
				continue
			}
			if next = (next + 1) % ranks; next == rank {
				next = (next + 1) % ranks
			}
			rows[layer][next] = append(rows[layer][next], uint16(e))
		}
	}
	return rows
}

// fitsShape reports whether the experts of a rank by layer fit the shape of the group's map.
func fitsShape(s rebalance.Shape, experts [][]uint16) bool {
	if len(experts) != s.Layers {
		return false
	}
	for _, row := range experts {
		if len(row) > s.SlotsPerRank || slices.ContainsFunc(row, func(e uint16) bool { return int(e) >= s.Experts }) {
			return false
		}
	}
	return true
}
