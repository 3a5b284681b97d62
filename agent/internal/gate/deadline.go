package gate

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
)

// withDeadline ends the context after left by the clock given; its cause is
// then context.DeadlineExceeded.
func withDeadline(ctx context.Context, clock clockwork.Clock, timeLeft time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clock.AfterFunc(timeLeft, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// late reports whether the context ended by its deadline.
func deadlineExceeded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}
