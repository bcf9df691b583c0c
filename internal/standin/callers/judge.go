package callers

import (
	"fmt"
	"slices"
)

// Violation is a promise that was broken to the callers of one mark.
type Violation struct {
	Mark string
	Text string
}

// String returns the violation in one line.
func (v Violation) String() string { return v.Mark + ": " + v.Text }

// Judge compares what callers were told with runs, the number of times that the
// targets ran the request of each mark:
//
//   - a request that is not repeatable runs at most once;
//   - after a complete answer or the outcome ran, it ran;
//   - if every caller of the mark was told not run, it did not run;
//   - no answer is another request's, or incomplete without a sign of it.
func Judge(results []Result, runs map[string]int) []Violation {
	var found []Violation
	byMark := make(map[string][]Result)
	for _, r := range results {
		if r.Verdict == Crossed {
			found = append(found, Violation{r.Request.Mark, "wrong answer: " + r.Detail})
		}
		if r.Request.recorded() {
			byMark[r.Request.Mark] = append(byMark[r.Request.Mark], r)
		}
	}
	for mark, attempts := range byMark {
		if text := judgeMark(attempts, runs[mark]); text != "" {
			found = append(found, Violation{mark, text})
		}
	}
	for mark, n := range runs {
		if byMark[mark] == nil {
			found = append(found, Violation{mark, fmt.Sprintf("ran %d times but was never sent", n)})
		}
	}
	slices.SortFunc(found, func(a, b Violation) int {
		return slices.Compare([]string{a.Mark, a.Text}, []string{b.Mark, b.Text})
	})
	return found
}

// judgeMark returns what is wrong with n runs after the given attempts, or the
// empty string.
func judgeMark(attempts []Result, n int) string {
	ran := slices.ContainsFunc(attempts, func(r Result) bool { return r.Verdict == Complete || r.Outcome == string(Ran) })
	open := slices.ContainsFunc(attempts, func(r Result) bool {
		return r.Verdict != NotRun && r.Verdict != Unreached
	})
	switch {
	case n > 1 && !attempts[0].Request.Repeatable:
		return fmt.Sprintf("doubled: ran %d times", n)
	case n == 0 && ran:
		return "lost: told ran, but it did not run"
	case n > 0 && !open:
		return "told not run, but it ran"
	default:
		return ""
	}
}
