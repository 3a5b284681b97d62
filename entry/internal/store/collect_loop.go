package store

import (
	"context"
	"time"
)

// collectInterval is the time between collections on the lease holder.
const collectInterval = 2 * time.Minute

// Run repairs the audit trail and deletes unreferenced parts at every
// collectInterval for which holdsLease reports true, until ctx is done.
func (c *Collector) Run(ctx context.Context, holdsLease func() bool) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.store.clock.After(collectInterval):
		}
		if !holdsLease() {
			continue
		}
		c.runOnce(ctx)
	}
}

// runOnce repairs the audit trail, then makes one collection pass. It collects
// nothing if the repair fails.
func (c *Collector) runOnce(ctx context.Context) {
	if err := c.store.Repair(ctx); err != nil {
		c.store.log.Warn("cannot repair audit trail", "error", err)
		return
	}
	deleted, err := c.Pass(ctx)
	if err != nil {
		c.store.log.Warn("cannot collect unreferenced parts", "error", err)
	}
	if deleted > 0 {
		c.store.log.Info("unreferenced parts deleted", "count", deleted)
	}
}
