package placement

import "time"

// refusalFor returns why a target can't get the request, or NotRefused if it can. A target that
// could get work is added to sum, if that is not nil.
func (b *Balancer) refusalFor(now time.Duration, s *targetState, r *Request, sum *serviceSum) Refusal {
	if !s.Accepting || s.leaving {
		return NoTarget
	}
	for _, id := range r.Tried {
		if id == s.ID {
			return Unreachable
		}
	}
	if now < s.blockedUntil || s.isSilent(now) || r.AvoidGroup != "" && r.AvoidGroup == s.group {
		return Unreachable
	}
	g := b.groupOf(s)
	if g != nil && (g.stalled(now) || now < g.downUntil) {
		return GroupDown
	}
	load, share := s.load(now, b), b.workShare(now, s, g, r.Urgent)
	if sum != nil && now >= s.pausedUntil {
		sum.add(s, load, share*float64(s.Slots))
	}
	if s.StartRate > 0 && (startsUnknown(now, s) || s.startsWithin(now, startSpan) >= b.startShare(now, s)) {
		return Full
	}
	if now < s.pausedUntil || !b.withinLimit(now, s) {
		return Full
	}
	if g != nil && s.stepTimes().known() {
		if !g.hasPartLeft(r) {
			return Full
		}
		share *= 1 + r.headroom
	}
	if load >= b.workLimit(now, s, share) {
		return Full
	}
	return NotRefused
}
