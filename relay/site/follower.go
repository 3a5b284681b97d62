package site

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

const (
	// watchWait is how long one watch waits: the proof that nothing changed is
	// as old as that at most, and each watch is a call that is paid for.
	watchWait = 1800 * time.Millisecond
	// minWatchInterval is the least time between two watches: changes that come close
	// together then cost one call. It is a part of the bounds for a change.
	minWatchInterval = 250 * time.Millisecond
	// liveWatchThreshold is the time that a watch waited at least whose changes were made
	// while it did: those made before it are answered sooner.
	liveWatchThreshold = 100 * time.Millisecond
	// sourceCheckInterval is how often an entry that follows others looks whether they still have the store.
	sourceCheckInterval = 400 * time.Millisecond
	// truncationMinChanges and truncationMinBytes are what an answer to a watch holds at least that may
	// lack what came after: a quarter of what the store gives in one answer.
	truncationMinChanges = 125
	truncationMinBytes   = 256 << 10
	// maxHistoryOutage is how long the store may have been away from an entry that then still asks
	// for the history; later it reads the current state, which holds a configuration once
	// however often it was written meanwhile.
	maxHistoryOutage = 2500 * time.Millisecond
	// maxReadDuration is how long a reading that broke off may be continued: its proof is as old as
	// its beginning.
	maxReadDuration = 4 * time.Second
	// failureLogInterval is the least time between two log lines of calls that fail in a row.
	failureLogInterval = time.Second
	// minJoinWait is the least time for which an entry that starts waits for what others bring; it
	// waits up to twice as long, so that entries which waited in vain don't read at once.
	minJoinWait = time.Second
	// maxJoinWait bounds that wait where they go on answering.
	maxJoinWait = 8 * time.Second
	// meanRetryDelay is the mean pause after a failed call.
	meanRetryDelay = 120 * time.Millisecond
)

// confirm asks whether what is known is all there is, which costs next to nothing beside what
// was reported. Where it is not, the next watch is begun at once.
func (f *Follower) confirmLatest(ctx context.Context) error {
	asked := f.State.Fresh().Now()
	_, revision, err := f.Store.Watch(ctx, "", kv.Latest, 0)
	if err != nil {
		return err
	}
	known := f.Mirror.Revision()
	if revision == known {
		f.unwatched = false
		f.State.Fresh().Prove(asked)
	}
	f.Log.Info("a large part of the history was read", "revision", known, "newest", revision)
	return nil
}

// maybeTruncated reports whether an answer to a watch is so large that the store may have left out
// what came after it. Its revision is then that of its last change, and nothing is proven by
// it: an entry that was cut off while many configurations were written would take the last
// one in the first answer for the one in force.
func maybeTruncated(changes []kv.Entry) bool {
	bytes := 0
	for _, change := range changes {
		bytes += len(change.Key()) + len(change.Value())
	}
	return len(changes) >= truncationMinChanges || bytes >= truncationMinBytes
}

// Follower keeps a State as new as the store.
type Follower struct {
	Store *kv.Store
	State *State
	// Mirror takes what the store sends on its way to State.
	Mirror *Mirror
	Clock  clockwork.Clock
	Log    *slog.Logger
	// Led returns for how long others' knowledge is still enough, so that the
	// store need not be watched; nil: never.
	Led func() time.Duration
	// Wait returns how long one watch waits; nil stands for watchWait.
	Wait func() time.Duration

	// EntriesPrefix is that of the entries' registrations; empty: one that starts reads
	// everything by itself.
	EntriesPrefix string
	// Follows reports whether other entries that are known bring what the store holds; nil: no.
	Follows func() bool
	// Brings reports whether one of them is at it: it answers and has the store; nil: no.
	Brings func() bool

	partialRead *snapshotRead // that was broken off; nil: none

	down bool // the last call failed
	// failed counts the calls that failed in a row; loggedAt is when one was last logged.
	failures      int
	loggedAt      time.Time
	lastSuccessAt time.Time // when the last call that succeeded ended
	// silent: the store was not watched, and those who did fell silent. Changes
	// that it sends at once may have been made meanwhile.
	unwatched bool
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	synced, joined := false, false
	for ctx.Err() == nil {
		var err error
		if !joined {
			if err = f.join(ctx); err != nil {
				f.recordFailure(ctx, err)
				f.sleep(ctx, meanRetryDelay/2+rand.N(meanRetryDelay))
				continue
			}
			joined, synced = true, f.Mirror.Revision() > 0
		}
		if trust := f.sourceTrust(); synced && trust > 0 {
			f.unwatched = true
			f.sleep(ctx, min(trust, sourceCheckInterval))
			continue
		}
		if f.down && f.Clock.Since(f.lastSuccessAt) > maxHistoryOutage {
			synced = false
		}
		if synced {
			err = f.watch(ctx)
		} else {
			err = f.readAll(ctx)
			synced = err == nil
		}
		if err == nil {
			f.lastSuccessAt = f.Clock.Now()
			f.recordSuccess()
			continue
		}
		if failure.KindOf(err) == failure.Stale {
			f.Log.Info("history is gone, reading the store again", "after", f.Mirror.Revision())
			synced = false
			continue
		}
		f.recordFailure(ctx, err)
		f.sleep(ctx, meanRetryDelay/2+rand.N(meanRetryDelay))
	}
}

