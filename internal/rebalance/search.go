package rebalance

// maxLoadsWithoutGain is the number of loads without a better result after which the search
// ends.
const maxLoadsWithoutGain = 6

// lastReplicaDiscount scales the gain of a load that leaves an expert with one replica: if
// the expert's popularity jumps, one rank carries all of its load until the jump is
// reported.
const lastReplicaDiscount = 0.3

// lowestCostRankCount is the number of lowest-cost ranks that the search tries to give load
// of the costliest rank.
const lowestCostRankCount = 16

// search improves one layer by single loads. It minimises a smooth approximation of the
// maximum rank load, the sum over ranks and reports of load^16, because the maximum itself
// does not change while several ranks share it.
type search struct {
	shape Shape
	slots []uint16
	// base contains the layer's slots before the search. maxNew limits the number of
	// experts that a rank may hold beyond its base, and newExperts counts them by rank.
	base       []uint16
	maxNew     int
	newExperts []int
	// quota limits the loads of each rank over several layers; nil means no limit.
	quota *quota
	// before is the skew of the base.
	before float64
	// load contains the experts' loads by report, scaled so that the mean rank load is 1.
	load     [][]float64
	replicas []int
	// holders contains the ranks that hold each expert.
	holders [][]int
	// rankLoad contains the rank loads by report, and cost each rank's part of the total
	// cost.
	rankLoad [][]float64
	cost     []float64
	// delta, affectedRanks and isAffected describe the candidate that is being evaluated.
	delta         [][]float64
	affectedRanks []int
	isAffected    []bool
}

// replacement puts an expert into a slot. Unless swap is noSwap, the slot's previous expert
// is put into the slot swap.
type replacement struct {
	slot   int
	expert uint16
	swap   int
}

// noSwap is the value of replacement.swap without an exchange.
const noSwap = -1

// loads returns the number of experts that ranks load for the replacement.
func (c replacement) loads() int {
	if c.swap != noSwap {
		return 2
	}
	return 1
}

// newSearch returns a search for layers of shape s under a number of reports.
func newSearch(s Shape, reports int) *search {
	f := &search{shape: s, replicas: make([]int, s.Experts), holders: make([][]int, s.Experts)}
	f.slots = make([]uint16, s.LayerSlots())
	f.base = make([]uint16, s.LayerSlots())
	f.newExperts = make([]int, s.Ranks)
	f.cost = make([]float64, s.Ranks)
	f.isAffected = make([]bool, s.Ranks)
	for range reports {
		f.load = append(f.load, make([]float64, s.Experts))
		f.rankLoad = append(f.rankLoad, make([]float64, s.Ranks))
		f.delta = append(f.delta, make([]float64, s.Ranks))
	}
	return f
}

// begin starts the search in a layer whose current slots are the base.
func (f *search) begin(slots []uint16, loads [][]float64) {
	copy(f.base, slots)
	f.reset(slots, loads)
	f.before = f.skew()
}

// reset restarts the search from other slots with the same base.
func (f *search) reset(slots []uint16, loads [][]float64) {
	copy(f.slots, slots)
	for k, load := range loads {
		sum := 0.0
		for _, v := range load {
			sum += v
		}
		scale := float64(f.shape.Ranks) / max(sum, 1e-300)
		for e, v := range load {
			f.load[k][e] = v * scale
		}
	}
	f.recount()
}

// recount derives replicas, holders, rank loads and costs from the slots.
func (f *search) recount() {
	for e := range f.replicas {
		f.replicas[e] = 0
		f.holders[e] = f.holders[e][:0]
	}
	for i, e := range f.slots {
		f.replicas[e]++
		f.holders[e] = append(f.holders[e], i/f.shape.SlotsPerRank)
	}
	for k := range f.rankLoad {
		for r := range f.rankLoad[k] {
			f.rankLoad[k][r] = 0
		}
		for i, e := range f.slots {
			f.rankLoad[k][i/f.shape.SlotsPerRank] += f.load[k][e] / float64(f.replicas[e])
		}
	}
	for r := range f.newExperts {
		count := f.countNew(f.slots, r)
		if f.quota != nil {
			f.quota.used[r] += count - f.newExperts[r]
		}
		f.newExperts[r] = count
	}
	for r := range f.cost {
		f.cost[r] = 0
		for k := range f.rankLoad {
			f.cost[r] += pow16(f.rankLoad[k][r])
		}
	}
}

