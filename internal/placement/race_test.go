//go:build race

package placement

// maxSimulatedGateways bounds the load tests: a Balancer has no goroutines, and the race detector
// makes the simulations ten times as slow. All sizes run without it.
const maxSimulatedGateways = 7