// join learns which entries there are and, where this one follows others, waits for what they
// bring: entries of a region that start together would each read everything over the same link.
func (f *Follower) join(ctx context.Context) error {
	if f.EntriesPrefix == "" || f.Follows == nil {
		return nil
	}
	entries, err := f.Store.List(ctx, f.EntriesPrefix)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.Mirror.AddPartial(entries)
	if !f.Follows() {
		return nil
	}
	began := f.Clock.Now()
	timeout := f.Clock.After(minJoinWait + rand.N(minJoinWait))
	syncing := func() bool { return f.Brings != nil && f.Brings() && f.Clock.Since(began) < maxJoinWait }
	for {
		changed := f.State.Changed()
		if revision := f.Mirror.Revision(); revision > 0 {
			f.Log.Info("brought by other entries", "revision", revision, "tookMillis", f.Clock.Since(began).Milliseconds())
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timeout:
			if syncing() {
				timeout = f.Clock.After(minJoinWait/2 + rand.N(minJoinWait))
				continue
			}
			f.Log.Info("other entries brought nothing, reading the store", "waitedMillis", f.Clock.Since(began).Milliseconds())
			return nil
		case <-changed:
		}
	}
}

func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.Clock.After(wait):
	}
}

func (f *Follower) recordFailure(ctx context.Context, err error) {
	f.State.Lost()
	f.unwatched = false
	f.failures++
	message := "dependency lost"
	if f.down {
		message = "dependency still lost"
	}
	if ctx.Err() == nil && (!f.down || f.Clock.Since(f.loggedAt) >= failureLogInterval) {
		f.Log.Warn(message, "dependency", "store", "revision", f.Mirror.Revision(), "failed", f.failures, "error", err)
		f.loggedAt = f.Clock.Now()
	}
	f.down = true
}

func (f *Follower) recordSuccess() {
	if !f.down {
		return
	}
	f.Log.Info("dependency regained", "dependency", "store", "revision", f.Mirror.Revision(), "failed", f.failures)
	f.down, f.failures = false, 0
	f.State.Regained()
}

// reading is a reading of everything that may have been broken off.
type snapshotRead struct {
	began    time.Duration // on the clock of the proofs
	revision uint64        // of the store at its begin
	entries  []kv.Entry
}

// readAll reads everything at one revision or a newer one, unless nothing changed since what is
// known; what changed meanwhile comes again with the first watch. A reading that was broken off
// goes on after the last page that came: entries that start together would otherwise throw away
// what crossed the link that they share.
func (f *Follower) readAll(ctx context.Context) error {
	now := f.State.Fresh().Now()
	if f.partialRead == nil || now-f.partialRead.began > maxReadDuration {
		_, revision, err := f.Store.Watch(ctx, "", kv.Latest, 0)
		if err != nil {
			return err
		}
		if known := f.Mirror.Revision(); known > 0 && revision == known {
			f.recordSuccess()
			f.State.Fresh().Prove(now)
			return nil
		}
		f.partialRead = &snapshotRead{began: f.State.Fresh().Now(), revision: revision}
	}
	read := f.partialRead
	for more := true; more; {
		found, hasMore, err := f.readPage(ctx, read.entries)
		if err != nil {
			return err
		}
		read.entries = append(read.entries, found...)
		more = hasMore
	}
	f.partialRead = nil
	f.recordSuccess()
	f.unwatched = false
	f.Mirror.Reset(read.entries, read.revision)
	f.State.Fresh().Prove(read.began)
	return nil
}

// page returns the entries after those that were read, and whether others follow.
func (f *Follower) readPage(ctx context.Context, read []kv.Entry) (entries []kv.Entry, more bool, err error) {
	if f.Store.Page == nil {
		entries, err = f.Store.List(ctx, "")
		return entries, false, err
	}
	after := ""
	if len(read) > 0 {
		after = read[len(read)-1].Key()
	}
	return f.Store.Page(ctx, "", after)
}

// led returns for how long the store need not be watched.
func (f *Follower) sourceTrust() time.Duration {
	if f.Led == nil {
		return 0
	}
	return f.Led()
}

func (f *Follower) watchTimeout() time.Duration {
	if f.Wait == nil {
		return watchWait
	}
	return f.Wait()
}

// watch waits for changes once.
//
// Rule BEGIN of spec/freshness.pml.
func (f *Follower) watch(ctx context.Context) error {
	began := f.State.Fresh().Now()
	wait := f.watchTimeout()
	after := f.Mirror.Revision()
	changes, now, err := f.Store.Watch(ctx, "", after, wait)
	if err != nil {
		return err
	}
	f.recordSuccess()
	ended := f.State.Fresh().Now()
	f.Mirror.Apply(after, changes, now, !f.unwatched || ended-began > liveWatchThreshold)
	if maybeTruncated(changes) {
		return f.confirmLatest(ctx)
	}
	f.unwatched = false
	if len(changes) == 0 && ended-began >= wait {
		// The store looked until the wait was over, on its own clock, which
		// began after ours. One that answered sooner was cut and proves less.
		f.State.Fresh().Prove(began + wait)
		return nil
	}
	f.State.Fresh().Prove(began)
	f.sleep(ctx, minWatchInterval-(ended-began))
	return nil
}
