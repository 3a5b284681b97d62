package onsite

import (
	"log/slog"
	"testing"

	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/wire"
)

// Guards against an entry that sends requests to an older version for longer by the time for which its
// machine was suspended (rule VERSION of the platform).
func TestEntryClockCountsSuspensions(t *testing.T) {
	e := newEntry(&wire.EntrySettings{KvUrl: "http://127.0.0.1:1"}, slog.New(slog.DiscardHandler))
	if _, ok := e.clock.(*freshness.Clock); !ok {
		t.Errorf("got a clock of type %T, want one that counts suspensions", e.clock)
	}
}
