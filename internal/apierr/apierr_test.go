package apierr

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestEveryKindHasOneCompleteRow(t *testing.T) {
	names := map[string]Kind{}
	for _, k := range Kinds() {
		a := k.Answer()
		assert.Assert(t, a.Name != "" && a.Text != "", "kind %d has no row", k)
		assert.Assert(t, a.Status >= 400 && a.Status < 600, "kind %s", a.Name)
		other, dup := names[a.Name]
		assert.Assert(t, !dup, "kinds %d and %d share the name %s", k, other, a.Name)
		names[a.Name] = k
	}
}

func TestOnlyNotRunIsRetriedInternally(t *testing.T) {
	for _, k := range Kinds() {
		if a := k.Answer(); a.RetryInternally {
			assert.Equal(t, a.Outcome, OutcomeNotRun, "kind %s", a.Name)
			assert.Assert(t, a.RetryAfter > 0, "kind %s has no Retry-After for when internal retries fail", a.Name)
		}
	}
}
