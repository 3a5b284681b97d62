package site

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

const (
	// watchWait is the default timeout of one watch. It bounds the age of the proof that
	// nothing changed; a shorter timeout makes more calls, each of which is billed.
	watchWait = 1800 * time.Millisecond
	// minWatchInterval is the minimum time between the starts of two watches, so that
	// changes in quick succession cost one call. It counts towards the bounds on how long
	// a change may take to apply.
	minWatchInterval = 250 * time.Millisecond
	// liveWatchThreshold separates changes made during a watch from earlier ones: the
	// store answers a watch sooner than this if the changes were made before it began.
	liveWatchThreshold = 100 * time.Millisecond
	// truncationMinChanges and truncationMinBytes are the sizes from which the answer to a
	// watch may be truncated: a quarter of what the store returns in one answer.
	truncationMinChanges = 125
	truncationMinBytes   = 256 << 10
	// maxHistoryOutage is the longest outage after which an entry still requests the
	// history. After a longer one it reads the current state, which holds a configuration
	// once however often it was written during the outage.
	maxHistoryOutage = 2500 * time.Millisecond
	// maxReadDuration is how long an interrupted read may be resumed: a read only proves
	// what the store held when it began.
	maxReadDuration = 4 * time.Second
	// failureLogInterval is the minimum time between log lines about consecutive failures.
	failureLogInterval = time.Second
	// meanRetryDelay is the mean delay before a failed call is retried.
	meanRetryDelay = 120 * time.Millisecond
)

// confirmLatest asks the store for its latest revision, after an answer that may be truncated or a
// watch that was ended, and records the data as fresh once the mirror has reached it. The call costs
// next to nothing compared with a large answer. If changes are missing, the next watch begins at once.
func (f *Follower) confirmLatest(ctx context.Context) error {
	asked := f.State.Freshness().Now()
	_, revision, err := f.Store.Watch(ctx, "", kv.Latest, 0)
	if err != nil {
		return err
	}
	f.Mirror.ProveAt(asked, revision)
	known := f.Mirror.Revision()
	if known >= revision {
		f.unwatched = false
	}
	f.Log.Info("asked for the newest revision", "revision", known, "newest", revision)
	return nil
}

// maybeTruncated reports whether an answer to a watch is so large that the store may have left
// out later changes. Its revision is then that of its last change and proves nothing: an entry
// that was cut off while many configurations were written would take the last one in the first
// answer for the current one.
func maybeTruncated(changes []kv.Entry) bool {
	bytes := 0
	for _, change := range changes {
		bytes += len(change.Key()) + len(change.Value())
	}
	return len(changes) >= truncationMinChanges || bytes >= truncationMinBytes
}

// Follower keeps a State up to date with the store.
type Follower struct {
	Store *kv.Store
	State *State
	// Mirror receives the store's keys and applies them to State.
	Mirror *Mirror
	Clock  clockwork.Clock
	Log    *slog.Logger
	// SourceTrust returns for how long the data from other entries is still fresh enough that
	// the store need not be watched. Nil means that it always must be.
	SourceTrust func() time.Duration
	// WatchTimeout returns the timeout of one watch, given the age of the data and the time that the
	// answer may take. Nil means watchWait.
	WatchTimeout func(age, answer time.Duration) time.Duration

	// EndpointsPrefix is the key prefix of the endpoints' registrations. An entry whose sources are
	// slow reads only their changes itself.
	EndpointsPrefix string
	// EntriesPrefix is the key prefix of the entries' registrations. If it is empty, a
	// starting entry reads the whole store itself.
	EntriesPrefix string
	// HasSources reports whether this entry receives the store's keys from other known
	// entries. Nil means no.
	HasSources func() bool
	// SourcesReachStore reports whether one of those entries answers and reaches the store. Nil
	// means no.
	SourcesReachStore func() bool

	partialRead *snapshotRead // an interrupted read of the whole store, or nil

	joined bool // the entries were read, and sources had time to send the store's keys
	synced bool // the whole store is known, and its changes since can be asked for
	down   bool // the last call failed
	// failures counts consecutive failed calls; loggedAt is when one was last logged.
	failures      int
	loggedAt      time.Time
	lastSuccessAt time.Time // when the last successful call ended
	// unwatched is set while other entries are followed instead of the store, and after a failed
	// call. Changes that the store then sends at once may have been made in between.
	unwatched bool
	following bool // other entries are followed instead of the store
	// answerDelay is the time that the latest watch without changes took beyond its timeout.
	answerDelay time.Duration
	// sourcesUntil is until when a change is left to the sources, unless they bring another one after
	// sourcesRevision; zero if no change is missing.
	sourcesUntil    time.Time
	sourcesRevision uint64
}

// Run follows the store, or the entries that this one follows, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.recordFailure(ctx, err)
			f.sleep(ctx, meanRetryDelay/2+rand.N(meanRetryDelay))
		}
	}
}

