package store

import (
	"context"
	"time"
)

// collectInterval is how often the lease-holder looks for garbage.
const collectInterval = 2 * time.Minute

// Run repairs the trail and collects garbage while holding reports true, until
// ctx ends.
func (c *Collector) Run(ctx context.Context, holding func() bool) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.store.clock.After(collectInterval):
		}
		if !holding() {
			continue
		}
		c.round(ctx)
	}
}

func (c *Collector) round(ctx context.Context) {
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
