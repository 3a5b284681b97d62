package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/wire"
)

// Keys in the service other than the document's: the plan and the drain marks.
const (
	PlanKey     = "plan"
	DrainPrefix = "drain/"
)

const (
	// watchWait is how long the service may hold a watch. A watch that does not
	// return within this time plus the client's grace has failed silently.
	watchWait = 10 * time.Second
	// leaseCheckInterval is how often a process that does not hold the lease
	// checks whether it has acquired it.
	leaseCheckInterval = 250 * time.Millisecond
	// pollInterval is the minimum pause between two reads of all keys by an entry;
	// jitter makes it up to twice as long. Every entry polls, whether it watches or
	// not, in case a watch misses a change.
	pollInterval = 30 * time.Second
	// minBackoff and maxBackoff limit the pause after a failure of the service.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
)

// Watcher reads the root, plan and drain marks from the service: by watches while
// this process holds its failure domain's watch lease, and always by infrequent
// polling.
type Watcher struct {
	deployment *Deployment
	docs       *store.Store
	service    *kv.Store
	// holding reports whether this process should watch.
	holding func() bool
}

// NewWatcher returns a Watcher; holding reports whether this process should watch.
func NewWatcher(deployment *Deployment, docs *store.Store, service *kv.Store, holding func() bool) *Watcher {
	return &Watcher{deployment: deployment, docs: docs, service: service, holding: holding}
}

// Run watches and polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.watch(ctx, store.RootKey, w.ReadRoot)
	go w.watch(ctx, PlanKey, w.ReadPlan)
	go w.watch(ctx, DrainPrefix, w.ReadDrains)
	w.poll(ctx)
}

// poll reads all keys periodically, with jitter so that entries started together
// do not read at the same time.
func (w *Watcher) poll(ctx context.Context) {
	pause := minBackoff
	for ctx.Err() == nil {
		if err := w.ReadAll(ctx); err != nil {
			w.deployment.log.Debug("service not read", "error", err)
			counters.Add("readFailed", 1)
			sleep(ctx, w.deployment.clock, jittered(pause))
			pause = min(2*pause, pollInterval)
			continue
		}
		pause = minBackoff
		sleep(ctx, w.deployment.clock, jittered(2*pollInterval))
	}
}

// ReadAll reads the root, the plan and the drain marks from the service.
func (w *Watcher) ReadAll(ctx context.Context) error {
	if err := w.ReadRoot(ctx); err != nil {
		return err
	}
	if err := w.ReadPlan(ctx); err != nil {
		return err
	}
	return w.ReadDrains(ctx)
}

// ReadRoot reads the root and puts it in force if it is newer.
func (w *Watcher) ReadRoot(ctx context.Context) error {
	began := w.deployment.clock.Now()
	root, err := w.docs.Root(ctx)
	if err != nil {
		return err
	}
	return w.applyRoot(ctx, root, began)
}

// applyRoot puts a root read from the service in force if it is newer, and confirms
// its revision.
func (w *Watcher) applyRoot(ctx context.Context, root *wire.Root, confirmedAt time.Time) error {
	if root.GetRevision() < w.deployment.Root().GetRevision() {
		// The service lost writes or was restored from an old backup. The root in
		// force stays, and the operators are alerted.
		counters.Add("serviceBehind", 1)
		w.deployment.log.Error("the service is behind", "serviceRevision", root.GetRevision(),
			"revision", w.deployment.Root().GetRevision(), "remedy", "restore document/ in the key-value service")
		return nil
	}
	if err := w.deployment.OfferRoot(ctx, root, "service", w.docs.Fetch); err != nil {
		return err
	}
	w.deployment.Confirm(root.GetRevision(), confirmedAt)
	return nil
}

// ReadPlan reads the plan and puts it in force if it is newer.
func (w *Watcher) ReadPlan(ctx context.Context) error {
	entry, found, err := w.service.Get(ctx, PlanKey)
	if err != nil || !found {
		return err
	}
	return w.applyPlan(entry.Value())
}

