package entry

import (
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/link"
	"github.com/gentiantrail/gentiantrail/internal/routing"
)

// view is an immutable snapshot of the control state for traffic goroutines.
type view struct {
	// index is the configuration; it is nil until the first one has been applied.
	index *config.Index
	// routing is the state that requests are routed by.
	routing *routing.Snapshot
	// links contains one link to each linked agent and peer entry, by name.
	links map[string]link.Peer
	// stopping is true once this process takes no new work.
	stopping bool
}
