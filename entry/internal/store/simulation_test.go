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

// autoAdvanceClock advances by the full wait on After, so that the delays between
// attempts end immediately.
type autoAdvanceClock struct {
	clockwork.Clock

	fake *clockwork.FakeClock
}

func (c autoAdvanceClock) After(wait time.Duration) <-chan time.Time {
	c.fake.Advance(wait)
	done := make(chan time.Time, 1)
	done <- c.fake.Now()
	return done
}

// simulation runs several entries and a collector against one faulty service.
type simulation struct {
	t         *rapid.T
	clock     *clockwork.FakeClock
	service   *faultyService
	entries   []*Store
	collector *Collector
	// history holds every root observed in the service, by revision.
	history map[uint32]*wire.Root
	// outcomes holds the outcome reported for each submission id: accepted,
	// refused or unknown.
	outcomes     map[string]string
	interleaving bool
	count        int
}

func newSimulation(t *rapid.T) *simulation {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 7, 9, 0, 0, 0, time.UTC))
	sim := &simulation{t: t, clock: clock, service: newFaultyService(clock), history: map[uint32]*wire.Root{}, outcomes: map[string]string{}}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	for range 3 {
		entry := New(sim.service.store(), NewPartCache(4<<10), autoAdvanceClock{clock, clock}, log)
		entry.runAsync = func(work func()) { work() }
		sim.entries = append(sim.entries, entry)
	}
	sim.collector = NewCollector(sim.entries[2])
	sim.service.beforeWrite = sim.interleave
	return sim
}

// interleave randomly runs an action of another process just before a write.
func (sim *simulation) interleave(string) {
	sim.observe()
	if sim.interleaving || rapid.IntRange(0, 9).Draw(sim.t, "meanwhile") > 2 {
		return
	}
	sim.interleaving = true
	defer func() { sim.interleaving = false }()
	switch rapid.IntRange(0, 2).Draw(sim.t, "who") {
	case 0:
		sim.submit()
	case 1:
		sim.collect()
	default:
		sim.service.deliver()
	}
	sim.observe()
}

// observe adds the current root to the history and fails if the history already
// has a different root of the same revision.
func (sim *simulation) observe() {
	entry, found := sim.service.memory.Get(RootKey)
	if !found {
		return
	}
	root, err := DecodeRoot(entry.Value())
	if err != nil {
		sim.t.Fatal(err)
	}
	previous := sim.history[root.GetRevision()]
	if previous != nil && previous.GetSubmissionId() != root.GetSubmissionId() {
		sim.t.Fatalf("got two roots of revision %d: %s and %s", root.GetRevision(), previous.GetSubmissionId(), root.GetSubmissionId())
	}
	sim.history[root.GetRevision()] = root
	sim.checkParts(root)
}

// checkParts fails if the service lacks a part of the root in force.
func (sim *simulation) checkParts(root *wire.Root) {
	for _, part := range root.GetParts() {
		if _, found := sim.service.memory.Get(partKey(part.GetHash())); !found {
			sim.t.Fatalf("got revision %d without its part %s", root.GetRevision(), part.GetName())
		}
	}
}

func (sim *simulation) newest() uint32 {
	newest := uint32(0)
	for revision := range sim.history {
		newest = max(newest, revision)
	}
	return newest
}

// submit makes a random submission under random faults, up to twice.
func (sim *simulation) submit() {
	sim.observe()
	sim.count++
	id := fmt.Sprintf("s%d", sim.count)
	base := sim.newest()
	if base > 0 && rapid.IntRange(0, 3).Draw(sim.t, "stale") == 0 {
		base--
	}
	sub := Submission{
		Document: sample(rapid.IntRange(0, 5).Draw(sim.t, "priority")), BaseRevision: base,
		SubmissionID: id, Operator: "marta", Reason: "random",
	}
	store := sim.entries[rapid.IntRange(0, 2).Draw(sim.t, "entry")]
	for range rapid.IntRange(1, 2).Draw(sim.t, "tries") {
		sim.planFaults()
		_, err := store.Submit(context.Background(), sub)
		sim.recordOutcome(id, err)
		if err == nil || failure.KindOf(err) != failure.Ambiguous {
			break
		}
	}
	sim.service.faults, sim.service.down = nil, false
}

