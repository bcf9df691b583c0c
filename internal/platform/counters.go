package platform

import "sync/atomic"

// counters counts a Client's calls.
type counters struct {
	get, put, delete, list, watch, instances, overBudget atomic.Uint64
}

// Counters are the numbers of calls that a Client made, by kind.
type Counters struct {
	Get        uint64 `json:"get"`
	Put        uint64 `json:"put"`
	Delete     uint64 `json:"delete"`
	List       uint64 `json:"list"`
	Watch      uint64 `json:"watch"`
	Instances  uint64 `json:"instances"`
	OverBudget uint64 `json:"over_budget"`
}

// Counters returns the numbers of calls made so far. OverBudget counts the calls that
// the process's own rate limit rejected before they were sent.
func (c *Client) Counters() Counters {
	return Counters{
		Get: c.calls.get.Load(), Put: c.calls.put.Load(), Delete: c.calls.delete.Load(),
		List: c.calls.list.Load(), Watch: c.calls.watch.Load(), Instances: c.calls.instances.Load(),
		OverBudget: c.calls.overBudget.Load(),
	}
}
