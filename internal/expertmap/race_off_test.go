//go:build !race

package expertmap

// exploreLimit is the largest number of states that one exploration visits. It is
// above the size of every explored state space.
const exploreLimit = 400_000
