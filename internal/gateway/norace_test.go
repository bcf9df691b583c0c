//go:build !race

package gateway

// maxSimulatedGateways bounds the simulations of the retry budgets.
const maxSimulatedGateways = 350
