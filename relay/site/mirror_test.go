package site_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/site"
)

// Symptom: an entry names a host that is gone. Sequence: an entry's own watch is
// waiting; another entry reports that a key was deleted; the watch then brings
// the older value. Cause: what came last was taken for newest.
func TestOlderRevisionDoesNotReplaceNewer(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset([]kv.Entry{value("e-1", 1)}, 10)
	w.mirror.Apply(10, []kv.Entry{deletion("e-1", 15)}, 16, true)
	w.mirror.Apply(10, []kv.Entry{value("e-1", 12)}, 14, true)
	if got := w.state.Entries(); len(got) != 0 {
		t.Errorf("got %v, want nothing: it was deleted at 15", got)
	}
	w.mirror.Apply(16, []kv.Entry{value("e-1", 17)}, 17, true)
	w.mirror.Apply(10, []kv.Entry{deletion("e-1", 15)}, 16, true)
	if got := w.state.Entries(); len(got) != 1 {
		t.Errorf("got %v, want e-1, made again at 17", got)
	}
}

// Symptom: a change is never seen. Sequence: a stream from another entry is lost
// and begun again after later changes. Cause: the gap between was not noticed.
func TestChangesAfterAGapAreRefused(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset(nil, 10)
	if w.mirror.Apply(12, []kv.Entry{value("e-1", 13)}, 13, true) {
		t.Error("got changes after 12 taken where 10 is known, want them refused")
	}
	if got, want := w.mirror.Revision(), uint64(10); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
}

// Symptom: requests begin on an old version after its time. Sequence: an entry
// learns of nothing for 2 s; a version is named meanwhile; the entry counts its
// time from when it learned of it. Cause: what was learned late was taken for new.
func TestVersionLearnedLateCountsFromEarliestDeclaration(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset(nil, 10)
	w.clock.Advance(2 * time.Second)
	w.mirror.Apply(10, []kv.Entry{kv.NewEntry("weights/m", []byte("22"), 11, false)}, 11, false)
	want, _ := w.state.WantedOf("m")
	if got := w.clock.Since(want.Since); got != 2*time.Second || want.Revision != 11 {
		t.Errorf("got an age of %v and revision %d, want 2s and 11", got, want.Revision)
	}
	w.clock.Advance(2 * time.Second)
	w.mirror.Apply(11, []kv.Entry{kv.NewEntry("weights/m", []byte("333"), 12, false)}, 12, true)
	want, _ = w.state.WantedOf("m")
	if got := w.clock.Since(want.Since); got != 0 {
		t.Errorf("got an age of %v of what came at once, want none", got)
	}
}

// TestMirrorsConverge: whatever an entry receives from the store and
// from others, in which order and how often, it knows in the end what the store
// holds, and on the way never an older value after a newer one.
func TestMirrorsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, first, second := newTestSite(), newTestSite(), newTestSite()
		revision := uint64(1)
		seen := map[string]uint64{}
		follow := func(from, to *testSite) {
			known := to.mirror.Revision()
			if rapid.Bool().Draw(t, "asksForOlder") {
				known = min(known, rapid.Uint64Range(0, known).Draw(t, "known"))
			}
			changes, _ := from.mirror.Since(known)
			if changes.Whole {
				to.mirror.Reset(changes.Entries, changes.Revision)
			} else if !to.mirror.Apply(known, changes.Entries, changes.Revision, true) {
				t.Fatalf("got changes after %d refused where %d is known", known, to.mirror.Revision())
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				revision++
				key := fmt.Sprint("e-", rapid.IntRange(0, 5).Draw(t, "key"))
				entry := value(key, revision)
				if rapid.Bool().Draw(t, "deleted") {
					entry = deletion(key, revision)
				}
				store.mirror.Apply(store.mirror.Revision(), []kv.Entry{entry}, revision, true)
			case 2:
				follow(store, first)
			case 3:
				follow(first, second)
			case 4:
				follow(second, first)
			}
			all, _ := second.mirror.Since(0)
			for _, entry := range all.Entries {
				if entry.Revision() < seen[entry.Key()] {
					t.Fatalf("got %s at %d after %d", entry.Key(), entry.Revision(), seen[entry.Key()])
				}
				seen[entry.Key()] = entry.Revision()
			}
		}
		follow(store, first)
		follow(first, second)
		want, got := keysOf(store.state), keysOf(second.state)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func keysOf(state *site.State) []string {
	var keys []string
	for id := range state.Entries() {
		keys = append(keys, id)
	}
	slices.Sort(keys)
	return keys
}

// Symptom: memory grows for as long as hosts are replaced. Cause: each deletion
// was remembered for ever. Who asks for more than is remembered gets everything.
func TestOldDeletionsArePrunedAndFullStateIsSent(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset([]kv.Entry{value("stays", 1)}, 1)
	const hosts = 5000
	for i := range uint64(hosts) {
		w.mirror.Apply(w.mirror.Revision(), []kv.Entry{value(fmt.Sprint("host-", i), 2*i+2)}, 2*i+2, true)
		w.mirror.Apply(w.mirror.Revision(), []kv.Entry{deletion(fmt.Sprint("host-", i), 2*i+3)}, 2*i+3, true)
	}
	old, _ := w.mirror.Since(1)
	if !old.Whole || len(old.Entries) != 1 {
		t.Errorf("got whole=%v and %d keys after revision 1, want the one key that there is", old.Whole, len(old.Entries))
	}
	late, _ := w.mirror.Since(2*hosts - 10)
	if late.Whole || len(late.Entries) == 0 {
		t.Errorf("got whole=%v and %d changes of late, want some changes alone", late.Whole, len(late.Entries))
	}
}
