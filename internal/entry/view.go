package entry

import (
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// view is an immutable snapshot of the control state for traffic goroutines.
type view struct {
	// index is nil until the first configuration is in force.
	index *config.Index
	// routing is what requests are routed by.
	routing *routing.Snapshot
	// links holds the link to each agent and peer entry by name.
	links map[string]link.Peer
	// stopping tells that this process takes no new work.
	stopping bool
}
