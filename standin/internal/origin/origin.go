// Package origin simulates the origin server of weights: it generates pseudo-random
// weights and serves them over one rate-limited link.
package origin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/fault"
)

const (
	maxBodyBytes = 1 << 16
	maxVersions  = 1000
	// retryAfterSeconds is the Retry-After value of a refused call.
	retryAfterSeconds = "1"
)

// Options configures a Service.
type Options struct {
	// BytesPerSecond is the rate of the link that all transfers share; 0 means
	// unlimited.
	BytesPerSecond float64
	// RequestsPerSecond is the rate limit; calls beyond it are answered with 429.
	// 0 means no limit.
	RequestsPerSecond float64
	// Seed determines which chunks are corrupted.
	Seed  uint64
	Clock clockwork.Clock
}

// Faults are the fault settings of POST /faults.
type Faults struct {
	// Down answers manifests and chunks with 503.
	Down bool `json:"down"`
	// DelayMillis delays every answer.
	DelayMillis int `json:"delayMillis"`
	// CorruptFraction is the fraction of chunks sent with a wrong byte.
	CorruptFraction float64 `json:"corruptFraction"`
	// CorruptManifest sends manifests with a wrong byte.
	CorruptManifest bool `json:"corruptManifest"`
	// Stall blocks all chunk transfers without closing their connections.
	Stall bool `json:"stall"`
	// Refuse answers manifests and chunks with 429.
	Refuse bool `json:"refuse"`
	// BytesPerSecond changes the link's rate; 0 restores the configured one.
	BytesPerSecond float64 `json:"bytesPerSecond"`
}

// Service is the simulated origin server.
type Service struct {
	clock    clockwork.Clock
	rate     float64 // configured rate of the link, in bytes per second
	link     *link
	requests *rate.Limiter
	faults   fault.Knobs[Faults]
	recorder *transferRecorder

	mu       sync.Mutex
	random   *rand.Rand
	versions map[string]*version
	order    []*version           // in order of publication
	specs    map[string]chunkSpec // by hash in hexadecimal
}

// New returns a Service without versions.
func New(opts Options) *Service {
	service := &Service{
		clock:    opts.Clock,
		rate:     opts.BytesPerSecond,
		link:     newLink(opts.BytesPerSecond),
		requests: requestLimiter(opts.RequestsPerSecond),
		recorder: newTransferRecorder(),
		random:   rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		versions: map[string]*version{},
		specs:    map[string]chunkSpec{},
	}
	service.faults.Changed = service.apply
	return service
}

func requestLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Service) apply(knobs Faults) Faults {
	bytesPerSecond := knobs.BytesPerSecond
	if bytesPerSecond <= 0 {
		bytesPerSecond = s.rate
	}
	s.link.setRate(bytesPerSecond)
	return knobs
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/manifests/{version}", s.admit(s.manifest))
	mux.Get("/chunks/{hash}", s.admit(s.chunk))
	mux.Post("/publish", s.publish)
	mux.Handle("/faults", &s.faults)
	mux.Get("/ledger", s.ledger)
	mux.Delete("/ledger", func(http.ResponseWriter, *http.Request) { s.recorder.reset() })
	return mux
}

// Publish generates a version and starts serving it.
func (s *Service) Publish(pub Publication) (Published, error) {
	s.mu.Lock()
	from := s.versions[pub.FromVersion]
	s.mu.Unlock()
	if pub.FromVersion != "" && from == nil {
		return Published{}, failure.New(failure.NotFound, "there is no version "+pub.FromVersion, "publish it first")
	}
	published, err := build(pub, from)
	if err != nil {
		return Published{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.order) >= maxVersions {
		return Published{}, failure.New(failure.Exhausted, "too many versions", "start a new origin")
	}
	if _, found := s.versions[published.name]; !found {
		s.order = append(s.order, published)
	}
	s.versions[published.name] = published
	for i, hash := range published.hashes {
		s.specs[hash] = published.specs[i]
	}
	return Published{Version: published.name, Chunks: published.chunks, Bytes: published.size}, nil
}

// admit applies faults and the rate limit before a transfer.
func (s *Service) admit(run http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		knobs := s.faults.Get()
		s.recorder.update(func(totals *Ledger) { totals.Requests++ })
		if knobs.Refuse || !s.requests.AllowN(s.clock.Now(), 1) {
			s.recorder.update(func(totals *Ledger) { totals.Refused++ })
			w.Header().Set("Retry-After", retryAfterSeconds)
			http.Error(w, "request rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		if !s.sleep(r.Context(), time.Duration(knobs.DelayMillis)*time.Millisecond) {
			return
		}
		if knobs.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		run(w, r)
	}
}

func (s *Service) manifest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found := s.versions[chi.URLParam(r, "version")]
	s.mu.Unlock()
	if found == nil {
		http.NotFound(w, r)
		return
	}
	encoded := append([]byte(nil), found.encoded...)
	if s.faults.Get().CorruptManifest {
		encoded[len(encoded)-1]++
	}
	s.recorder.update(func(totals *Ledger) { totals.ManifestBytes += int64(len(encoded)) })
	_, _ = w.Write(encoded)
}

func (s *Service) chunk(w http.ResponseWriter, r *http.Request) {
	hash := chi.URLParam(r, "hash")
	s.mu.Lock()
	spec, found := s.specs[hash]
	corrupt := s.random.Float64() < s.faults.Get().CorruptFraction
	s.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(spec.size))
	beforeWrite := func(part []byte) error {
		if corrupt {
			part[0]++
			corrupt = false
			s.recorder.update(func(totals *Ledger) { totals.Corrupted++ })
		}
		return s.waitWhileStalled(r.Context())
	}
	sent, err := s.link.copy(r.Context(), w, spec.reader(), beforeWrite)
	s.recorder.recordTransfer(r, hash, sent, err == nil)
}

// stallPoll is the interval at which a stalled transfer checks the Stall setting.
const stallPoll = 50 * time.Millisecond

// waitWhileStalled blocks until the Stall setting is off.
func (s *Service) waitWhileStalled(ctx context.Context) error {
	for s.faults.Get().Stall {
		if !s.sleep(ctx, stallPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// sleep waits and returns false if the client disconnects meanwhile.
func (s *Service) sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	select {
	case <-s.clock.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Service) publish(w http.ResponseWriter, r *http.Request) {
	var pub Publication
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&pub); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	published, err := s.Publish(pub)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, published)
}

func (s *Service) ledger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	order := append([]*version(nil), s.order...)
	s.mu.Unlock()
	reply(w, s.recorder.report(order))
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
