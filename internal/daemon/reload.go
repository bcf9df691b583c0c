package daemon

import (
	"context"
	"os"
	"time"

	"github.com/phuslu/log"
)

// settingsPollInterval is the interval at which the settings file is checked for changes.
const settingsPollInterval = 2 * time.Second

// WatchSettings calls reload on SIGHUP and when the settings file has changed, until
// ctx ends. If reload returns an error, which is logged, the current settings must stay in
// effect.
func WatchSettings(ctx context.Context, path string, logger *log.Logger, reload func() error) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModified := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloadSignals:
		case <-ticker.C:
			if modTime(path).Equal(lastModified) {
				continue
			}
		}
		lastModified = modTime(path)
		if err := reload(); err != nil {
			logger.Warn().Str("event", "settings-refused").Err(err).Msg("")
			continue
		}
		logger.Info().Str("event", "reloaded").Msg("")
	}
}

// modTime returns the file's modification time, or the zero time if it can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// LogNeedRestart logs the names of changed settings that take effect only at the next start.
func LogNeedRestart(logger *log.Logger, names []string) {
	if len(names) > 0 {
		logger.Warn().Str("event", "restart-needed").Strs("settings", names).Msg("")
	}
}
