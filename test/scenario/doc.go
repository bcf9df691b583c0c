// Package scenario runs scripted scenarios against real processes. The tests need the
// build tag scenario.
package scenario
