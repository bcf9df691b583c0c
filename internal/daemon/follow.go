package daemon

import (
	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/config/configlink"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

// NewConfigFollower returns a follower of the configuration that logs its events
// and hands each newer revision to apply.
func (p *Process) NewConfigFollower(store platform.Store, apply func(*config.Index)) *configlink.Follower {
	return configlink.New(configlink.Options{
		Identity: p.Identity,
		Store:    store,
		Apply: func(x *config.Index) {
			p.Logger.Info().Str("event", "config-applied").Uint64("revision", x.Revision()).Msg("")
			apply(x)
		},
		Report: func(r config.Report) {
			p.Logger.Warn().Str("event", string(r.Kind)).Uint64("revision", r.Revision).Str("detail", r.Detail).Msg("")
		},
	})
}
