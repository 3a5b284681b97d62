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
	// maxQueued limits the queued reports, which have a few hundred bytes each. It is several
	// times the number of endpoints to which one entry sends.
	maxQueued = 256
	// maxBatchReports limits the reports in one value, to keep it far below the size limit of a
	// message.
	maxBatchReports = 32
	// reportRetryPause is the pause after a failed call. It also delays reports after the store
	// is reachable again.
	reportRetryPause = 300 * time.Millisecond
	// reportLeaseTTL is how long entries that start later can read a report, even if its author
	// is gone. A lease is used for new reports during the first half of its TTL only.
	reportLeaseTTL = quarantine.HoldTime
	// maxWritesPerSecond limits the keys that one entry writes per second, so that all entries
	// together stay below the call rate that the store accepts even when many endpoints crash.
	maxWritesPerSecond = 10
	// maxStoredReports limits the reports of all entries in the store, because an entry reads all
	// of them at startup. It is about the number that one entry can hold in memory.
	maxStoredReports = 3072
	// minKeyAge is the minimum age at which a key may be removed, so that it reaches entries that
	// follow other entries instead of the store.
	minKeyAge = 5 * time.Second
)

// reporter writes the endpoint crashes that this entry observed to the store, from which all
// entries read them, also those that start later. Each key is written by one entry only, so a
// write whose response was lost can be repeated, and a delayed write does no harm.
type reporter struct {
	store *kv.Store
	// prefix is the prefix of the keys. It is different for each incarnation of an entry.
	prefix string
	clock  clockwork.Clock
	log    *slog.Logger
	wake   chan struct{} // capacity 1; signals that the queue is not empty

	mu    sync.Mutex
	queue []site.Report

	lease        string // empty if none is granted
	leasedAt     time.Time
	keysWritten  int // number of keys written, for the next key's name
	writeLimiter limit.Bucket
	// storedKeys lists the keys that this entry wrote and has not removed, oldest first.
	storedKeys []storedKey
	// entryCount returns how many entries write reports.
	entryCount func() int
}

// storedKey is a key that this entry wrote to the store.
type storedKey struct {
	key       string
	revision  uint64 // 0 if unknown, because the response to the write was lost
	reports   int
	writtenAt time.Time
}

func newReporter(store *kv.Store, prefix string, entryCount func() int, clock clockwork.Clock, log *slog.Logger) *reporter {
	return &reporter{store: store, prefix: prefix, entryCount: entryCount, clock: clock, log: log, wake: make(chan struct{}, 1)}
}

// publish queues a report without blocking. If the queue is full, it drops the oldest one.
func (r *reporter) publish(report site.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) == maxQueued {
		r.log.Warn("report queue is full, dropping the oldest report", "endpoint", r.queue[0].End.Endpoint)
		r.queue = r.queue[1:]
	}
	r.queue = append(r.queue, report)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run writes queued reports until ctx is cancelled.
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

// flush writes all queued reports. Reports that are queued while it waits for the rate limiter
// are written too.
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

// hasQueued reports whether reports are queued.
func (r *reporter) hasQueued() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.queue) > 0
}

// prune removes the oldest keys if this entry stores more than its share of maxStoredReports. A
// key that cannot be removed expires with its lease.
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
		r.log.Debug("removed old reports", "key", oldest.key, "reports", oldest.reports, "kept", stored, "error", err)
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

// nextBatch removes up to maxBatchReports reports from the queue and returns them.
func (r *reporter) nextBatch() []site.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(maxBatchReports, len(r.queue))
	batch := r.queue[:count:count]
	r.queue = r.queue[count:]
	return batch
}

// writeBatch writes one batch and retries until it succeeds or ctx is cancelled.
func (r *reporter) writeBatch(ctx context.Context, batch []site.Report) {
	startedAt := r.clock.Now()
	value, err := json.Marshal(batch)
	if err != nil {
		r.log.Error("cannot encode reports", "error", err)
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
		r.log.Debug("cannot write reports", "key", key, "error", err)
		r.sleep(ctx, reportRetryPause)
		if ctx.Err() != nil {
			return
		}
	}
}

// writeKey writes a key and returns its revision, or 0 if the key exists: an earlier attempt
// wrote it and its response was lost.
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
		r.lease = "" // it expired during a store outage
	}
	return 0, err
}
