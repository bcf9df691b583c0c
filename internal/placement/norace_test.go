//go:build !race

package placement

// maxSimulatedGateways bounds the load tests.
const maxSimulatedGateways = 350
