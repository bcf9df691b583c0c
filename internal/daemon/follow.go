package daemon

import (
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/config/configlink"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// NewConfigFollower returns a follower that calls apply with each newer
// configuration. The caller must start the follower's Run and wrap the process's link
// handler with its Wrap.
func (p *Process) NewConfigFollower(store platform.Store, apply func(*config.Index)) *configlink.Follower {
	return configlink.New(configlink.Options{
		Identity: p.Identity,
		Store:    store,
		Apply: func(x *config.Index) {
			p.Logger.Info().Str("event", "config-applied").Uint64("revision", x.Revision()).Msg("")
			apply(x)
		},
		Report: p.logConfigReport,
	})
}

// logConfigReport logs an event of the configuration's follower.
func (p *Process) logConfigReport(r config.Report) {
	p.Logger.Info().Str("event", "config").Str("kind", string(r.Kind)).
		Uint64("revision", r.Revision).Str("detail", r.Detail).Msg("")
}
