package quarantine

import (
	"cmp"
	"slices"
)

// judge decides which parts are quarantined. The part with the most evidence explains the
// crashes under it; other parts are judged by the crashes that are left.
func (t *Tracker) judge() {
	if !t.unjudged {
		return
	}
	t.unjudged = false
	explained := map[uint32]bool{}
	open := make([]string, 0, len(t.suspects))
	for p, s := range t.suspects {
		open = append(open, p)
		s.tied = nil
	}
	slices.Sort(open) // the same order at each gateway
	for len(open) > 0 {
		worst := slices.MaxFunc(open, func(a, b string) int {
			return cmp.Compare(t.suspects[a].weight(explained), t.suspects[b].weight(explained))
		})
		if t.suspects[worst].weight(explained) < quarantineWeight {
			return
		}
		tied, rest := t.splitTied(open, worst, explained)
		for _, p := range tied {
			s := t.suspects[p]
			s.tied = tied
			if !s.quarantined {
				s.quarantined = true
				t.decide(p, "quarantined", len(s.crashes))
			}
		}
		for target := range t.suspects[worst].crashes {
			explained[target] = true
		}
		open = rest
	}
}

// splitTied splits parts into those that the same unexplained crashes speak against as
// against worst, with as much weight, and the others.
func (t *Tracker) splitTied(parts []string, worst string, explained map[uint32]bool) (tied, rest []string) {
	s := t.suspects[worst]
	for _, p := range parts {
		if o := t.suspects[p]; o.weight(explained) == s.weight(explained) && sameTargets(o.crashes, s.crashes, explained) {
			tied = append(tied, p)
		} else {
			rest = append(rest, p)
		}
	}
	return tied, rest
}

func sameTargets(a, b map[uint32]crash, explained map[uint32]bool) bool {
	for target := range a {
		if _, ok := b[target]; !ok && !explained[target] {
			return false
		}
	}
	for target := range b {
		if _, ok := a[target]; !ok && !explained[target] {
			return false
		}
	}
	return true
}

// weight returns the weight of the crashes that are not explained by another part.
func (s *suspect) weight(explained map[uint32]bool) int {
	begun, waiting := weightBegun, weightWaiting
	if s.answeredBefore {
		begun, waiting = weightBegunKnown, weightWaitingKnown
	}
	sum := 0
	for target, c := range s.crashes {
		switch {
		case explained[target]:
		case c.begun:
			sum += begun
		default:
			sum += waiting
		}
	}
	return sum
}
