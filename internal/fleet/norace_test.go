//go:build !race

package fleet

// largeFleetSize is the number of gateways in the tests of large fleets. raceSeeds is no bound.
const (
	largeFleetSize = 96
	raceSeeds      = 1 << 20
)
