package settings_test

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/settings"
)

// startReloader runs a Reloader whose setting is the text of the file; it rejects "bad".
func startReloader(t *testing.T) (file string, applied chan string, clock *clockwork.FakeClock) {
	t.Helper()
	file = filepath.Join(t.TempDir(), "settings.json")
	write(t, file, "one")
	applied = make(chan string, 8)
	clock = clockwork.NewFakeClock()
	reloader := &settings.Reloader[string]{
		File: file, Clock: clock, Log: slog.New(slog.DiscardHandler),
		Load: func(name string) (string, error) {
			text, err := os.ReadFile(name)
			if string(text) == "bad" {
				err = errors.New("bad")
			}
			return string(text), err
		},
		Apply: func(text string) { applied <- text },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); reloader.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	return file, applied, clock
}

func write(t *testing.T, file, text string) {
	t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a process that exits when its settings change: the platform sends
// SIGHUP, and the default action of an unhandled SIGHUP terminates the process.
func TestHangupReloadsTheSettings(t *testing.T) {
	file, applied, _ := startReloader(t)
	write(t, file, "two")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if got, want := <-applied, "two"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestFileChangesAreReloadedAndInvalidOnesIgnored(t *testing.T) {
	file, applied, clock := startReloader(t)
	for _, text := range []string{"bad", "three!"} {
		write(t, file, text)
		if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(3 * time.Second)
		if err := clock.BlockUntilContext(context.Background(), 1); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := <-applied, "three!"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
