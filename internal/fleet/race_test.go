//go:build race

package fleet

// The race detector bounds the synchronisation events of a process, so that the tests of large fleets
// have fewer gateways and seeds under it; without it, all of them run.
const (
	largeFleetSize = 32
	raceSeeds      = 2
)
