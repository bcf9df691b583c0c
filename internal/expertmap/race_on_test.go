//go:build race

package expertmap

// exploreLimit bounds the worlds of one exploration under the race detector, which is ten times slower.
const exploreLimit = 10_000
