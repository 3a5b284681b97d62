// Package kvservice simulates the platform's key-value service in the memory of one
// process, with rate limits, fault injection and a ledger of calls.
package kvservice

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"comfreyrelay.example/relay/budget"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/standin/internal/fault"
)

// burstSeconds is the burst size, in seconds of the rate.
const burstSeconds = 0.5

// Options configures a Service.
type Options struct {
	// ReadsPerSecond and WritesPerSecond are the rate limits; calls beyond them are
	// answered with 429. 0 means no limit.
	ReadsPerSecond, WritesPerSecond float64
	// Seed determines which requests and replies are lost.
	Seed  uint64
	Clock clockwork.Clock
}

// Service is the simulated key-value service.
type Service struct {
	clock    clockwork.Clock
	memory   *kv.Memory
	reads    *rate.Limiter
	writes   *rate.Limiter
	faults   fault.Knobs[Faults]
	random   *faultRandom
	recorder *callRecorder

	mu      sync.Mutex
	dropped chan struct{} // closed and replaced to drop all waiting watches
}

// New returns a Service with an empty store.
func New(opts Options) *Service {
	service := &Service{
		clock:    opts.Clock,
		memory:   kv.NewMemoryService(opts.Clock),
		reads:    limiter(opts.ReadsPerSecond),
		writes:   limiter(opts.WritesPerSecond),
		random:   newFaultRandom(opts.Seed),
		recorder: newCallRecorder(),
		dropped:  make(chan struct{}),
	}
	service.faults.Changed = service.apply
	return service
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Faults returns the fault settings, for tests in the same process.
func (s *Service) Faults() *fault.Knobs[Faults] { return &s.faults }

// Ledger returns the counts of the calls so far.
func (s *Service) Ledger() Ledger {
	report := s.recorder.report()
	_, report.Revision = s.memory.List("none")
	return report
}

// apply runs the faults that happen once and resets their settings.
func (s *Service) apply(knobs Faults) Faults {
	if knobs.Compact {
		s.memory.Compact()
	}
	if knobs.DropWatch {
		s.dropWatches()
	}
	knobs.Compact, knobs.DropWatch = false, false
	return knobs
}

func (s *Service) dropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.dropped)
	s.dropped = make(chan struct{})
}

func (s *Service) droppedSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/kv", s.admit(budget.List, s.list))
	mux.Get("/kv/*", s.admit(budget.Get, s.get))
	mux.Put("/kv/*", s.admit(budget.Swap, s.put))
	mux.Delete("/kv/*", s.admit(budget.Delete, s.remove))
	mux.Get("/watch", s.admit(budget.Watch, s.watch))
	mux.Post("/leases", s.admit(budget.Grant, s.grant))
	mux.Post("/leases/{id}/keepalive", s.admit(budget.KeepAlive, s.keepAlive))
	mux.Delete("/leases/{id}", s.admit(budget.Revoke, s.revoke))
	mux.Handle("/faults", &s.faults)
	mux.Get("/ledger", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Ledger()) })
	mux.Delete("/ledger", func(http.ResponseWriter, *http.Request) { s.recorder.reset() })
	return mux
}

// answer is the HTTP status and body of a reply; the body is nil if there is none.
type answer struct {
	status int
	body   any
}

// admit counts the call, applies faults and rate limits, and sends the reply unless
// a fault loses it.
func (s *Service) admit(kind budget.Kind, run func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		line := s.recorder.recordCall(s.clock.Now(), kind, keyOf(r), r.UserAgent())
		if !s.applyDelay(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if refusal := s.refusalStatus(kind); refusal != 0 {
			s.recorder.recordRefusal(line)
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(refusal)
			return
		}
		knobs := s.faults.Get()
		if kind.Writes() && s.random.occurs(knobs.LoseRequests) {
			panic(http.ErrAbortHandler)
		}
		result := run(r)
		if kind.Writes() && s.random.occurs(knobs.LoseReplies) {
			s.recorder.recordLostReply()
			panic(http.ErrAbortHandler)
		}
		if result.status == 0 {
			panic(http.ErrAbortHandler)
		}
		reply(w, result.status, result.body)
	}
}

// applyDelay waits for the configured delay. It returns false if the client
// disconnects meanwhile.
func (s *Service) applyDelay(ctx context.Context) bool {
	delay := time.Duration(s.faults.Get().DelayMillis) * time.Millisecond
	if delay <= 0 {
		return true
	}
	select {
	case <-s.clock.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// refusalStatus returns the HTTP status for a refused call, or 0 if the call is
// admitted.
func (s *Service) refusalStatus(kind budget.Kind) int {
	if s.faults.Get().Down {
		return http.StatusServiceUnavailable
	}
	bucket := s.reads
	if kind.Writes() {
		bucket = s.writes
	}
	if !bucket.AllowN(s.clock.Now(), 1) {
		return http.StatusTooManyRequests
	}
	return 0
}
