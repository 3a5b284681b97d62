// Package kvservice is a stand-in of the platform's key-value service: one
// process in memory, with rate limits, fault knobs and a ledger.
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

// burstSeconds is how much of a second's rate the service takes at one moment.
const burstSeconds = 0.5

// Options configure a Service.
type Options struct {
	// ReadsPerSecond and WritesPerSecond are the rates beyond which calls get
	// 429; 0 means no limit.
	ReadsPerSecond, WritesPerSecond float64
	// Seed fixes which replies get lost.
	Seed  uint64
	Clock clockwork.Clock
}

// Service is the stand-in.
type Service struct {
	clock    clockwork.Clock
	memory   *kv.Memory
	reads    *rate.Limiter
	writes   *rate.Limiter
	faults   fault.Knobs[Faults]
	random   *faultRandom
	recorder *callRecorder

	mu      sync.Mutex
	dropped chan struct{} // closed and replaced to drop the waiting watches
}

// New makes an empty Service.
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

// Faults returns the knobs, for tests in the same process.
func (s *Service) Faults() *fault.Knobs[Faults] { return &s.faults }

// Ledger returns the service's own account.
func (s *Service) Ledger() Ledger {
	report := s.recorder.report()
	_, report.Revision = s.memory.List("none")
	return report
}

// apply does the one-shot knobs and resets them.
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

// answer is what a call found: a status and a body, nil for none.
type answer struct {
	status int
	body   any
}

// admit counts the call, applies faults and rate, and replies unless the reply
// is to be lost.
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

// pause waits for the delay knob; false where the caller went away meanwhile.
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

// refusal returns the status for a call that is not let in, 0 for one that is.
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
