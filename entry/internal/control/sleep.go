package control

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// sleep waits for the duration, or until ctx ends.
func sleep(ctx context.Context, clock clockwork.Clock, wait time.Duration) {
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
	}
}