// applyPlan decodes a stored plan and puts it in force if it is newer.
func (w *Watcher) applyPlan(value []byte) error {
	plan := &wire.Plan{}
	if err := proto.Unmarshal(value, plan); err != nil {
		return failure.Wrap(err, failure.Corrupt, "the stored plan cannot be read", "delete the key plan; the planner then writes a new plan")
	}
	w.deployment.OfferPlan(plan, "service")
	return nil
}

// ReadDrains reads the operators' drain marks and puts them in force if newer.
func (w *Watcher) ReadDrains(ctx context.Context) error {
	entries, err := w.service.List(ctx, DrainPrefix)
	if err != nil {
		return err
	}
	marks := &wire.DrainMarks{}
	for _, entry := range entries {
		marks.Revision = max(marks.Revision, entry.Revision())
		if IsDrained(entry.Value()) {
			marks.Hosts = append(marks.Hosts, entry.Key()[len(DrainPrefix):])
		}
	}
	if marks.Revision > 0 {
		w.deployment.OfferDrains(marks, "service")
	}
	return nil
}

// watch watches the keys with the prefix while this process holds the lease; read
// applies their current state.
func (w *Watcher) watch(ctx context.Context, prefix string, read func(context.Context) error) {
	pause := minBackoff
	after := uint64(kv.Latest)
	for ctx.Err() == nil {
		if !w.holding() {
			after = kv.Latest
			sleep(ctx, w.deployment.clock, leaseCheckInterval)
			continue
		}
		next, err := w.watchOnce(ctx, prefix, after, read)
		if err == nil {
			pause, after = minBackoff, next
			continue
		}
		// The history was compacted, or the watch broke or stayed silent: start
		// over with a read, which finds what the watch did not report.
		after = kv.Latest
		counters.Add("watchFailed", 1)
		w.deployment.log.Debug("watch failed", "prefix", prefix, "error", err)
		sleep(ctx, w.deployment.clock, jittered(pause))
		pause = min(2*pause, maxBackoff)
	}
}

// watchOnce waits for one batch of changes, applies it and returns the revision to
// continue from. If after is kv.Latest, it gets the service's revision first and
// reads the keys afterwards, so that no change between the two is missed.
func (w *Watcher) watchOnce(ctx context.Context, prefix string, after uint64, read func(context.Context) error) (uint64, error) {
	if after == kv.Latest {
		_, now, err := w.service.Watch(ctx, prefix, kv.Latest, 0)
		if err != nil {
			return 0, err
		}
		return now, read(ctx)
	}
	began := w.deployment.clock.Now()
	changes, now, err := w.service.Watch(ctx, prefix, after, watchWait)
	if err != nil {
		return 0, err
	}
	if now < after {
		// The service lost changes that it had reported: only a read shows its state.
		return now, read(ctx)
	}
	if len(changes) == 0 {
		w.confirmUnchanged(prefix, began)
		return now, nil
	}
	counters.Add("watchChanges", int64(len(changes)))
	return now, w.applyChanges(ctx, prefix, changes, read)
}

// confirmUnchanged confirms the root's revision for the time until the watch ended
// without a change.
func (w *Watcher) confirmUnchanged(prefix string, began time.Time) {
	if prefix == store.RootKey {
		w.deployment.Confirm(w.deployment.Root().GetRevision(), began.Add(min(watchWait, w.deployment.clock.Since(began))))
	}
}

// applyChanges applies the last change of a key. Deletions and drain marks are
// handled by a full read.
func (w *Watcher) applyChanges(ctx context.Context, prefix string, changes []kv.Entry, read func(context.Context) error) error {
	last := changes[len(changes)-1]
	if last.Deleted() {
		return read(ctx)
	}
	switch last.Key() {
	case store.RootKey:
		root, err := store.DecodeRoot(last.Value())
		if err != nil {
			return err
		}
		return w.applyRoot(ctx, root, w.deployment.clock.Now())
	case PlanKey:
		return w.applyPlan(last.Value())
	}
	return read(ctx)
}
