package daemon

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/gentiantrail/gentiantrail/internal/config"
	"github.com/gentiantrail/gentiantrail/internal/platform"
)

const (
	// watchWait is the longest wait of one watch call.
	watchWait = 20 * time.Second
	// followRetry is the pause after a failed call.
	followRetry = time.Second
)

// FollowConfig watches the configuration's head and hands each newer revision to apply.
func FollowConfig(ctx context.Context, store platform.Store, l *log.Logger, apply func(*config.Index)) {
	f := follower{publisher: config.Publisher{Store: store}, store: store, logger: l, apply: apply}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			l.Warn().Str("event", "config-read-failed").Str("detail", err.Error()).Msg("")
			time.Sleep(followRetry)
		}
	}
}

type follower struct {
	publisher config.Publisher
	store     platform.Store
	logger    *log.Logger
	apply     func(*config.Index)
	revision  uint64
	watched   uint64
}

func (f *follower) step(ctx context.Context) error {
	listed, err := f.store.List(ctx, config.HeadKey)
	if err != nil {
		return err
	}
	f.watched = listed.Revision
	if err := f.read(ctx); err != nil {
		return err
	}
	_, err = f.store.Watch(ctx, config.HeadKey, f.watched, watchWait)
	return err
}

func (f *follower) read(ctx context.Context) error {
	snap, err := f.publisher.Read(ctx)
	if err != nil || snap.Head.Revision <= f.revision {
		return err
	}
	c, err := f.publisher.Config(ctx, snap.Head)
	if err != nil {
		return err
	}
	f.revision = c.Revision
	f.logger.Info().Str("event", "config-applied").Uint64("revision", c.Revision).Msg("")
	f.apply(c.Index())
	return nil
}
