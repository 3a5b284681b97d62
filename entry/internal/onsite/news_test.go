package onsite

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/site"
	"comfreyrelay.example/relay/wire"
)

// replica is one entry's copy of the store, with its own clock for freshness. It decodes keys below
// "weights/" as a declared version that equals the key's revision, and others as entries.
type replica struct {
	state  *site.State
	mirror *site.Mirror
	now    atomic.Int64 // nanoseconds
}

func newReplica() *replica {
	k := &replica{}
	clock := clockwork.NewFakeClock()
	fresh := freshness.NewTracker(func() time.Duration { return time.Duration(k.now.Load()) })
	k.state = site.NewState(clock.Now, fleet.New(clock.Now), fresh)
	decode := func(entry kv.Entry) (site.Record, error) {
		if strings.HasPrefix(entry.Key(), "weights/") {
			return site.Record{Kind: site.WeightsRecord, ID: "m", Weights: entry.Revision()}, nil
		}
		return site.Record{Kind: site.EntryRecord, ID: entry.Key(), Removed: entry.Deleted()}, nil
	}
	k.mirror = site.NewMirror(k.state, decode, clock, slog.New(slog.DiscardHandler))
	return k
}

// serve lets other entries follow the replica and returns its address; stop ends the server.
func (k *replica) serve(t *testing.T) (address string, stop context.CancelFunc) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return k.serveAt(t, lis)
}