// totalCost returns the value that the search minimises.
func (f *search) totalCost() float64 {
	total := 0.0
	for _, c := range f.cost {
		total += c
	}
	return total
}

func pow16(x float64) float64 {
	x *= x
	x *= x
	x *= x
	return x * x
}

// skew returns the layer's skew averaged over the reports.
func (f *search) skew() float64 {
	total := 0.0
	for _, ranks := range f.rankLoad {
		highest := 0.0
		for _, v := range ranks {
			highest = max(highest, v)
		}
		total += highest
	}
	return total / float64(len(f.rankLoad))
}

// run makes up to maxMoves loads and returns those up to the point at which the gain less
// minGain per load is the largest; ok is false if that difference is never positive.
func (f *search) run(maxMoves int, minGain float64) (best proposal, ok bool) {
	before := f.skew()
	net := 0.0
	for moved := 0; moved < maxMoves; {
		if before-1 <= net+float64(moved+1)*minGain {
			break
		}
		c, found := f.bestReplacement()
		if !found {
			break
		}
		f.apply(c)
		moved += c.loads()
		gain := before - f.skew()
		if moved-best.moved > maxLoadsWithoutGain {
			break
		}
		if value := gain - float64(moved)*minGain; value > net {
			net = value
			best = proposal{slots: append(best.slots[:0], f.slots...), moved: moved, gain: gain}
			ok = true
		}
	}
	return best, ok
}

// apply makes a replacement.
func (f *search) apply(c replacement) {
	if c.swap != noSwap {
		f.slots[c.swap] = f.slots[c.slot]
	}
	f.slots[c.slot] = c.expert
	f.recount()
}

// bestReplacement returns the candidate that lowers the cost most per load.
func (f *search) bestReplacement() (best replacement, found bool) {
	costliest := 0
	for r := range f.cost {
		if f.cost[r] > f.cost[costliest] {
			costliest = r
		}
	}
	lowest := 0.0
	try := func(c replacement) {
		if change := f.costChange(c) / float64(c.loads()); change < lowest {
			best, found, lowest = c, true, change
		}
	}
	n := f.shape.SlotsPerRank
	for i := costliest * n; i < (costliest+1)*n; i++ {
		for e := range f.shape.Experts {
			if f.hasLessLoad(uint16(e), 1, f.slots[i]) {
				try(replacement{i, uint16(e), noSwap})
			}
		}
	}
	for _, r := range f.lowestCostRanks() {
		for j := r * n; j < (r+1)*n; j++ {
			for i := costliest * n; i < (costliest+1)*n; i++ {
				try(replacement{j, f.slots[i], noSwap})
				if f.hasLessLoad(f.slots[j], 0, f.slots[i]) {
					try(replacement{i, f.slots[j], j})
				}
			}
		}
	}
	return best, found
}

// hasLessLoad reports whether a replica of in, with extra more replicas, carries less load
// than one of out under the last report.
func (f *search) hasLessLoad(in uint16, extra int, out uint16) bool {
	load := f.load[len(f.load)-1]
	return load[in]*float64(f.replicas[out]) < load[out]*float64(f.replicas[in]+extra)
}

// lowestCostRanks returns the lowestCostRankCount ranks with the lowest cost, lowest first.
func (f *search) lowestCostRanks() []int {
	ranks := make([]int, 0, lowestCostRankCount+1)
	for r := range f.cost {
		at := len(ranks)
		for at > 0 && f.cost[ranks[at-1]] > f.cost[r] {
			at--
		}
		if at == lowestCostRankCount {
			continue
		}
		ranks = append(ranks, 0)
		copy(ranks[at+1:], ranks[at:])
		ranks[at] = r
		if len(ranks) > lowestCostRankCount {
			ranks = ranks[:lowestCostRankCount]
		}
	}
	return ranks
}

