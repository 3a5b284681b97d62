// Package callers serves the callers' HTTP API of an entry: which entry to
// use, requests on models and calls of plain services. Its filters run in
// order: identify, claim, limit, dispatch (which admits, chooses and relays),
// account.
package callers

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/entry/internal/dispatch"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/once"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/route"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// Bounds of what callers may send.
const (
	// MaxHeaderBytes is for the http.Server that serves the routes.
	MaxHeaderBytes  = 16 << 10
	maxBodyBytes    = 1 << 20
	maxNameBytes    = 256
	maxTokensBound  = 32768
	maxDeadline     = 10 * time.Minute // whatever the document says
	defaultDeadline = 30 * time.Second // where the document says nothing
	defaultTTL      = 30 * time.Second
)

// Config is what a Server needs from the program around it.
type Config struct {
	Self         *wire.Node      // this entry, with its incarnation
	View         *view.Holder    // what the entry knows of the deployment
	Pool         *peer.Pool      // connections to agents and other entries
	Store        *kv.Store       // the platform's service, for keys without an owner
	Clock        clockwork.Clock // the only source of time
	Log          *slog.Logger
	RoutePolicy  string        // a policy of package route; empty means affinity
	DirectoryTTL time.Duration // how long callers may keep the answer of /v1/entries
	Seed         uint64        // of the routing choices: the same seed repeats them
	PanicOnBug   bool          // stop where an invariant broke, in tests
}

// Server serves callers and answers the other entries' claims.
type Server struct {
	cfg            Config
	started        time.Time // keys' ages are measured from here; see now
	hosts          dispatch.Hosts
	ownerClient    ownerClient
	keyStore       *keyStore
	dispatcher     *dispatch.Dispatcher
	keys           *once.Authority
	tracker        *requestTracker
	customers      customers
	largeCustomers largeCustomers
	current        atomic.Pointer[index]
	rebuildMu      sync.Mutex              // held while a new index is made
	shifts         map[string]*route.Shift // by model; guarded by rebuild
	lanes          map[string]bool         // lanes that have hosts; guarded by rebuild
}

// New returns a Server that serves nothing until its routes are mounted.
// Settings are checked before: an unknown policy counts as the default.
func New(cfg Config) *Server {
	if cfg.DirectoryTTL <= 0 {
		cfg.DirectoryTTL = defaultTTL
	}
	policy, err := route.ParsePolicy(cfg.RoutePolicy)
	if err != nil {
		cfg.Log.Error("routing policy not known, using the default", "error", err)
		policy = route.Affinity
	}
	srv := &Server{
		cfg:         cfg,
		started:     cfg.Clock.Now(),
		hosts:       dispatch.NewHosts(cfg.Pool),
		ownerClient: newOwnerClient(cfg.Pool),
		keys: once.NewAuthority(cfg.Self.GetIncarnation(), once.Options{
			MaxKeys: once.DefaultMaxKeys, MaxAnswerBytes: once.DefaultMaxAnswerBytes,
		}),
		tracker: newRequestTracker(),
		shifts:  make(map[string]*route.Shift),
		lanes:   make(map[string]bool),
	}
	srv.keyStore = newKeyStore(cfg.Store, cfg.Clock)
	srv.dispatcher = dispatch.New(dispatch.Config{
		Self:       cfg.Self,
		Clock:      cfg.Clock,
		Log:        cfg.Log,
		Hosts:      srv.hosts,
		Policy:     policy,
		Seed:       cfg.Seed,
		Known:      srv.known,
		Refresh:    func() { srv.index() },
		Invariants: dispatch.Invariants{Log: cfg.Log, Panic: cfg.PanicOnBug},
	})
	return srv
}

// Routes adds the callers' API to r.
func (s *Server) Routes(r chi.Router) {
	r.Get("/v1/entries", s.serveEntries)
	r.Post("/v1/requests", s.serveRequest)
	r.Post("/v1/services/{name}", s.serveService)
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return s.tracker.inFlight() }

// Demand returns each customer's use of this entry over the last second, what
// was refused included: the shares of the limits follow what is wanted.
func (s *Server) Demand() []*wire.Demand { return s.customers.demand(s.cfg.Clock.Now()) }

// Drain stops taking new requests, which get notRun with the spares, and
// returns when those in progress have ended or ctx has. Last it passes the
// memory of its once keys on.
func (s *Server) Drain(ctx context.Context) {
	idle := s.tracker.drain()
	select {
	case <-idle:
		s.cfg.Log.Info("callers drained")
	case <-ctx.Done():
		s.cfg.Log.Warn("callers not drained in time", "inFlight", s.InFlight())
	}
	s.handOverKeys(context.WithoutCancel(ctx))
}

// now is the time by which keys' ages are judged: it runs evenly from the
// process's start, however the machine's clock is set meanwhile.
func (s *Server) now() time.Time {
	return s.started.Round(0).Add(s.cfg.Clock.Since(s.started))
}

func (s *Server) known() *wire.Known {
	snapshot := s.index().snapshot
	return &wire.Known{Revision: snapshot.Revision, PlanRevision: snapshot.PlanRevision}
}
