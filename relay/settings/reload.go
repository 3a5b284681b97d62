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

// reloadInterval is how often a settings file is looked at that may change
// without a signal.
const reloadInterval = 2 * time.Second

// Reloader reads a settings file again when it changed, with or without SIGHUP.
// A file that cannot be read or is wrong changes nothing and is logged.
type Reloader[T any] struct {
	File  string // empty: settings never change, SIGHUP does nothing
	Load  func(file string) (T, error)
	Apply func(T)
	Clock clockwork.Clock
	Log   *slog.Logger

	seen time.Time // modification that was read last
	size int64
}

// Run reloads until ctx ends.
func (r *Reloader[T]) Run(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	r.changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			r.changed()
			r.reload("signal")
		case <-r.Clock.After(reloadInterval):
			if r.changed() {
				r.reload("file")
			}
		}
	}
}

// changed reports whether the file is another one than at the last look.
func (r *Reloader[T]) changed() bool {
	info, err := os.Stat(r.File)
	if r.File == "" || err != nil || info.ModTime().Equal(r.seen) && info.Size() == r.size {
		return false
	}
	r.seen, r.size = info.ModTime(), info.Size()
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
	r.Log.Info("settings read again", "cause", cause, "file", r.File)
}
