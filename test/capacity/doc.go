// Package capacity measures the cost of control traffic and of requests in a daemon, as
// slopes over the size of the fleet. The figures of docs/CAPACITY.md are computed from
// these slopes.
//
// One real daemon runs as a separate process. Its peers, targets and callers and the
// platform are stand-ins in the test process. Without -slopes, only a short run checks
// that the measurement works. All sizes are measured by
//
//	go test ./test/capacity -run TestSlopes -slopes -v -timeout 20m
package capacity
