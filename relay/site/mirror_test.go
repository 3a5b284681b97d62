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

// Guards against a deleted host that is listed again: another entry reports that a key was
// deleted, then the entry's own watch returns the older value, and the last value received
// is taken for the newest.
func TestOlderRevisionDoesNotReplaceNewer(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset([]kv.Entry{value("e-1", 1)}, 10, true)
	w.mirror.Apply(10, []kv.Entry{deletion("e-1", 15)}, 16, true)
	w.mirror.Apply(10, []kv.Entry{value("e-1", 12)}, 14, true)
	if got := w.state.Entries(); len(got) != 0 {
		t.Errorf("got %v, want no entries: e-1 was deleted at 15", got)
	}
	w.mirror.Apply(16, []kv.Entry{value("e-1", 17)}, 17, true)
	w.mirror.Apply(10, []kv.Entry{deletion("e-1", 15)}, 16, true)
	if got := w.state.Entries(); len(got) != 1 {
		t.Errorf("got %v, want e-1, which was created again at 17", got)
	}
}

// Guards against a change that is never seen: a stream from another entry breaks and
// resumes after later changes, and the gap between goes unnoticed.
func TestChangesAfterAGapAreRefused(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset(nil, 10, true)
	if w.mirror.Apply(12, []kv.Entry{value("e-1", 13)}, 13, true) {
		t.Error("got changes after 12 applied where 10 is known, want them refused")
	}
	if got, want := w.mirror.Revision(), uint64(10); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
}

// Guards against requests that begin on an old version after its time is over: a version
// is declared while an entry receives no changes for 2 s, and the entry counts the
// version's age from when it received the declaration.
func TestVersionLearnedLateCountsFromEarliestDeclaration(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset(nil, 10, true)
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
		t.Errorf("got an age of %v for a change received as it was made, want 0", got)
	}
}

// TestMirrorsConverge checks that an entry ends up with the store's keys, whatever it
// receives from the store and from other entries, in whatever order and how often, and that
// no older value ever replaces a newer one.
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
			if changes.Full {
				to.mirror.Reset(changes.Entries, changes.Revision, true)
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

// Guards against memory that grows as long as hosts are replaced, because each deletion is
// kept forever. A caller that asks for changes older than those kept gets the full state.
func TestOldDeletionsArePrunedAndFullStateIsSent(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset([]kv.Entry{value("stays", 1)}, 1, true)
	const hosts = 5000
	for i := range uint64(hosts) {
		w.mirror.Apply(w.mirror.Revision(), []kv.Entry{value(fmt.Sprint("host-", i), 2*i+2)}, 2*i+2, true)
		w.mirror.Apply(w.mirror.Revision(), []kv.Entry{deletion(fmt.Sprint("host-", i), 2*i+3)}, 2*i+3, true)
	}
	old, _ := w.mirror.Since(1)
	if !old.Full || len(old.Entries) != 1 {
		t.Errorf("got whole=%v and %d keys after revision 1, want the full state of one key", old.Full, len(old.Entries))
	}
	late, _ := w.mirror.Since(2*hosts - 10)
	if late.Full || len(late.Entries) == 0 {
		t.Errorf("got whole=%v and %d recent changes, want only some changes", late.Full, len(late.Entries))
	}
}

// Guards against data that is proven by nothing while a store changes again and again: each time that
// an entry asks for the newest revision, another change is missing.
func TestDataIsProvenOnceClaimedChangesAreKnown(t *testing.T) {
	w := newTestSite()
	w.mirror.Reset([]kv.Entry{value("catalog", 3)}, 5, true)
	w.clock.Advance(time.Second)
	w.mirror.ProveAt(w.fresh.Now(), 7)
	w.clock.Advance(time.Second)
	w.mirror.Apply(5, []kv.Entry{value("catalog", 6)}, 6, true)
	if _, proven := w.fresh.Age(); proven {
		t.Errorf("got a proof while a change is missing that was made before the time of the proof")
	}
	w.mirror.ApplySome([]kv.Entry{value("catalog", 7)})
	if _, proven := w.fresh.Age(); proven {
		t.Errorf("got a proof after some changes, want none: others may be missing")
	}
	w.mirror.Apply(6, []kv.Entry{value("catalog", 8)}, 8, true)
	if age, proven := w.fresh.Age(); !proven || age != time.Second {
		t.Errorf("got age %v, proven %t, want the time since the revision was asked for", age, proven)
	}
	w.clock.Advance(time.Second)
	w.mirror.ProveAt(w.fresh.Now(), 8)
	if age, proven := w.fresh.Age(); !proven || age != 0 {
		t.Errorf("got age %v, proven %t, want a proof at once where nothing is missing", age, proven)
	}
}
