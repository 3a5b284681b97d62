package gate

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// withDeadline is like context.WithTimeout, but uses the given clock. When the time is
// over, the cause of the context is context.DeadlineExceeded.
func withDeadline(ctx context.Context, clock clockwork.Clock, timeLeft time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(timeLeft, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// deadlineExceeded reports whether the context ended by its deadline.
func deadlineExceeded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
