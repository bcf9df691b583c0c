//go:build race

package gateway

// maxSimulatedGateways bounds the simulations of the retry budgets: they have one goroutine, and the
// race detector makes them twenty times as slow. All sizes run without it.
const maxSimulatedGateways = 7
