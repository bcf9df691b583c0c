package callers

import (
	"fmt"
	"slices"
)

// Violation is a broken guarantee towards the callers of one mark.
type Violation struct {
	// Mark is the mark of the request.
	Mark string
	// Text describes the broken guarantee.
	Text string
}

// String returns the violation in one line.
func (v Violation) String() string { return v.Mark + ": " + v.Text }

// FindViolations compares the answers that callers received with runs, the number of
// times that the targets ran the request of each mark. It returns every violation of
// these guarantees, sorted by mark:
//
//   - a request that is not repeatable runs at most once;
//   - a request with a complete answer or the outcome ran has run;
//   - a request whose callers all received the outcome not-run, or could not connect,
//     has not run;
//   - no answer belongs to another request, or is incomplete without an error that shows it;
//   - the targets run only requests that were sent.
func FindViolations(results []Result, runs map[string]int) []Violation {
	var violations []Violation
	byMark := make(map[string][]Result)
	for _, r := range results {
		if r.Verdict == WrongAnswer {
			violations = append(violations, Violation{r.Request.Mark, "wrong answer: " + r.Detail})
		}
		if r.Request.isRecorded() {
			byMark[r.Request.Mark] = append(byMark[r.Request.Mark], r)
		}
	}
	for mark, attempts := range byMark {
		if text := findViolation(attempts, runs[mark]); text != "" {
			violations = append(violations, Violation{mark, text})
		}
	}
	for mark, n := range runs {
		if byMark[mark] == nil {
			violations = append(violations, Violation{mark, fmt.Sprintf("ran %d times but was never sent", n)})
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int {
		return slices.Compare([]string{a.Mark, a.Text}, []string{b.Mark, b.Text})
	})
	return violations
}

// findViolation describes the violation in n runs of a request with the given attempts.
// It returns the empty string if there is none.
func findViolation(attempts []Result, n int) string {
	ran := slices.ContainsFunc(attempts, func(r Result) bool { return r.Verdict == Complete || r.Outcome == string(Ran) })
	mayHaveRun := slices.ContainsFunc(attempts, func(r Result) bool {
		return r.Verdict != NotRun && r.Verdict != Unreached
	})
	switch {
	case n > 1 && !attempts[0].Request.Repeatable:
		return fmt.Sprintf("doubled: ran %d times", n)
	case n == 0 && ran:
		return "lost: told ran, but it did not run"
	case n > 0 && !mayHaveRun:
		return "told not run, but it ran"
	default:
		return ""
	}
}
