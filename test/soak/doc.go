// Package soak runs gateways as real processes between callers and targets and injects
// faults from outside: loopback proxies that delay, block and reset connections, signals,
// store faults, failing targets, and changes of the configuration by operators. The
// requests, runs and answers that callers and targets see are checked during the run. The
// seed determines the faults and their times. Run it with
//
//	make soak SOAK_FLAGS="-first 1 -last 50"
package soak
