package gateway

import (
	"math"
	"time"

	"github.com/gentiantrail/gentiantrail/internal/placement"
)

// groupLogInterval is the least time between two log lines of the share of a group.
const groupLogInterval = time.Second

// GroupState is the model of a lock-step group in the state dump.
type GroupState struct {
	Group        string  `json:"group"`
	Share        float64 `json:"share"`
	LongestGapMs float64 `json:"longest_gap_ms"`
	Load         float64 `json:"load"`
	InFlight     int     `json:"in_flight"`
	Part         int     `json:"part"`
}

func groupStates(shares []placement.GroupShare) []GroupState {
	var states []GroupState
	for _, s := range shares {
		states = append(states, GroupState{
			Group: s.Group, Share: s.Share, LongestGapMs: float64(s.LongestGap) / float64(time.Millisecond),
			Load: s.Load, InFlight: s.InFlight, Part: s.Part,
		})
	}
	return states
}

// loggedShare is the last log line of the share of a group.
type loggedShare struct {
	tenths int
	at     time.Duration
}

// logGroupShares writes a log line for each group whose share has crossed a multiple of 0.1.
func (c *control) logGroupShares() {
	c.g.mu.Lock()
	now := c.g.now()
	shares := c.g.balancer.GroupShares(now)
	c.g.mu.Unlock()
	logged := make(map[string]loggedShare, len(shares))
	for _, s := range shares {
		last, known := c.loggedShares[s.Group]
		// The tolerance keeps rounding errors of sums of steps from crossing a multiple.
		tenths := int(math.Floor(10*s.Share + 1e-6))
		switch {
		case !known:
			last = loggedShare{tenths: tenths, at: now - groupLogInterval}
		case tenths != last.tenths && now-last.at >= groupLogInterval:
			last = loggedShare{tenths: tenths, at: now}
			c.g.logGroupShare(s)
		}
		logged[s.Group] = last
	}
	c.loggedShares = logged
}

// logGroupShare writes the log line of the share of a group.
func (g *Gateway) logGroupShare(s placement.GroupShare) {
	g.opts.Logger.Info().Str("event", "belief").Str("topic", "groups").Str("subject", s.Group).Str("outcome", "share").
		Float64("share", math.Round(1000*s.Share)/1000).Int64("longest_gap_ms", s.LongestGap.Milliseconds()).
		Float64("load", math.Round(1000*s.Load)/1000).Msg("")
}