// step follows the sources, or the store for one call.
func (f *Follower) step(ctx context.Context) error {
	if !f.joined {
		if err := f.join(ctx); err != nil {
			return err
		}
		f.joined, f.synced = true, f.Mirror.Revision() > 0
	}
	if trust := f.sourceTrust(); f.synced && trust > 0 {
		f.unwatched = true
		f.setFollowing(true)
		f.sourcesUntil = time.Time{}
		f.sleep(ctx, min(trust, sourceCheckInterval))
		return nil
	}
	if f.synced && f.sourcesReachStore() && f.leavesChangeToSources() {
		return f.checkBesideSources(ctx)
	}
	f.setFollowing(false)
	if f.down && f.Clock.Since(f.lastSuccessAt) > maxHistoryOutage {
		f.synced = false
	}
	err := f.readStore(ctx)
	switch {
	case err == nil:
		f.lastSuccessAt = f.Clock.Now()
		f.recordSuccess()
	case failure.KindOf(err) == failure.Stale:
		f.Log.Info("the store no longer holds the history, reading all keys again", "after", f.Mirror.Revision())
		f.synced = false
		return nil
	case errors.Is(err, ErrSilentConnection):
		// The next answer may contain changes that were made since the last one.
		f.unwatched = true
		return f.confirmLatest(ctx)
	}
	return err
}

// readStore watches the store once. Before the first watch it reads the whole store.
func (f *Follower) readStore(ctx context.Context) error {
	if f.synced {
		return f.watch(ctx)
	}
	err := f.readAll(ctx)
	f.synced = err == nil
	return err
}

// sleep pauses for the given time or until ctx ends.
func (f *Follower) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.Clock.After(wait):
	}
}

// recordFailure marks the store as unreachable and logs the error, at most once per
// failureLogInterval.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	f.State.MarkStoreLost()
	f.unwatched = true
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

// recordSuccess marks the store as reachable again after failures.
func (f *Follower) recordSuccess() {
	if !f.down {
		return
	}
	f.Log.Info("dependency regained", "dependency", "store", "revision", f.Mirror.Revision(), "failed", f.failures)
	f.down, f.failures = false, 0
	f.State.MarkStoreRegained()
}

// snapshotRead is a paged read of the whole store that can be resumed after a failure.
type snapshotRead struct {
	began    time.Duration // on the clock of State.Freshness
	revision uint64        // of the store when the read began
	entries  []kv.Entry
}

// readAll reads the whole store, unless its revision is the one already known. Keys may be newer
// than the revision of the read: what changes during it is sent again by the first watch. An
// interrupted read resumes after the last page received, so that entries that start together do
// not discard what already crossed the link that they share.
func (f *Follower) readAll(ctx context.Context) error {
	now := f.State.Freshness().Now()
	if f.partialRead == nil || now-f.partialRead.began > maxReadDuration {
		_, revision, err := f.Store.Watch(ctx, "", kv.Latest, 0)
		if err != nil {
			return err
		}
		if known := f.Mirror.Revision(); known > 0 && revision == known {
			f.recordSuccess()
			f.State.Freshness().Prove(now)
			return nil
		}
		f.partialRead = &snapshotRead{began: f.State.Freshness().Now(), revision: revision}
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
	f.Mirror.Reset(read.entries, read.revision, f.hadOutage())
	f.State.Freshness().Prove(read.began)
	return nil
}

// hadOutage reports whether the store was unavailable since the last successful call. Nothing was
// changed meanwhile, so that what it sends now counts as new.
func (f *Follower) hadOutage() bool {
	return f.State.Contact().OutageWithin(f.Clock.Since(f.lastSuccessAt))
}

// readPage returns the entries after those already read, and whether there are more. A store
// without paging returns everything at once.
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

// sourceTrust returns for how long the data from other entries is fresh enough that the store
// need not be watched.
func (f *Follower) sourceTrust() time.Duration {
	if f.SourceTrust == nil {
		return 0
	}
	return f.SourceTrust()
}

// watchTimeout returns how long one watch waits for changes. A watch that ended early, with changes,
// proves only what held when it began, so the next one must end sooner.
func (f *Follower) watchTimeout() time.Duration {
	if f.WatchTimeout == nil {
		return watchWait
	}
	age, _ := f.State.Freshness().Age()
	return f.WatchTimeout(age, f.answerDelay+f.State.Contact().Transfer())
}

// watch waits once for changes after the known revision, applies them, and records how fresh
// the data is.
//
// Rule BEGIN of spec/freshness.pml.
func (f *Follower) watch(ctx context.Context) error {
	began := f.State.Freshness().Now()
	wait := f.watchTimeout()
	after := f.Mirror.Revision()
	changes, now, err := f.Store.Watch(ctx, "", after, wait)
	if err != nil {
		return err
	}
	f.recordSuccess()
	ended := f.State.Freshness().Now()
	f.Mirror.Apply(after, changes, now, !f.unwatched || ended-began > liveWatchThreshold || f.hadOutage())
	if maybeTruncated(changes) {
		f.Log.Info("a large part of the history was read", "revision", f.Mirror.Revision(), "changes", len(changes))
		return f.confirmLatest(ctx)
	}
	f.unwatched = false
	if len(changes) == 0 && ended-began >= wait {
		f.answerDelay = ended - began - wait
		// The store watched for the whole timeout, measured on its own clock from a
		// later start than ours. A watch that returned sooner was cut short and
		// proves only what held when it began.
		f.State.Freshness().Prove(began + wait)
		return nil
	}
	f.State.Freshness().Prove(began)
	f.sleep(ctx, minWatchInterval-(ended-began))
	return nil
}
