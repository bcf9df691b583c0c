package retry

import "time"

// earnedShare is the fraction of the ratio by which requests earn repeats at once. The rest of the
// ratio is available only to processes that have seen a whole window, which can use it for many
// repeats at the same time, for example when a lock-step group with all its streams fails.
const earnedShare = 0.5

// FleetBudget is one process's part of the limits on the repeats of all processes of a fleet. The
// limits hold for the fleet however often its processes restart, as a new process takes nothing for
// unspent that the process before it may have spent:
//
//   - The repeats that requests earn start at zero, and at most the process's part of the slack is kept.
//     In any span, all processes together then use at most what they kept at its begin and what its
//     requests earn. Once the window is known, what was not earned yet of the part of the slack is added:
//     a new process then has had no more than one that kept all of it at its start.
//   - A Window without slack counts the other repeats. It allows none until the process has run for a
//     whole window, when the repeats of the process before it are in no window with its own.
//
// Requests count from the earliest time at which they may have been sent, and repeats until the latest
// time at which they may arrive, so that a process that stood still uses no more than others.
//
// It reads no clock and is not safe for concurrent use.
type FleetBudget struct {
	earned Budget
	// earnedInAll is the number of repeats that requests have earned, kept or not.
	earnedInAll float64
	// slackAdded is true once addSlack has added to earned.
	slackAdded bool
	window     *Window
	span       time.Duration
	// since is the time from which the window is known.
	since time.Duration
}

// NewFleetBudget returns the budget of a process that starts at time zero. The slack in limits is the
// process's part.
func NewFleetBudget(limits WindowLimits) *FleetBudget {
	b := &FleetBudget{window: NewWindow(WindowLimits{}), span: limits.Span}
	b.apply(limits)
	return b
}

// SetLimits changes the limits at now. If the span changes, the window is not known until a new one has
// passed.
func (b *FleetBudget) SetLimits(now time.Duration, limits WindowLimits) {
	if limits.Span != b.span {
		b.span, b.since = limits.Span, now
	}
	b.apply(limits)
}

func (b *FleetBudget) apply(limits WindowLimits) {
	// The repeats that arrive within a span may be earned by the requests of a span and twice MaxDelay.
	earnedRatio := limits.Ratio * earnedShare * float64(limits.Span) / float64(limits.Span+2*MaxDelay)
	b.earned.ratio, b.earned.burst = earnedRatio, limits.Slack
	b.earned.tokens = min(b.earned.tokens, limits.Slack)
	b.window.SetLimits(WindowLimits{Ratio: limits.Ratio * (1 - earnedShare), Span: limits.Span})
}

// RecordRequest counts one request of a caller, which was sent at sent or later. A request that may
// have been sent before a window began earns nothing in it.
func (b *FleetBudget) RecordRequest(now, sent time.Duration) {
	b.addSlack(now)
	if now-sent <= MaxDelay {
		b.earned.earn()
		b.earnedInAll += b.earned.ratio
	}
	b.window.RecordRequest(now, sent)
}

// addSlack adds the part of the slack that requests have not earned, once the window is known.
func (b *FleetBudget) addSlack(now time.Duration) {
	if b.slackAdded || !b.windowKnown(now) {
		return
	}
	b.slackAdded = true
	b.earned.tokens = min(b.earned.burst, b.earned.tokens+max(0, b.earned.burst-b.earnedInAll))
}

// Repeat is a repeat that was taken from a FleetBudget and has not been sent yet.
type Repeat struct {
	taken time.Duration
	// earned is true if the repeat was earned, and false if it counts in the window.
	earned bool
}

// Allows reports whether Take would return true.
func (b *FleetBudget) Allows(now time.Duration) bool {
	return b.earned.tokens >= 1 || b.windowKnown(now) && b.window.Remaining(now) >= 1
}

// Take counts a repeat and returns true if the budget allows it. RecordSent or Return must follow.
func (b *FleetBudget) Take(now time.Duration) (Repeat, bool) {
	if b.earned.Take() {
		return Repeat{taken: now, earned: true}, true
	}
	return Repeat{taken: now}, b.windowKnown(now) && b.window.Take(now)
}

// RecordSent records that a repeat was sent at sent. An earned one that was delayed counts twice, as it
// may arrive in a window that the requests which earned it are not in.
func (b *FleetBudget) RecordSent(now, sent time.Duration, r Repeat) {
	switch {
	case !r.earned:
		b.window.RecordSent(now, sent)
	case sent-r.taken > MaxDelay:
		b.earned.tokens--
	}
}

// Return returns a repeat that will not be sent.
func (b *FleetBudget) Return(r Repeat) {
	if r.earned {
		b.earned.tokens = min(b.earned.tokens+1, b.earned.burst)
		return
	}
	b.window.Return()
}

// windowKnown reports whether all repeats that may arrive in a window with one that is taken now are
// known or earned.
func (b *FleetBudget) windowKnown(now time.Duration) bool { return now-b.since >= b.span+MaxDelay }

// FleetStatus is what a FleetBudget counts at one time.
type FleetStatus struct {
	WindowStatus
	// Earned is the number of repeats that requests have earned and that are not used.
	Earned float64 `json:"earned"`
	// WindowKnown is true once the process has run for a whole window.
	WindowKnown bool `json:"window_known"`
}

// Status returns what the budget counts at now.
func (b *FleetBudget) Status(now time.Duration) FleetStatus {
	return FleetStatus{WindowStatus: b.window.Status(now), Earned: b.earned.tokens, WindowKnown: b.windowKnown(now)}
}
