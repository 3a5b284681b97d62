// Package callers serves an entry's HTTP API for callers: choosing an entry,
// requests to models and calls to plain services. Each request passes these
// stages in order: authenticate the customer, claim the once key, check the
// limits, dispatch (which queues the request, chooses a host and relays the
// answer), and record metrics and the log line.
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

// Limits on what callers may send, and defaults.
const (
	// MaxHeaderBytes is the limit to set on the http.Server that serves the routes.
	MaxHeaderBytes  = 16 << 10
	maxBodyBytes    = 1 << 20
	maxNameBytes    = 256
	maxTokensBound  = 32768
	maxDeadline     = 10 * time.Minute // upper bound, also for the document's maximum
	defaultDeadline = 30 * time.Second // used when the document sets no default
	defaultTTL      = 30 * time.Second
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	Self         *wire.Node      // this entry, with its incarnation
	View         *view.Holder    // the entry's current view of the deployment
	Pool         *peer.Pool      // connections to agents and other entries
	Store        *kv.Store       // the platform's key-value store, for once keys without an owner
	Clock        clockwork.Clock // the only source of time
	Log          *slog.Logger
	RoutePolicy  string        // a policy of package route; empty means affinity
	DirectoryTTL time.Duration // how long callers may keep the answer of /v1/entries
	Seed         uint64        // for random routing choices; the same seed repeats them
	PanicOnBug   bool          // panic when an invariant is violated; for tests
}

// Server handles callers' requests, and the once-key claims and settlements
// that other entries send.
type Server struct {
	cfg            Config
	started        time.Time // base of the monotonic time returned by now
	hosts          dispatch.Hosts
	ownerClient    ownerClient
	keyStore       *keyStore
	dispatcher     *dispatch.Dispatcher
	keys           *once.Authority
	tracker        *requestTracker
	customers      customers
	largeCustomers largeCustomers
	current        atomic.Pointer[index]
	rebuildMu      sync.Mutex              // held while a new index is built
	shifts         map[string]*route.Shift // by model; guarded by rebuildMu
	lanes          map[string]bool         // names of the lanes in the latest index; guarded by rebuildMu
}

// New returns a Server; mount its API with Routes. Settings are validated
// earlier, so an unknown routing policy is only logged and replaced by the
// default.
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

// Routes mounts the callers' API on r.
func (s *Server) Routes(r chi.Router) {
	r.Get("/v1/entries", s.serveEntries)
	r.Post("/v1/requests", s.serveRequest)
	r.Post("/v1/services/{name}", s.serveService)
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int { return s.tracker.inFlight() }

// Demand returns the request and token rates of each customer on this entry,
// averaged over about the last second. Refused requests count, because each
// entry's share of a limit depends on what customers ask for.
func (s *Server) Demand() []*wire.Demand { return s.customers.demand(s.cfg.Clock.Now()) }

// Drain stops accepting requests: new ones are refused as notRun, with the
// addresses of other entries. It waits until the requests in progress have ended
// or ctx is done, and then hands the once keys over to other entries.
func (s *Server) Drain(ctx context.Context) {
	idle := s.tracker.drain()
	select {
	case <-idle:
		s.cfg.Log.Info("drained, no requests in progress")
	case <-ctx.Done():
		s.cfg.Log.Warn("drain timed out with requests in progress", "inFlight", s.InFlight())
	}
	s.handOverKeys(context.WithoutCancel(ctx))
}

// now returns the time against which the age of once keys is checked. It
// advances monotonically from the start of the process, so that changes to the
// machine's wall clock don't affect it.
func (s *Server) now() time.Time {
	return s.started.Round(0).Add(s.cfg.Clock.Since(s.started))
}

// known returns the document and plan revisions of the current index.
func (s *Server) known() *wire.Known {
	snapshot := s.index().snapshot
	return &wire.Known{Revision: snapshot.Revision, PlanRevision: snapshot.PlanRevision}
}