// serveAt is serve on a given listener.
func (k *replica) serveAt(t *testing.T, lis net.Listener) (address string, stop context.CancelFunc) {
	t.Helper()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterNews(mux, &newsServer{state: k.state, mirror: k.mirror, clock: clockwork.NewRealClock()}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = peer.Serve(ctx, lis, nil, mux, slog.New(slog.DiscardHandler))
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return lis.Addr().String(), stop
}

// startFollowing returns a replica that follows the entry at the address. It checks that the
// store is needed before the first reply.
func startFollowing(t *testing.T, address string) (*replica, *newsClient) {
	t.Helper()
	k := newReplica()
	client := &newsClient{
		state: k.state, mirror: k.mirror, pool: peer.NewPool(nil), entryID: "self", clock: clockwork.NewRealClock(),
		log: slog.New(slog.DiscardHandler), apply: func() time.Duration { return 3 * time.Second },
	}
	if got := client.storeNotNeededFor(); got != 0 {
		t.Errorf("got the store not needed for %v before the first reply, want 0", got)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.follow(ctx, "source", address)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return k, client
}

// Guards against requests that begin on an older version for too long at an entry that follows
// another, because the version's time counts from when the follower received it.
func TestFollowerDatesVersionsAsItsSource(t *testing.T) {
	const age = 3 * time.Second
	source := newReplica()
	source.mirror.Reset([]kv.Entry{kv.NewEntry("e-1", []byte("v"), 5, false)}, 7, true)
	address, _ := source.serve(t)
	reader, _ := startFollowing(t, address)
	eventually(t, "the full state", func() error {
		if reader.mirror.Revision() == 7 {
			return nil
		}
		return errors.New("not yet")
	})
	source.state.Freshness().Prove(0)
	source.now.Add(int64(age))
	source.mirror.Apply(7, []kv.Entry{kv.NewEntry("weights/m", nil, 9, false)}, 9, false)
	eventually(t, "the version is dated", func() error {
		declared := reader.state.Declarations()
		if len(declared) != 1 || declared[0].Version != 9 || declared[0].Age < age {
			return fmt.Errorf("got %+v, want an age of %v", declared, age)
		}
		return nil
	})
}

// Guards against each configuration crossing the link between regions once per entry. An entry
// gets everything from another entry, with its age, and watches the store itself when that data
// becomes too old or the stream ends.
func TestEntryFollowsAnother(t *testing.T) {
	source := newReplica()
	source.mirror.Reset([]kv.Entry{kv.NewEntry("e-1", []byte("v"), 5, false)}, 7, true)
	source.state.Freshness().Prove(0)
	address, stop := source.serve(t)
	reader, client := startFollowing(t, address)
	eventually(t, "the full state", func() error {
		if reader.mirror.Revision() == 7 && len(reader.state.Entries()) == 1 && client.storeNotNeededFor() > 0 {
			return nil
		}
		return errors.New("not yet")
	})
	source.mirror.Apply(7, []kv.Entry{kv.NewEntry("e-1", nil, 9, true), kv.NewEntry("e-2", nil, 8, false)}, 9, true)
	eventually(t, "the changes", func() error {
		if _, ok := reader.state.Entries()["e-2"]; ok && reader.mirror.Revision() == 9 && len(reader.state.Entries()) == 1 {
			return nil
		}
		return errors.New("not yet")
	})
	// The source loses the store, so the age of its data grows. The clock of the reader advances
	// equally.
	source.now.Add(int64(5 * time.Second))
	reader.now.Add(int64(5 * time.Second))
	eventually(t, "the store is needed", func() error {
		if client.storeNotNeededFor() == 0 {
			return nil
		}
		return errors.New("the store is not needed although the data is old")
	})
	source.state.Freshness().Prove(5 * time.Second)
	eventually(t, "the store is not needed again", func() error {
		if client.storeNotNeededFor() > 0 {
			return nil
		}
		return errors.New("not yet")
	})
	stop()
	eventually(t, "the store is needed after the stream ended", func() error {
		if client.storeNotNeededFor() == 0 {
			return nil
		}
		return errors.New("the store is not needed although no stream is open")
	})
}

// Guards against an age that is counted from the arrival of a reply instead of the sending of its
// request. A reply that reported a small age was queued on a link for seconds, and a revoked key
// was accepted for too long.
func TestProofOfAReplyCountsFromItsRequest(t *testing.T) {
	k := newReplica()
	reader := &newsReader{state: k.state, mirror: k.mirror, requestTimes: map[uint64]time.Duration{1: 0, 2: time.Second}}
	k.now.Store(int64(4 * time.Second))
	reply := &wire.NewsReply{Answers: 1, Proven: true, AgeMicros: 500_000, Revision: 3, Whole: true}
	if !reader.receive(reply) {
		t.Fatal("got a full reading rejected")
	}
	if age, known := k.state.Freshness().Age(); !known || age != 4500*time.Millisecond {
		t.Errorf("got age %v, %v, want 4.5s: half a second before the request at 0", age, known)
	}
	reader.receive(&wire.NewsReply{Answers: 2, Proven: true, AgeMicros: 1, Revision: 3})
	if age, _ := k.state.Freshness().Age(); age < 3*time.Second || age > 3001*time.Millisecond {
		t.Errorf("got age %v, want the age from the request at 1 s", age)
	}
	if len(reader.requestTimes) != 1 {
		t.Errorf("got %d stored request times, want only the latest", len(reader.requestTimes))
	}
	if reader.receive(&wire.NewsReply{Answers: 9, Proven: false, Revision: 3}); k.state.Revision() != 3 {
		t.Errorf("got revision %d, want 3", k.state.Revision())
	}
}

// Guards against delaying every change to combine it with later ones, instead of only a change
// that shortly follows another. Entries that follow others learned of a single change after a
// quiet second 150 ms later than entries that watch the store.
func TestSingleChangeIsSentImmediately(t *testing.T) {
	clock := clockwork.NewFakeClock()
	server := &newsServer{clock: clock}
	changed := make(chan struct{})
	close(changed)
	sent := clock.Now()
	clock.Advance(time.Second)
	if !server.waitForUpdate(t.Context(), changed, nil, sent) {
		t.Error("got false from waitForUpdate, want the change sent")
	}
	done := make(chan bool, 1)
	sent = clock.Now()
	go func() { done <- server.waitForUpdate(t.Context(), changed, nil, sent) }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	select {
	case <-done:
		t.Error("got a change sent right after another, want it delayed to combine it with later changes")
	default:
	}
	clock.Advance(minNewsInterval)
	if !<-done {
		t.Error("got false from waitForUpdate, want the change sent")
	}
}

func TestLargeReadingsAreSentInSeveralReplies(t *testing.T) {
	var entries []kv.Entry
	// Random values cannot be compressed.
	random := rand.NewChaCha8([32]byte{1})
	for i := range 5 {
		value := make([]byte, maxBatchBytes)
		if _, err := random.Read(value); err != nil {
			t.Fatal(err)
		}
		entries = append(entries, kv.NewEntry("k"+strings.Repeat("x", i), value, uint64(i+1), false))
	}
	replies := (&newsServer{}).buildReplies(site.Changes{Entries: entries, Revision: 6, Full: true})
	if len(replies) != len(entries) {
		t.Fatalf("got %d replies, want one per value", len(replies))
	}
	k := newReplica()
	reader := &newsReader{state: k.state, mirror: k.mirror, requestTimes: map[uint64]time.Duration{}}
	for i, reply := range replies {
		if got := len(k.state.Entries()); got != 0 {
			t.Errorf("got %d keys before reply %d, want none before the last reply", got, i)
		}
		reader.receive(reply)
	}
	if got := len(k.state.Entries()); got != len(entries) {
		t.Errorf("got %d keys, want %d", got, len(entries))
	}
}

// Guards against an entry that never gets a large value, because its transfer takes longer than
// newsTimeout and each new stream starts with it again.
func TestLargeValueArrivesOverNarrowLink(t *testing.T) {
	value := make([]byte, 1<<20)
	if _, err := rand.NewChaCha8([32]byte{1}).Read(value); err != nil {
		t.Fatal(err)
	}
	source := newReplica()
	source.mirror.Reset([]kv.Entry{kv.NewEntry("e-1", value, 5, false), kv.NewEntry("e-2", []byte("v"), 6, false)}, 7, true)
	source.state.Freshness().Prove(0)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address, _ := source.serveAt(t, platformtest.NewNarrowLink(lis, 500<<10))
	reader, _ := startFollowing(t, address)
	eventually(t, "the value arrives", func() error {
		if reader.mirror.Revision() != 7 {
			return errors.New("not yet")
		}
		return nil
	})
	changes, _ := reader.mirror.Since(0)
	if len(changes.Entries) != 2 || !bytes.Equal(changes.Entries[0].Value(), value) {
		t.Errorf("got %d values, want both unchanged", len(changes.Entries))
	}
}

func TestSplitValuesAreReassembled(t *testing.T) {
	text := []byte(strings.Repeat("a configuration repeats itself, with numbers: ", 1))
	var entries []kv.Entry
	random := rand.NewChaCha8([32]byte{2})
	for i, size := range []int{0, 1, maxPartBytes - 1, maxPartBytes, maxPartBytes + 1, 3*maxPartBytes + 7} {
		value := make([]byte, size)
		if _, err := random.Read(value); err != nil {
			t.Fatal(err)
		}
		entries = append(entries, kv.NewEntry(fmt.Sprint("k", i), value, uint64(i+1), false))
	}
	packs := bytes.Repeat(append(text, entries[5].Value()...), 3)
	entries = append(entries, kv.NewEntry("k6", packs, 7, false), kv.NewEntry("k7", nil, 8, true))
	replies := splitLargeValues((&newsServer{}).buildReplies(site.Changes{Entries: entries, Revision: 9, Full: false}))
	k := newReplica()
	k.mirror.Reset(nil, 1, true)
	reader := &newsReader{state: k.state, mirror: k.mirror, revision: 1, requestTimes: map[uint64]time.Duration{}}
	for i, reply := range replies {
		size := 0
		for _, stored := range reply.GetChanges() {
			size = max(size, len(stored.GetValue())+len(stored.GetPacked()))
		}
		if size > maxPartBytes {
			t.Errorf("reply %d: got a value of %d bytes, want %d at most", i, size, maxPartBytes)
		}
		if !reader.receive(reply) {
			t.Fatalf("reply %d: got it rejected", i)
		}
	}
	changes, _ := k.mirror.Since(1)
	for i, entry := range changes.Entries {
		if want := entries[i+1]; entry.Key() != want.Key() || !bytes.Equal(entry.Value(), want.Value()) || entry.Deleted() != want.Deleted() {
			t.Errorf("got %s with %d bytes, want %s with %d", entry.Key(), len(entry.Value()), want.Key(), len(want.Value()))
		}
	}
	if got, want := len(changes.Entries), len(entries)-1; got != want {
		t.Errorf("got %d values, want %d", got, want)
	}
}

// Guards against a source that does not report that it lost the store, but only the age of its
// data, which is no older than after a long watch. The store rejected both sources of a region.
// Their followers carried on until their data was 2.4 s old, then all asked the store at once for
// the changes, a configuration of 53 KB and registrations, over a link between regions; one of
// them, which was traced, had the changes 0.7 s later. Requests reached an engine 3.0 to 3.2 s
// after it wrote to the store that it was leaving, from healthy entries; 3 s are allowed (DRAIN
// of the platform's rules). The entries' logs showed this twice.
func TestFollowersWatchStoreSoonerWhenSourceLosesIt(t *testing.T) {
	source := newReplica()
	source.mirror.Reset([]kv.Entry{kv.NewEntry("e-1", []byte("v"), 5, false)}, 7, true)
	source.state.Freshness().Prove(0)
	address, _ := source.serve(t)
	reader, client := startFollowing(t, address)
	eventually(t, "led", func() error {
		if reader.mirror.Revision() == 7 && client.storeNotNeededFor() > 0 {
			return nil
		}
		return errors.New("not yet")
	})
	// Data of this age is still valid, as a long watch makes it that old.
	const age = 1500 * time.Millisecond
	source.now.Add(int64(age))
	reader.now.Add(int64(age))
	if client.storeNotNeededFor() == 0 {
		t.Errorf("got the store needed with data %v old from a source that watches it, want it not needed", age)
	}
	source.state.MarkStoreLost()
	eventually(t, "the store is needed", func() error {
		if client.storeNotNeededFor() == 0 {
			return nil
		}
		return errors.New("the store is not needed although the source lost it")
	})
	source.state.MarkStoreRegained()
	source.state.Freshness().Prove(age)
	eventually(t, "the store is not needed again", func() error {
		if client.storeNotNeededFor() > 0 {
			return nil
		}
		return errors.New("not yet")
	})
}
