package fleet

import "time"

const (
	// maxWatchTimeout is the longest time for which a watch call waits. The store allows up to
	// 30 s, and a waiting watch counts as one call.
	maxWatchTimeout = 29 * time.Second
	// historyShare is the share of the store's history for which a watch waits. A watch that
	// waits for longer can't be continued, and the topic has to be listed again.
	historyShare = 0.9
	// firstWatchPause is the pause between two watches of a topic, so that changes in quick
	// succession need one call.
	firstWatchPause = 500 * time.Millisecond
	// reactionTime is the part of the drain timeout that is left for all but the pauses between
	// watches.
	reactionTime = 2 * time.Second
)

// watchTimeout returns the time for which a watch call waits.
func (f *Follower) watchTimeout() time.Duration {
	if f.History == 0 {
		return maxWatchTimeout
	}
	return min(time.Duration(historyShare*float64(f.History)), maxWatchTimeout)
}

// maxWatchPause returns the longest pause between two watches of a topic.
func maxWatchPause(drainTimeout time.Duration) time.Duration {
	return max(min(firstWatchPause, drainTimeout/4), drainTimeout-reactionTime)
}

// nextWatchPause returns the pause after a watch that was open for some time. While changes keep
// coming, the pause grows: each gateway that reads a change costs the store a call.
func nextWatchPause(last, open, drainTimeout time.Duration) time.Duration {
	longest := maxWatchPause(drainTimeout)
	if open > last {
		return min(firstWatchPause, longest)
	}
	return min(max(2*last, firstWatchPause), longest)
}
