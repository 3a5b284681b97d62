package store

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/wire"
)

// steadyClock runs by itself, so that pauses between attempts end.
type steadyClock struct {
	clockwork.Clock

	fake *clockwork.FakeClock
}

func (c steadyClock) After(wait time.Duration) <-chan time.Time {
	c.fake.Advance(wait)
	done := make(chan time.Time, 1)
	done <- c.fake.Now()
	return done
}

// world drives several entries and a collector against one faulty service.
type world struct {
	t         *rapid.T
	clock     *clockwork.FakeClock
	service   *faultyService
	entries   []*Store
	collector *Collector
	// history holds every root that the service ever had, by revision.
	history map[uint32]*wire.Root
	// outcomes is the submitters' outcomes: accepted, refused or unknown.
	outcomes map[string]string
	nested   bool
	count    int
}

func newWorld(t *rapid.T) *world {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 7, 9, 0, 0, 0, time.UTC))
	w := &world{t: t, clock: clock, service: newFaultyService(clock), history: map[uint32]*wire.Root{}, outcomes: map[string]string{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for range 3 {
		entry := New(w.service.store(), NewParts(4<<10), steadyClock{clock, clock}, log)
		entry.later = func(work func()) { work() }
		w.entries = append(w.entries, entry)
	}
	w.collector = NewCollector(w.entries[2])
	w.service.before = w.meanwhile
	return w
}

// meanwhile is what other processes do just ahead of a write.
func (w *world) meanwhile(string) {
	w.observe()
	if w.nested || rapid.IntRange(0, 9).Draw(w.t, "meanwhile") > 2 {
		return
	}
	w.nested = true
	defer func() { w.nested = false }()
	switch rapid.IntRange(0, 2).Draw(w.t, "who") {
	case 0:
		w.submit()
	case 1:
		w.collect()
	default:
		w.service.deliver()
	}
	w.observe()
}

// observe notes the root that the service has.
func (w *world) observe() {
	entry, found := w.service.memory.Get(RootKey)
	if !found {
		return
	}
	root, err := DecodeRoot(entry.Value())
	if err != nil {
		w.t.Fatal(err)
	}
	held := w.history[root.GetRevision()]
	if held != nil && held.GetSubmissionId() != root.GetSubmissionId() {
		w.t.Fatalf("got two roots of revision %d: %s and %s", root.GetRevision(), held.GetSubmissionId(), root.GetSubmissionId())
	}
	w.history[root.GetRevision()] = root
	w.checkParts(root)
}

// checkParts: whatever is in force must be there as a whole.
func (w *world) checkParts(root *wire.Root) {
	for _, part := range root.GetParts() {
		if _, found := w.service.memory.Get(partKey(part.GetHash())); !found {
			w.t.Fatalf("got revision %d without its part %s", root.GetRevision(), part.GetName())
		}
	}
}

func (w *world) newest() uint32 {
	newest := uint32(0)
	for revision := range w.history {
		newest = max(newest, revision)
	}
	return newest
}

func (w *world) submit() {
	w.observe()
	w.count++
	id := fmt.Sprintf("s%d", w.count)
	base := w.newest()
	if base > 0 && rapid.IntRange(0, 3).Draw(w.t, "stale") == 0 {
		base--
	}
	sub := Submission{
		Document: sample(rapid.IntRange(0, 5).Draw(w.t, "priority")), BaseRevision: base,
		SubmissionID: id, Operator: "marta", Reason: "random",
	}
	store := w.entries[rapid.IntRange(0, 2).Draw(w.t, "entry")]
	for range rapid.IntRange(1, 2).Draw(w.t, "tries") {
		w.planFaults()
		_, err := store.Submit(context.Background(), sub)
		w.record(id, err)
		if err == nil || failure.KindOf(err) != failure.Ambiguous {
			break
		}
	}
	w.service.faults, w.service.down = nil, false
}

func (w *world) record(id string, err error) {
	switch {
	case err == nil:
		w.outcomes[id] = "accepted"
	case failure.KindOf(err) == failure.Ambiguous:
		w.outcomes[id] = "unknown"
	case failure.KindOf(err) == failure.Unavailable && w.outcomes[id] == "unknown":
		// This call had no effect; of the earlier one it knows nothing.
	default:
		w.outcomes[id] = "refused"
	}
}

func (w *world) planFaults() {
	for range rapid.IntRange(0, 3).Draw(w.t, "faults") {
		w.service.faults = append(w.service.faults, fault{
			prefix: rapid.SampledFrom([]string{RootKey, RootKey, PartsPrefix, auditPrefix}).Draw(w.t, "key"),
			kind:   rapid.SampledFrom([]string{"lostReply", "lostCall", "late", "down", "lostReplyThenDown"}).Draw(w.t, "kind"),
		})
	}
}

func (w *world) collect() {
	w.clock.Advance(time.Duration(rapid.IntRange(1, 12).Draw(w.t, "minutes")) * time.Minute)
	_, _ = w.collector.Pass(context.Background())
}

// check holds the submitters' outcomes against what the service had.
func (w *world) check() {
	w.service.faults, w.service.down = nil, false
	w.service.deliver()
	w.observe()
	accepted := map[string]int{}
	for _, root := range w.history {
		accepted[root.GetSubmissionId()]++
	}
	for id, outcome := range w.outcomes {
		count := accepted[id]
		if count > 1 {
			w.t.Fatalf("got submission %s accepted %d times, want once", id, count)
		}
		if outcome == "accepted" && count != 1 || outcome == "refused" && count != 0 {
			w.t.Fatalf("got submission %s with outcome %q, accepted %d times", id, outcome, count)
		}
	}
	w.checkTrail()
}

// checkTrail: every revision but the newest has its record under its own key.
func (w *world) checkTrail() {
	newest := w.newest()
	for revision := uint32(1); revision < newest; revision++ {
		entry, found := w.service.memory.Get(auditKey(revision))
		if !found {
			w.t.Fatalf("got no record of revision %d, with revision %d in force", revision, newest)
		}
		root, err := DecodeRoot(entry.Value())
		if err != nil {
			w.t.Fatal(err)
		}
		if held := w.history[revision]; held != nil && held.GetSubmissionId() != root.GetSubmissionId() {
			w.t.Fatalf("got a record of %s for revision %d, want %s", root.GetSubmissionId(), revision, held.GetSubmissionId())
		}
	}
	for _, entry := range w.records() {
		root, err := DecodeRoot(entry.Value())
		if err != nil || root.GetRevision() > newest {
			w.t.Fatalf("got a record of revision %d beyond the newest %d", root.GetRevision(), newest)
		}
	}
}

func (w *world) records() []kv.Entry {
	found, _ := w.service.memory.List(strings.TrimSuffix(auditPrefix, "/"))
	return found
}

// TestSubmissionsUnderFaults: replies are lost, calls arrive late, the service
// goes down, other operators and the collector act between any two writes. The
// symptoms would be a submission answered refused that is in force, or accepted
// that is not; two accepted on one base; a revision without record or part.
func TestSubmissionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "step") == 0 {
				w.collect()
			} else {
				w.submit()
			}
		}
		w.check()
	})
}
