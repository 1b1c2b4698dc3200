package path

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
)

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsInterval = time.Second

// stamp tells one content of a file from another without reading it.
type stamp struct {
	size     int64
	modified time.Time
}

func stampOf(file string) stamp {
	info, err := os.Stat(file)
	if err != nil {
		return stamp{} // differs from the file's own, so that the reload reports why
	}
	return stamp{info.Size(), info.ModTime()}
}

// onChange calls reload when SIGHUP comes or the settings file changes, until
// the context ends. Settings that cannot be used are reported and ignored.
func onChange(ctx context.Context, logger *log.Logger, file string, reload func() error) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := stampOf(file)
	for {
		why := "the file changed"
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			why = "SIGHUP"
		case <-ticker.C:
			if stampOf(file) == last {
				continue
			}
		}
		last = stampOf(file)
		if err := reload(); err != nil {
			logger.Error("settings not reloaded", "file", file, "cause", why, "err", err)
			continue
		}
		logger.Info("settings reloaded", "file", file, "cause", why)
	}
}
