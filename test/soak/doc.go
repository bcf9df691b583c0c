// Package soak runs gateways as real processes between callers and targets while
// faults strike from outside them: a loopback proxy that delays, silences and resets,
// signals, a store that misbehaves, targets that fail, operators that change things.
// What callers and targets see is checked while it runs. The seed fixes the faults and
// their times. Run it with
//
//	make soak SOAK_FLAGS="-first 1 -last 50"
package soak
