// Package capacity measures what the control traffic and the requests cost a
// daemon, as slopes over the size of the fleet; docs/CAPACITY.md is worked out
// from them.
//
// One real daemon runs as a process of its own; its peers, targets, callers and
// the platform are stand-ins in the test process. Without -slopes only a small
// run checks that the measurement works:
//
//	go test ./test/capacity -run TestSlopes -slopes -v -timeout 20m
package capacity
