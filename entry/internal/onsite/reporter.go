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
	maxUnsent = 256
	// maxBatch bounds the reports in one value, which stays far below a message's bound.
	maxBatch = 32
	// reportRetry is the pause after a failed call. It delays the reports of an entry that
	// reaches the store again.
	reportRetry = 300 * time.Millisecond
	// reportLease is how long a report stays readable for entries that start later, though
	// the one that wrote it is gone. A lease is used for reports of a half of that time.
	reportLease = quarantine.HoldTime
	// writeRate bounds the writes of one entry, keys a second: in a flood of ends all entries
	// together stay below the calls that the store accepts.
	writeRate = 10
	// maxKept bounds the reports that all entries together leave in the store, about what
	// one entry can remember: an entry that starts reads all of them.
	maxKept = 3072
	// keepLeast is how long a key stays at least, so that entries which follow others in
	// place of the store receive it.
	keepLeast = 5 * time.Second
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
	woken  chan struct{} // buffered by one

	mu      sync.Mutex
	waiting []site.Report

	lease   string // empty: none
	leased  time.Time
	written int // keys
	writes  limit.Bucket
	// kept is the keys that this entry wrote and did not remove, in order.
	kept []keptKey
	// entries returns how many entries write reports.
	entries func() int
}

// keptKey is a key in the store.
type keptKey struct {
	key      string
	revision uint64 // 0: unknown, its write was not answered
	reports  int
	at       time.Time
}

func newReporter(store *kv.Store, prefix string, entries func() int, clock clockwork.Clock, log *slog.Logger) *reporter {
	return &reporter{store: store, prefix: prefix, entries: entries, clock: clock, log: log, woken: make(chan struct{}, 1)}
}

// publish queues a report; it never waits.
func (r *reporter) publish(report site.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) == maxUnsent {
		r.log.Warn("a report is left out, too many wait for the store", "endpoint", r.waiting[0].End.Endpoint)
		r.waiting = r.waiting[1:]
	}
	r.waiting = append(r.waiting, report)
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// run writes reports until ctx ends.
func (r *reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-r.woken:
		}
		r.writeAll(ctx)
	}
}

// writeAll writes what waits. What comes while a write waits for its turn goes with it.
func (r *reporter) writeAll(ctx context.Context) {
	for r.waits() {
		r.sleep(ctx, r.writes.Wait(r.clock.Now(), writeRate, 1))
		if ctx.Err() != nil {
			return
		}
		r.writes.Take(r.clock.Now(), writeRate, 1)
		r.bring(ctx, r.next())
		r.prune(ctx)
	}
}

func (r *reporter) waits() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.waiting) > 0
}

// prune removes the oldest keys where this entry keeps more than its part. What can't be
// removed ends with its lease.
func (r *reporter) prune(ctx context.Context) {
	kept := 0
	for _, one := range r.kept {
		kept += one.reports
	}
	most := max(maxBatch, maxKept/max(1, r.entries()))
	for len(r.kept) > 0 && kept > most && r.clock.Since(r.kept[0].at) >= keepLeast {
		oldest := r.kept[0]
		r.kept = r.kept[1:]
		kept -= oldest.reports
		if oldest.revision == 0 {
			continue
		}
		err := r.store.Delete(ctx, oldest.key, oldest.revision)
		r.log.Debug("old reports removed", "key", oldest.key, "reports", oldest.reports, "kept", kept, "error", err)
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

func (r *reporter) next() []site.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := min(maxBatch, len(r.waiting))
	batch := r.waiting[:count:count]
	r.waiting = r.waiting[count:]
	return batch
}

// bring writes one batch, again until the store has it.
func (r *reporter) bring(ctx context.Context, batch []site.Report) {
	began := r.clock.Now()
	value, err := json.Marshal(batch)
	if err != nil {
		r.log.Error("reports cannot be encoded", "error", err)
		return
	}
	r.written++
	key := r.prefix + strconv.Itoa(r.written)
	for {
		revision, err := r.write(ctx, key, value)
		if err == nil {
			r.kept = append(r.kept, keptKey{key: key, revision: revision, reports: len(batch), at: r.clock.Now()})
			r.log.Info("reported", "key", key, "reports", len(batch), "lease", r.lease, "tookMillis", r.clock.Since(began).Milliseconds())
			return
		}
		r.log.Debug("reports could not be written", "key", key, "error", err)
		r.sleep(ctx, reportRetry)
		if ctx.Err() != nil {
			return
		}
	}
}

// write writes a key that nobody else writes and returns its revision; 0 where an earlier
// write was done whose answer was lost.
func (r *reporter) write(ctx context.Context, key string, value []byte) (uint64, error) {
	if r.lease == "" || r.clock.Since(r.leased) > reportLease/2 {
		asked := r.clock.Now()
		lease, err := r.store.Grant(ctx, reportLease)
		if err != nil {
			return 0, err
		}
		r.lease, r.leased = lease, asked
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