// recordOutcome stores the outcome that the submitter received.
func (sim *simulation) recordOutcome(id string, err error) {
	switch {
	case err == nil:
		sim.outcomes[id] = "accepted"
	case failure.KindOf(err) == failure.Ambiguous:
		sim.outcomes[id] = "unknown"
	case failure.KindOf(err) == failure.Unavailable && sim.outcomes[id] == "unknown":
		// This call had no effect, but the outcome of the earlier one is still
		// unknown.
	default:
		sim.outcomes[id] = "refused"
	}
}

// planFaults queues up to three random faults.
func (sim *simulation) planFaults() {
	for range rapid.IntRange(0, 3).Draw(sim.t, "faults") {
		sim.service.faults = append(sim.service.faults, fault{
			prefix: rapid.SampledFrom([]string{RootKey, RootKey, PartsPrefix, auditPrefix}).Draw(sim.t, "key"),
			kind:   rapid.SampledFrom([]string{"lostReply", "lostCall", "late", "down", "lostReplyThenDown"}).Draw(sim.t, "kind"),
		})
	}
}

// collect advances the clock and runs one collector pass.
func (sim *simulation) collect() {
	sim.clock.Advance(time.Duration(rapid.IntRange(1, 12).Draw(sim.t, "minutes")) * time.Minute)
	_, _ = sim.collector.Pass(context.Background())
}

// checkOutcomes compares the reported outcomes with the observed history.
func (sim *simulation) checkOutcomes() {
	sim.service.faults, sim.service.down = nil, false
	sim.service.deliver()
	sim.observe()
	accepted := map[string]int{}
	for _, root := range sim.history {
		accepted[root.GetSubmissionId()]++
	}
	for id, outcome := range sim.outcomes {
		count := accepted[id]
		if count > 1 {
			sim.t.Fatalf("got submission %s accepted %d times, want once", id, count)
		}
		if outcome == "accepted" && count != 1 || outcome == "refused" && count != 0 {
			sim.t.Fatalf("got submission %s with outcome %q, accepted %d times", id, outcome, count)
		}
	}
	sim.checkAuditTrail()
}

// checkAuditTrail checks that every revision but the newest has an audit record
// under its own key, and that no record is newer than the root.
func (sim *simulation) checkAuditTrail() {
	newest := sim.newest()
	for revision := uint32(1); revision < newest; revision++ {
		entry, found := sim.service.memory.Get(auditKey(revision))
		if !found {
			sim.t.Fatalf("got no record of revision %d, with revision %d in force", revision, newest)
		}
		root, err := DecodeRoot(entry.Value())
		if err != nil {
			sim.t.Fatal(err)
		}
		if previous := sim.history[revision]; previous != nil && previous.GetSubmissionId() != root.GetSubmissionId() {
			sim.t.Fatalf("got a record of %s for revision %d, want %s", root.GetSubmissionId(), revision, previous.GetSubmissionId())
		}
	}
	for _, entry := range sim.records() {
		root, err := DecodeRoot(entry.Value())
		if err != nil || root.GetRevision() > newest {
			sim.t.Fatalf("got a record of revision %d beyond the newest %d", root.GetRevision(), newest)
		}
	}
}

func (sim *simulation) records() []kv.Entry {
	found, _ := sim.service.memory.List(strings.TrimSuffix(auditPrefix, "/"))
	return found
}

// TestSubmissionsUnderFaults submits while replies are lost, calls are delayed,
// the service goes down, and other operators and the collector act between any
// two writes. It guards against a submission reported as refused that is in
// force, or reported as accepted that is not, two submissions accepted on the
// same base, and a revision without its audit record or one of its parts.
func TestSubmissionsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "step") == 0 {
				sim.collect()
			} else {
				sim.submit()
			}
		}
		sim.checkOutcomes()
	})
}
