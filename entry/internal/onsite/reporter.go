package onsite

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/limit"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

const (
	// maxUnsent bounds the reports that wait for the store, a few hundred bytes each: the ends
	// of all endpoints that one entry sends to, several times.
	maxQueued = 256
	// maxBatch bounds the reports in one value, which stays far below a message's bound.
	maxBatchReports = 32
	// reportRetry is the pause after a failed call. It delays the reports of an entry that
	// reaches the store again.
	reportRetryPause = 300 * time.Millisecond
	// reportLease is how long a report stays readable for entries that start later, though
	// the one that wrote it is gone. A lease is used for reports of a half of that time.
	reportLeaseTTL = quarantine.HoldTime
	// writeRate bounds the writes of one entry, keys a second: in a flood of ends all entries
	// together stay below the calls that the store accepts.
	maxWritesPerSecond = 10
	// maxKept bounds the reports that all entries together leave in the store, about what
	// one entry can remember: an entry that starts reads all of them.
	maxStoredReports = 3072
	// keepLeast is how long a key stays at least, so that entries which follow others in
	// place of the store receive it.
	minKeyAge = 5 * time.Second
)

// reporter writes what this entry saw of endpoints' ends to the store, through which all
// entries learn it, new ones too. Each report is a key that nobody else writes: a write whose
// answer is lost is made again, and one that is done late changes nothing.
type reporter struct {
	store *kv.Store
	// prefix of the keys, different for each incarnation of an entry.
	prefix string
	clock  clockwork.Clock
	log    *slog.Logger
	wake   chan struct{} // buffered by one

	mu    sync.Mutex
	queue []site.Report

	lease        string // empty: none
	leasedAt     time.Time
	keysWritten  int // keys
	writeLimiter limit.Bucket
	// kept is the keys that this entry wrote and did not remove, in order.
	storedKeys []storedKey
	// entries returns how many entries write reports.
	entryCount func() int
}

// keptKey is a key in the store.
type storedKey struct {
	key       string
	revision  uint64 // 0: unknown, its write was not answered
	reports   int
	writtenAt time.Time
}

func newReporter(store *kv.Store, prefix string, entryCount func() int, clock clockwork.Clock, log *slog.Logger) *reporter {
	return &reporter{store: store, prefix: prefix, entryCount: entryCount, clock: clock, log: log, wake: make(chan struct{}, 1)}
}

// publish queues a report; it never waits.
func (r *reporter) publish(report site.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == maxQueued {
		r.log.Warn("a report is left out, too many wait for the store", "endpoint", r.queue[0].End.Endpoint)
		r.queue = r.queue[1:]
	}
	r.queue = append(r.queue, report)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run writes reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		r.flush(ctx)
	}
}

// writeAll writes what waits. What comes while a write waits for its turn goes with it.
func (r *reporter) flush(ctx context.Context) {
	for r.hasQueued() {
		r.sleep(ctx, r.writeLimiter.Wait(r.clock.Now(), maxWritesPerSecond, 1))
		if ctx.Err() != nil {
			return
		}
		r.writeLimiter.Take(r.clock.Now(), maxWritesPerSecond, 1)
		r.writeBatch(ctx, r.nextBatch())
		r.prune(ctx)
	}
}

func (r *reporter) hasQueued() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue) > 0
}

// prune removes the oldest keys where this entry keeps more than its part. What can't be
// removed ends with its lease.
func (r *reporter) prune(ctx context.Context) {
	stored := 0
	for _, key := range r.storedKeys {
		stored += key.reports
	}
	maxReports := max(maxBatchReports, maxStoredReports/max(1, r.entryCount()))
	for len(r.storedKeys) > 0 && stored > maxReports && r.clock.Since(r.storedKeys[0].writtenAt) >= minKeyAge {
		oldest := r.storedKeys[0]
		r.storedKeys = r.storedKeys[1:]
		stored -= oldest.reports
		if oldest.revision == 0 {
			continue
		}
		err := r.store.Delete(ctx, oldest.key, oldest.revision)
		r.log.Debug("old reports removed", "key", oldest.key, "reports", oldest.reports, "kept", stored, "error", err)
	}
}

func (r *reporter) sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-r.clock.After(wait):
	}
}

func (r *reporter) nextBatch() []site.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(maxBatchReports, len(r.queue))
	batch := r.queue[:count:count]
	r.queue = r.queue[count:]
	return batch
}

// bring writes one batch, again until the store has it.
func (r *reporter) writeBatch(ctx context.Context, batch []site.Report) {
	startedAt := r.clock.Now()
	value, err := json.Marshal(batch)
	if err != nil {
		r.log.Error("reports cannot be encoded", "error", err)
		return
	}
	r.keysWritten++
	key := r.prefix + strconv.Itoa(r.keysWritten)
	for {
		revision, err := r.writeKey(ctx, key, value)
		if err == nil {
			r.storedKeys = append(r.storedKeys, storedKey{key: key, revision: revision, reports: len(batch), writtenAt: r.clock.Now()})
			r.log.Info("reported", "key", key, "reports", len(batch), "lease", r.lease, "tookMillis", r.clock.Since(startedAt).Milliseconds())
			return
		}
		r.log.Debug("reports could not be written", "key", key, "error", err)
		r.sleep(ctx, reportRetryPause)
		if ctx.Err() != nil {
			return
		}
	}
}

// write writes a key that nobody else writes and returns its revision; 0 where an earlier
// write was done whose answer was lost.
func (r *reporter) writeKey(ctx context.Context, key string, value []byte) (uint64, error) {
	if r.lease == "" || r.clock.Since(r.leasedAt) > reportLeaseTTL/2 {
		requestedAt := r.clock.Now()
		lease, err := r.store.Grant(ctx, reportLeaseTTL)
		if err != nil {
			return 0, err
		}
		r.lease, r.leasedAt = lease, requestedAt
	}
	revision, err := r.store.Swap(ctx, key, value, 0, r.lease)
	if err == nil {
		return revision, nil
	}
	switch failure.KindOf(err) {
	case failure.Conflict:
		return 0, nil
	case failure.NotFound:
		r.lease = "" // it ended in an outage
	}
	return 0, err
}
