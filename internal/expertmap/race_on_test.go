//go:build race

package expertmap

// exploreLimit is the largest number of states that one exploration visits under
// the race detector, which is ten times slower.
const exploreLimit = 10_000
