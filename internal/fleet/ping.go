package fleet

import (
	"context"
	"time"
)

const (
	// pingInterval is the mean interval of the calls that notice a restore of the store, or that
	// it is silent, while all watches wait. With jitter the longest is below the bound for
	// acting on a change. If there are more than pingingGateways, the interval grows so that
	// they make as many calls together: one that notices something reads the store and tells the
	// others the positions. Where gateways pass on changes, those that watch make these calls.
	pingInterval    = 400 * time.Millisecond
	pingingGateways = 32
	// minPingInterval is the shortest interval of the gateways that watch the store for their zone,
	// and readerPingInterval that of the others.
	minPingInterval    = 100 * time.Millisecond
	readerPingInterval = 10 * time.Second
	// pingTimeout bounds a ping. If a silent store loses the last ping before it answers again,
	// its return is noticed after this time and a retry pause.
	pingTimeout = 800 * time.Millisecond
	// openPingDelay is the time from the call of a watch to the ping that shows whether the
	// store was silent when it got the watch.
	openPingDelay = 20 * time.Millisecond
)

// ping calls the store periodically, and soon after each call of a watch. A watch that waits
// may stay open while the store is restored, and is then not answered for changes with lower
// revisions; or the store was silent when it got the call, and never answers it.
func (f *Follower) ping(ctx context.Context) {
	due := time.NewTimer(jittered(f.pingPause()))
	defer due.Stop()
	for ctx.Err() == nil {
		f.waitForPing(ctx, due)
		if f.backoff.failing() {
			continue // the calls that are tried again tell as much
		}
		f.retry(ctx, TopicGateways, func() error {
			ctx, cancel := context.WithTimeout(ctx, pingTimeout)
			defer cancel()
			return f.Source.Ping(ctx, f.Self)
		})
	}
}

// waitForPing waits until a ping is needed. The periodic pings, for which due fires, are not
// postponed by others: all gateways call their watches at the same time after a change.
func (f *Follower) waitForPing(ctx context.Context, due *time.Timer) {
	select {
	case <-ctx.Done():
	case <-due.C:
		due.Reset(jittered(f.pingPause()))
	case <-f.laterEra:
	case <-f.watchOpened:
		sleep(ctx, openPingDelay)
	}
}

// pingPause returns the mean interval of this gateway's pings.
func (f *Follower) pingPause() time.Duration {
	if f.LivePeers == nil {
		return pingInterval
	}
	now, gateways := time.Now(), 1+f.LivePeers()
	live := f.relays.liveMembers(now)
	switch {
	case live < RelayMinMembers:
		return pingInterval * time.Duration(max(pingingGateways, gateways)) / pingingGateways
	case f.relays.mustWatch(now):
		watching := gateways * relayWatchers / live
		return max(minPingInterval, pingInterval*time.Duration(watching)/pingingGateways)
	default:
		return readerPingInterval
	}
}
