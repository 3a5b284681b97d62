package directory

import (
	"fmt"
	"testing"
)

func entriesOf(count int) []Entry {
	var entries []Entry
	for i := range count {
		entries = append(entries, Entry{
			ID: fmt.Sprintf("e%d", i), Region: "gt", FailureDomain: fmt.Sprintf("d%d", i%3), InFlight: 10,
		})
	}
	return entries
}

// countChoices counts how often each entry is chosen by many callers.
func countChoices(entries []Entry) map[string]int {
	counts := make(map[string]int)
	for caller := range 10_000 {
		choice, _ := Choose(entries[0], fmt.Sprintf("10.0.0.%d:%d", caller%250, caller), entries)
		counts[choice.Use.ID]++
	}
	return counts
}

func TestCallersSpread(t *testing.T) {
	entries := entriesOf(9)
	entries[8].InFlight = 200
	counts := countChoices(entries)
	for _, entry := range entries[:8] {
		if got := counts[entry.ID]; got < 500 || got > 2500 {
			t.Errorf("%s: got %d of 10000 callers, want a fair part", entry.ID, got)
		}
	}
	if got := counts["e8"]; got > 500 {
		t.Errorf("got %d of 10000 callers on the loaded entry, want few", got)
	}
}

// Guards against moving all callers when one entry is removed: only that entry's
// callers may move.
func TestOnlyTheCallersOfAGoneEntryMove(t *testing.T) {
	entries := entriesOf(9)
	for caller := range 1000 {
		name := fmt.Sprint(caller)
		before, _ := Choose(entries[0], name, entries)
		after, _ := Choose(entries[0], name, entries[:8])
		if before.Use.ID != "e8" && after.Use.ID != before.Use.ID {
			t.Fatalf("caller %s: got %s, want %s as before", name, after.Use.ID, before.Use.ID)
		}
		if len(before.Spares) != Spares {
			t.Fatalf("got %d spares, want %d", len(before.Spares), Spares)
		}
	}
}
