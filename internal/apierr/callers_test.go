package apierr

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callersRow returns the row of docs/CALLERS.md for a kind.
func callersRow(a Answer) string {
	return fmt.Sprintf("| `%s` | %d | `%s` | %s | %s | %s | %s |",
		a.Name, a.Status, a.Outcome, yesNo(a.RetryInternally), repeat(a), retryAfter(a.RetryAfter), a.Text)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func repeat(a Answer) string {
	switch {
	case a.Outcome == OutcomeRan:
		return "no"
	case a.Outcome == OutcomeUnknown:
		return "with key"
	case a.RetryAfter > 0 || a.Status == 408:
		return "yes"
	default:
		return "mended"
	}
}

func retryAfter(d time.Duration) string {
	if d == 0 {
		return "–"
	}
	return fmt.Sprintf("%d s", d/time.Second)
}

// TestCallersPageListsEveryKind compares the table of docs/CALLERS.md with the
// table of kinds, row by row.
func TestCallersPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(page), "| kind | status |")
	assert.Assert(t, found, "the table of kinds is missing")
	table, _, _ := strings.Cut(rest, "\n\n")
	var documented, want []string
	for line := range strings.Lines(table) {
		if strings.HasPrefix(line, "| `") {
			documented = append(documented, strings.TrimSpace(line))
		}
	}
	for _, k := range Kinds() {
		want = append(want, callersRow(k.Answer()))
	}
	assert.DeepEqual(t, documented, want)
}
