package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

// settingsPoll is the period of checks whether the settings file has changed.
const settingsPoll = 2 * time.Second

// WatchSettings calls reload at a SIGHUP and when the settings file has changed, until
// ctx ends. A file that reload refuses is logged, and what is in force stays.
func WatchSettings(ctx context.Context, path string, logger *log.Logger, reload func() error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
			if modified(path).Equal(last) {
				continue
			}
		}
		last = modified(path)
		if err := reload(); err != nil {
			logger.Warn().Str("event", "settings-refused").Err(err).Msg("")
			continue
		}
		logger.Info().Str("event", "reloaded").Msg("")
	}
}

// modified returns the file's time of change, or the zero time if it can't be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
