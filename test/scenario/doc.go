// Package scenario holds scripted scenarios over real processes. They run with
// the build tag scenario.
package scenario
