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
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

const (
	// maxUntold bounds the reports that wait for the store, a few hundred bytes each: the ends
	// of all endpoints that one entry sends to, several times.
	maxUntold = 256
	// maxBatch bounds the reports in one value, which stays far below a message's bound.
	maxBatch = 32
	// reportRetry is the pause after a failed call. It is a part of the time after which an
	// entry that the store could not be reached by is bound by the others' reports again.
	reportRetry = 300 * time.Millisecond
	// reportLease is how long a report stays readable for entries that start later, though
	// the one that wrote it is gone. A lease is used for reports of a half of that time.
	reportLease = quarantine.HoldTime
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
}

func newReporter(store *kv.Store, prefix string, clock clockwork.Clock, log *slog.Logger) *reporter {
	return &reporter{store: store, prefix: prefix, clock: clock, log: log, woken: make(chan struct{}, 1)}
}

// tell takes in a report; it never waits.
func (r *reporter) tell(report site.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) == maxUntold {
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
		for batch := r.next(); len(batch) > 0 && ctx.Err() == nil; batch = r.next() {
			r.bring(ctx, batch)
		}
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
		err := r.write(ctx, key, value)
		if err == nil {
			r.log.Info("reported", "key", key, "reports", len(batch), "lease", r.lease, "tookMillis", r.clock.Since(began).Milliseconds())
			return
		}
		r.log.Debug("reports could not be written", "key", key, "error", err)
		select {
		case <-ctx.Done():
			return
		case <-r.clock.After(reportRetry):
		}
	}
}

func (r *reporter) write(ctx context.Context, key string, value []byte) error {
	if r.lease == "" || r.clock.Since(r.leased) > reportLease/2 {
		asked := r.clock.Now()
		lease, err := r.store.Grant(ctx, reportLease)
		if err != nil {
			return err
		}
		r.lease, r.leased = lease, asked
	}
	_, err := r.store.Swap(ctx, key, value, 0, r.lease)
	if err == nil {
		return nil
	}
	switch failure.KindOf(err) {
	case failure.Conflict:
		return nil // an earlier write whose answer was lost
	case failure.NotFound:
		r.lease = "" // it ended in an outage
	}
	return err
}
