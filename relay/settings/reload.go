package settings

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// reloadInterval is the interval at which a settings file is checked for changes
// without a signal.
const reloadInterval = 2 * time.Second

// Reloader reloads a settings file on SIGHUP and when it detects a change. If the
// file is unreadable or invalid, it logs the error and keeps the settings.
type Reloader[T any] struct {
	File  string // if empty, settings never change and SIGHUP is ignored
	Load  func(file string) (T, error)
	Apply func(T)
	Clock clockwork.Clock
	Log   *slog.Logger

	modTime time.Time // modification time at the last check
	size    int64
}

// Run watches for signals and changes until ctx is done.
func (r *Reloader[T]) Run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r.fileChanged()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.fileChanged()
			r.reload("signal")
		case <-r.Clock.After(reloadInterval):
			if r.fileChanged() {
				r.reload("file")
			}
		}
	}
}

// fileChanged reports whether the file's modification time or size differs from the
// last check.
func (r *Reloader[T]) fileChanged() bool {
	info, err := os.Stat(r.File)
	if r.File == "" || err != nil || info.ModTime().Equal(r.modTime) && info.Size() == r.size {
		return false
	}
	r.modTime, r.size = info.ModTime(), info.Size()
	return true
}

func (r *Reloader[T]) reload(cause string) {
	if r.File == "" {
		return
	}
	set, err := r.Load(r.File)
	if err != nil {
		r.Log.Error("settings stay as they were", "cause", cause, "file", r.File, "error", err)
		return
	}
	r.Apply(set)
	r.Log.Info("settings reloaded", "cause", cause, "file", r.File)
}
