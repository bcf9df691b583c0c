package routing

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// ZoneLoad returns the pool's summed load in the entry's own availability zone,
// for the report to peer entries. ServiceTime is the mean over the targets.
func (s *Snapshot) ZoneLoad(pool string) message.Load {
	sum := message.Load{State: message.TargetLeaving}
	p := s.pool(pool)
	if p == nil || s.Drained {
		return sum
	}
	var service time.Duration
	known := 0
	for i := range p.Targets {
		t := &p.Targets[i]
		if !t.Usable() {
			continue
		}
		g := newGuess(&t.Report, t.Sent)
		sum.Running += min(g.load, g.limit)
		sum.Queued += max(g.load-g.limit, 0)
		sum.Limit += g.limit
		sum.QueueLimit += t.Report.Load.QueueLimit
		sum.State = message.TargetWarm
		if g.service > 0 {
			service += g.service
			known++
		}
	}
	if known > 0 {
		sum.ServiceTime = service / time.Duration(known)
	}
	return sum
}
