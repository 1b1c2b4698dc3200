package path

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
)

// settingsCheckInterval is the time between two checks whether the settings file has
// changed, which may happen without a signal.
const settingsCheckInterval = time.Second

// fileVersion identifies the content of a file without reading it.
type fileVersion struct {
	size     int64
	modified time.Time
}

// versionOf returns the version of a file, or the zero value if it cannot be examined.
func versionOf(file string) fileVersion {
	info, err := os.Stat(file)
	if err != nil {
		return fileVersion{} // differs from that of any file, so the reload reports the error
	}
	return fileVersion{info.Size(), info.ModTime()}
}

// watchSettings calls reload on SIGHUP and when the settings file changes, until ctx is
// cancelled. It logs the errors of reload.
func watchSettings(ctx context.Context, logger *log.Logger, file string, reload func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	lastVersion := versionOf(file)
	for {
		cause := "the file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			cause = "SIGHUP"
		case <-ticker.C:
			if versionOf(file) == lastVersion {
				continue
			}
		}
		lastVersion = versionOf(file)
		if err := reload(); err != nil {
			logger.Error("settings not reloaded", "file", file, "cause", cause, "err", err)
			continue
		}
		logger.Info("settings reloaded", "file", file, "cause", cause)
	}
}
