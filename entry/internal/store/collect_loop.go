package store

import (
	"context"
	"time"
)

// collectInterval is how often the lease-holder looks for garbage.
const collectInterval = 2 * time.Minute

// Run repairs the trail and collects garbage while holding reports true, until
// ctx ends.
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

func (c *Collector) runOnce(ctx context.Context) {
	if err := c.store.Repair(ctx); err != nil {
		c.store.log.Warn("audit trail not repaired", "error", err)
		return
	}
	deleted, err := c.Pass(ctx)
	if err != nil {
		c.store.log.Warn("parts not collected", "error", err)
	}
	if deleted > 0 {
		c.store.log.Info("parts collected", "count", deleted)
	}
}
