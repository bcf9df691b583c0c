package placement

import (
	"cmp"
	"slices"
	"time"
)

// GroupShare is the state of the model of a lock-step group.
type GroupShare struct {
	Group string
	// Share is the fraction of its slots that the group gets work for.
	Share float64
	// LongestGap is the longest gap of the last second that load has caused; zero without gaps.
	LongestGap time.Duration
	// Load is the mean number of running requests of the last second, as a fraction of the slots.
	Load float64
	// InFlight is the number of this process's requests, and Part the number that it may have.
	InFlight, Part int
}

// GroupShares returns the state of the groups whose share is set by a model, in the order of their
// names.
func (b *Balancer) GroupShares(now time.Duration) []GroupShare {
	var shares []GroupShare
	seen := map[string]bool{}
	for _, s := range b.targets {
		g := b.groupOf(s)
		if g == nil || seen[s.group] || !s.stepTimes().known() {
			continue
		}
		seen[s.group] = true
		share := GroupShare{Group: s.group, Share: g.model.share(now), Load: g.loads.meanRunning(), InFlight: g.inFlight, Part: int(g.loads.part + g.loads.rounding)}
		if g.model.recent(now) {
			share.LongestGap = g.model.longestGap()
		}
		shares = append(shares, share)
	}
	slices.SortFunc(shares, func(a, b GroupShare) int { return cmp.Compare(a.Group, b.Group) })
	return shares
}
