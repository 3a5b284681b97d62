package site

import (
	"context"
	"math/rand/v2"
	"time"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

const (
	// sourceCheckInterval is how often an entry that follows other entries checks whether
	// they still reach the store.
	sourceCheckInterval = 400 * time.Millisecond
	// minJoinWait is the minimum time that a starting entry waits for other entries to send
	// the store's keys. It waits up to twice as long, so that entries which waited in vain
	// don't all read the store at the same moment.
	minJoinWait = time.Second
	// maxJoinWait bounds that wait while the other entries keep answering.
	maxJoinWait = 8 * time.Second
	// maxSourceWait is the minimum time for which a change is left to sources that reach the store
	// and bring nothing. An entry waits up to one and a half times as long, so that entries
	// which waited in vain don't all read at the same moment. Two sources of a region take 2.3 s
	// for the largest value over a link of 10 Mbit/s.
	maxSourceWait = 4 * time.Second
	// historyWait is the wait time of a watch that only asks for changes already made.
	historyWait = time.Millisecond
)

// setFollowing records whether other entries are followed instead of the store, and logs changes with
// the state that decided them.
func (f *Follower) setFollowing(following bool) {
	if f.following == following {
		return
	}
	f.following = following
	age, proven := f.State.Freshness().Age()
	f.Log.Info("source of changes", "otherEntries", following, "ageMillis", age.Milliseconds(), "proven", proven,
		"revision", f.Mirror.Revision(), "sourcesReachStore", f.sourcesReachStore())
}

// sourcesReachStore reports whether a followed entry answers and reaches the store.
func (f *Follower) sourcesReachStore() bool {
	return f.SourcesReachStore != nil && f.SourcesReachStore()
}

// leavesChangeToSources reports whether the sources still have time to bring a change that they lack.
func (f *Follower) leavesChangeToSources() bool {
	return f.sourcesUntil.IsZero() || f.Mirror.Revision() > f.sourcesRevision || f.Clock.Now().Before(f.sourcesUntil)
}

// checkBesideSources asks the store whether the data of the sources, which became too old, is still
// the newest. If not, the sources are probably reading a large value. If all entries that follow them
// read it too, it would cross the link that they share once for each, and none would have it in time.
// Only the changes of endpoints are read, which must not wait for it.
func (f *Follower) checkBesideSources(ctx context.Context) error {
	asked := f.State.Freshness().Now()
	_, revision, err := f.Store.Watch(ctx, "", kv.Latest, 0)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.Mirror.ProveAt(asked, revision)
	known := f.Mirror.Revision()
	if known >= revision {
		f.sourcesUntil = time.Time{}
		f.sleep(ctx, minWatchInterval)
		return nil
	}
	if f.sourcesUntil.IsZero() || known > f.sourcesRevision {
		f.sourcesUntil, f.sourcesRevision = f.Clock.Now().Add(maxSourceWait+rand.N(maxSourceWait/2)), known
		age, _ := f.State.Freshness().Age()
		f.Log.Info("leaving a change to the sources", "revision", known, "newest", revision, "ageMillis", age.Milliseconds())
	}
	changes, _, err := f.Store.Watch(ctx, f.EndpointsPrefix, known, historyWait)
	if err != nil && failure.KindOf(err) != failure.Stale {
		return err
	}
	f.Mirror.ApplySome(changes)
	f.sleep(ctx, sourceCheckInterval)
	return nil
}

// join reads the entries' registrations and, if this entry follows others, waits for them to
// send the store's keys. Otherwise entries of a region that start together would each read
// the whole store over the same link.
func (f *Follower) join(ctx context.Context) error {
	if f.EntriesPrefix == "" || f.HasSources == nil {
		return nil
	}
	entries, err := f.Store.List(ctx, f.EntriesPrefix)
	if err != nil {
		return err
	}
	f.recordSuccess()
	f.Mirror.AddPartial(entries)
	if !f.HasSources() {
		return nil
	}
	began := f.Clock.Now()
	timeout := f.Clock.After(minJoinWait + rand.N(minJoinWait))
	syncing := func() bool {
		return f.sourcesReachStore() && f.Clock.Since(began) < maxJoinWait
	}
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
