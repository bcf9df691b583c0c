package routing

import (
	"time"

	"github.com/gentiantrail/gentiantrail/internal/message"
)

// ZoneLoad returns the sum of the pool's load in the entry's availability zone, for the
// report to peer entries. ServiceTime is the mean over the targets whose service time is
// known.
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
		e := newEstimate(&t.Report, t.Requests)
		sum.Running += min(e.load, e.limit)
		sum.Queued += max(e.load-e.limit, 0)
		sum.Limit += e.limit
		sum.QueueLimit += t.Report.Load.QueueLimit
		sum.State = message.TargetWarm
		if e.service > 0 {
			service += e.service
			known++
		}
	}
	if known > 0 {
		sum.ServiceTime = service / time.Duration(known)
	}
	return sum
}
