package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// errShutdown is the cancellation cause of a request that is still in progress when the process ends.
var errShutdown = errors.New("the entry is shutting down")

// shutdown is the state of a gateway whose process ends. It is safe for concurrent use.
type shutdown struct {
	clock clockwork.Clock
	endAt atomic.Pointer[time.Time] // when the last requests are answered; nil until that is known
	// ended is cancelled at endAt, drained when new requests are refused.
	ended, drained      context.Context
	cancelAll, startNow context.CancelFunc
	timer               sync.Once
}

func newShutdown(clock clockwork.Clock) *shutdown {
	s := &shutdown{clock: clock}
	s.ended, s.cancelAll = context.WithCancel(context.Background())
	s.drained, s.startNow = context.WithCancel(context.Background())
	return s
}

func (s *shutdown) draining() bool { return s.drained.Err() != nil }

// limit returns the earlier of a request's deadline and the end of the process.
func (s *shutdown) limit(deadline time.Time) time.Time {
	if end := s.endAt.Load(); end != nil && end.Before(deadline) {
		return *end
	}
	return deadline
}

// Drain makes the gateway refuse new requests, and those that were not sent to an endpoint yet.
func (g *Gateway) Drain() { g.stop.startNow() }

// EndAt makes the gateway answer each request by the given time, after which the process ends. Endpoints
// get no more time than that for what is sent to them from now on. Only the first call has an effect.
func (g *Gateway) EndAt(end time.Time) {
	g.stop.timer.Do(func() {
		g.stop.endAt.Store(&end)
		g.cfg.Clock.AfterFunc(end.Sub(g.cfg.Clock.Now()), g.stop.cancelAll)
	})
}

// refuseDraining refuses a request that was not sent, so that its caller uses another entry at once.
func refuseDraining() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "draining", retryAfter: time.Millisecond, closeConn: true}
}
