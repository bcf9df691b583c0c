// Package soak runs gateways as real processes between callers and targets and injects
// faults from outside: loopback proxies that delay, block and reset connections, signals,
// store faults, failing targets, and changes of the configuration by operators. TestStops
// stops gateways in turn without other faults. The requests, runs and answers that callers
// and targets see are checked during the run, and after it that every request has a whole
// answer unless the record of faults excuses it. The seed determines the faults, the pauses
// of streams and their times. Run it with
//
//	make soak SOAK_FLAGS="-first 1 -last 50"
package soak
