//go:build !race

package expertmap

// exploreLimit bounds the worlds of one exploration; it is above the size of every explored space.
const exploreLimit = 400_000
