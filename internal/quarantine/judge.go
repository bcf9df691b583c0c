package quarantine

import (
	"cmp"
	"slices"
	"strings"
)

// judge decides which subjects are quarantined. The one with the most evidence explains the
// crashes under it; others are judged by the crashes that are left.
func (t *Tracker) judge() {
	if !t.unjudged {
		return
	}
	t.unjudged = false
	explained := map[uint32]bool{}
	var open []string
	for subject, s := range t.suspects {
		s.tied = nil
		if s.weight(nil) >= quarantineWeight {
			open = append(open, subject)
		}
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
		for _, subject := range tied {
			s := t.suspects[subject]
			s.tied = refusedTogether(subject, tied)
			t.judged = true
			if !s.quarantined {
				s.quarantined = true
				t.decide(subject, OutcomeQuarantined, len(s.crashes))
			}
		}
		for target := range t.suspects[worst].crashes {
			explained[target] = true
		}
		open = rest
	}
}

// TakeJudged reports whether subjects have been quarantined, or quarantined anew on other evidence,
// since the last call.
func (t *Tracker) TakeJudged() bool {
	judged := t.judged
	t.judged = false
	return judged
}

// refusedTogether returns the subjects of tied that a request must have, besides subject, to be refused
// because of subject. A request has one fingerprint, so if there are several, they are those of different
// requests.
func refusedTogether(subject string, tied []string) []string {
	isRequest := func(subject string) bool { return strings.HasPrefix(subject, RequestPrefix) }
	parts := slices.DeleteFunc(slices.Clone(tied), isRequest)
	switch {
	case len(tied)-len(parts) <= 1:
		return tied
	case isRequest(subject):
		return []string{subject}
	default:
		return parts
	}
}

// splitTied splits subjects into those that the same unexplained crashes speak against as
// against worst, with as much weight, and the others.
func (t *Tracker) splitTied(subjects []string, worst string, explained map[uint32]bool) (tied, rest []string) {
	s := t.suspects[worst]
	for _, subject := range subjects {
		if o := t.suspects[subject]; o.weight(explained) == s.weight(explained) && sameTargets(o.crashes, s.crashes, explained) {
			tied = append(tied, subject)
		} else {
			rest = append(rest, subject)
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

// weight returns the weight of the crashes that are not explained by another subject.
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
