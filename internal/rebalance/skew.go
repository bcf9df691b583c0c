package rebalance

// Popularity contains the load of each expert by layer, in any unit.
type Popularity struct {
	Experts int
	// Load contains the loads by layer and expert.
	Load []float64
}

// Layer returns the loads of layer l; the result aliases the popularity.
func (p Popularity) Layer(l int) []float64 {
	return p.Load[l*p.Experts : (l+1)*p.Experts]
}

// Skew returns the maximum rank load divided by the mean rank load, averaged over the
// layers. All ranks wait for each other in every layer, so the time that a step spends in
// experts is proportional to it. An expert's load is split evenly between its replicas.
func Skew(m Map, p Popularity) float64 {
	total := 0.0
	for l := range m.Shape.Layers {
		total += layerSkew(m.Shape, m.Layer(l), p.Layer(l))
	}
	return total / float64(m.Shape.Layers)
}

// layerSkew returns the skew of one layer.
func layerSkew(s Shape, slots []uint16, load []float64) float64 {
	replicas := countReplicas(s, slots)
	sum, highest := 0.0, 0.0
	for r := range s.Ranks {
		rank := 0.0
		for _, e := range slots[r*s.SlotsPerRank : (r+1)*s.SlotsPerRank] {
			rank += load[e] / float64(replicas[e])
		}
		sum += rank
		highest = max(highest, rank)
	}
	if sum == 0 {
		return 1
	}
	return highest * float64(s.Ranks) / sum
}

// countReplicas returns the number of slots that hold each expert.
func countReplicas(s Shape, slots []uint16) []int {
	replicas := make([]int, s.Experts)
	for _, e := range slots {
		replicas[e]++
	}
	return replicas
}

// SkewLowerBound returns a lower bound of the skew of any map of shape s under p: in each
// layer some rank carries at least the mean load, and at least the largest share of one
// expert under the best choice of replicas.
func SkewLowerBound(s Shape, p Popularity) float64 {
	total := 0.0
	for l := range s.Layers {
		load := p.Layer(l)
		replicas := chooseReplicas(s, load)
		sum, share := 0.0, 0.0
		for e, v := range load {
			sum += v
			share = max(share, v/float64(replicas[e]))
		}
		if sum == 0 {
			total++
			continue
		}
		total += max(1, share*float64(s.Ranks)/sum)
	}
	return total / float64(s.Layers)
}