// costChange returns the change of the cost that a candidate makes, or zero if the candidate
// is not allowed.
func (f *search) costChange(c replacement) float64 {
	n := f.shape.SlotsPerRank
	r := c.slot / n
	out, in := f.slots[c.slot], c.expert
	if out == in || contains(f.slots[r*n:(r+1)*n], in) || !f.mayLoad(r, out, in) {
		return 0
	}
	if c.swap == noSwap {
		if f.replicas[out] == 1 {
			return 0
		}
		change := f.replacementCostChange(r, out, in)
		if f.replicas[out] == 2 {
			change *= lastReplicaDiscount
		}
		return change
	}
	q := c.swap / n
	if q == r || contains(f.slots[q*n:(q+1)*n], out) || !f.mayLoad(q, in, out) {
		return 0
	}
	total := 0.0
	for k := range f.rankLoad {
		d := f.load[k][in]/float64(f.replicas[in]) - f.load[k][out]/float64(f.replicas[out])
		total += pow16(f.rankLoad[k][r]+d) - pow16(f.rankLoad[k][r]) + pow16(f.rankLoad[k][q]-d) - pow16(f.rankLoad[k][q])
	}
	return total
}

// replacementCostChange returns the change of the cost when rank r replaces expert out by
// expert in.
func (f *search) replacementCostChange(r int, out, in uint16) float64 {
	f.affectedRanks = f.affectedRanks[:0]
	f.markAffected(r)
	for _, q := range f.holders[out] {
		f.markAffected(q)
	}
	for _, q := range f.holders[in] {
		f.markAffected(q)
	}
	total := 0.0
	for k, load := range f.load {
		oldOut, newOut := load[out]/float64(f.replicas[out]), load[out]/float64(f.replicas[out]-1)
		oldIn, newIn := load[in]/float64(f.replicas[in]), load[in]/float64(f.replicas[in]+1)
		delta, rankLoad := f.delta[k], f.rankLoad[k]
		for _, q := range f.holders[out] {
			delta[q] += newOut - oldOut
		}
		for _, q := range f.holders[in] {
			delta[q] += newIn - oldIn
		}
		delta[r] += newIn - newOut
		for _, q := range f.affectedRanks {
			total += pow16(rankLoad[q]+delta[q]) - pow16(rankLoad[q])
			delta[q] = 0
		}
	}
	for _, q := range f.affectedRanks {
		f.isAffected[q] = false
	}
	return total
}

// markAffected adds rank r to the ranks that the candidate affects.
func (f *search) markAffected(r int) {
	if !f.isAffected[r] {
		f.isAffected[r] = true
		f.affectedRanks = append(f.affectedRanks, r)
	}
}

// countNew returns the number of experts that rank r holds in slots and not in the base.
func (f *search) countNew(slots []uint16, r int) int {
	n := f.shape.SlotsPerRank
	count := 0
	for i := r * n; i < (r+1)*n; i++ {
		if f.isNew(r, slots[i]) {
			count++
		}
	}
	return count
}

// isNew reports whether rank r does not hold the expert in the base.
func (f *search) isNew(r int, expert uint16) bool {
	n := f.shape.SlotsPerRank
	return !contains(f.base[r*n:(r+1)*n], expert)
}

// mayLoad reports whether rank r may hold in instead of out within maxNew and the quota.
func (f *search) mayLoad(r int, out, in uint16) bool {
	if !f.isNew(r, in) || f.isNew(r, out) {
		return true
	}
	if f.quota != nil && f.quota.used[r] >= f.quota.limit {
		return false
	}
	return f.maxNew == 0 || f.newExperts[r] < f.maxNew
}

// withinMaxNew reports whether no rank loads more than maxNew experts for the slots.
func (f *search) withinMaxNew(slots []uint16) bool {
	for r := range f.shape.Ranks {
		if f.maxNew > 0 && f.countNew(slots, r) > f.maxNew {
			return false
		}
	}
	return true
}
