package rebalance

import "sort"

// Repack returns a new map for p by the longest-processing-time rule: replicas are assigned
// to the experts with the largest share, and then shares, largest first, to the least
// loaded rank with a free slot. The current map is not considered.
func Repack(s Shape, p Popularity) Map {
	m := Map{Shape: s, Slots: make([]uint16, s.Layers*s.LayerSlots())}
	for l := range s.Layers {
		packLayer(s, p.Layer(l), m.Layer(l))
	}
	return m
}

// chooseReplicas distributes a layer's slots over its experts so that the largest share of
// one replica is as small as possible.
func chooseReplicas(s Shape, load []float64) []int {
	replicas := make([]int, s.Experts)
	for e := range replicas {
		replicas[e] = 1
	}
	for range s.LayerSlots() - s.Experts {
		best := -1
		for e := range replicas {
			if replicas[e] >= s.Ranks {
				continue
			}
			if best < 0 || load[e]*float64(replicas[best]) > load[best]*float64(replicas[e]) {
				best = e
			}
		}
		if best < 0 {
			best = 0
		}
		replicas[best]++
	}
	return replicas
}

// packLayer fills the slots of one layer; see Repack.
func packLayer(s Shape, load []float64, slots []uint16) {
	type item struct {
		expert uint16
		share  float64
	}
	var items []item
	for e, n := range chooseReplicas(s, load) {
		for range n {
			items = append(items, item{uint16(e), load[e] / float64(n)})
		}
	}
	sort.SliceStable(items, func(i, j int) bool { return items[i].share > items[j].share })
	used := make([]int, s.Ranks)
	sum := make([]float64, s.Ranks)
	for _, it := range items {
		r := leastLoaded(s, slots, used, sum, it.expert)
		slots[r*s.SlotsPerRank+used[r]] = it.expert
		used[r]++
		sum[r] += it.share
	}
}

// leastLoaded returns the least loaded rank with a free slot, if possible one without the
// expert.
func leastLoaded(s Shape, slots []uint16, used []int, sum []float64, expert uint16) int {
	best, fallback := -1, -1
	for r := range s.Ranks {
		if used[r] == s.SlotsPerRank {
			continue
		}
		if fallback < 0 || sum[r] < sum[fallback] {
			fallback = r
		}
		if contains(slots[r*s.SlotsPerRank:r*s.SlotsPerRank+used[r]], expert) {
			continue
		}
		if best < 0 || sum[r] < sum[best] {
			best = r
		}
	}
	if best < 0 {
		return fallback
	}
	return best
}

// MatchRanks renumbers the ranks of next, layer by layer, so that they share many experts
// with the ranks of current. The skew of next does not change.
func MatchRanks(current, next Map) Map {
	matched := Map{Shape: next.Shape, Slots: make([]uint16, len(next.Slots))}
	for l := range next.Shape.Layers {
		matchLayer(next.Shape, current.Layer(l), next.Layer(l), matched.Layer(l))
	}
	return matched
}

// matchLayer pairs current and next ranks greedily, those with the largest overlap first.
func matchLayer(s Shape, current, next, matched []uint16) {
	n := s.SlotsPerRank
	pairedOld := make([]bool, s.Ranks)
	pairedNew := make([]bool, s.Ranks)
	for want := n; want >= 0; want-- {
		for r := range s.Ranks {
			if pairedNew[r] {
				continue
			}
			slots := next[r*n : (r+1)*n]
			for q := range s.Ranks {
				if pairedOld[q] || overlap(current[q*n:(q+1)*n], slots) < want {
					continue
				}
				copy(matched[q*n:(q+1)*n], slots)
				pairedOld[q], pairedNew[r] = true, true
				break
			}
		}
	}
}

// overlap returns the number of slots of b whose expert is also in a.
func overlap(a, b []uint16) int {
	n := 0
	for _, e := range b {
		if contains(a, e) {
			n++
		}
	}
	return n
}
