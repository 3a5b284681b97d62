package cmd

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/entry/internal/callers"
	"comfreyrelay.example/entry/internal/console"
	"comfreyrelay.example/entry/internal/control"
	"comfreyrelay.example/entry/internal/onsite"
	"comfreyrelay.example/entry/internal/operators"
	"comfreyrelay.example/entry/internal/planner"
	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

const (
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout closes callers' connections that nobody uses.
	idleTimeout = 2 * time.Minute
	// lingerFor is how long a drained entry goes on refusing: callers that hold
	// its address get proof that nothing was run, and the spares.
	drainLinger = 3 * time.Second
	// shutdownTimeout bounds the end of idle connections.
	shutdownTimeout = time.Second
)

// parts are what a running entry consists of.
type components struct {
	dig.In

	Settings   *wire.EntrySettings
	Node       *wire.Node
	Clock      clockwork.Clock
	Log        *slog.Logger
	Keys       *peer.Keys
	Pool       *peer.Pool
	Listeners  *listeners
	Callers    *callers.Server
	Operators  *operators.API
	Console    *console.Console
	Deployment *control.Deployment
	Self       *control.Self
	Server     *control.Server
	Syncer     *control.Syncer
	Publisher  *control.Publisher
	HostList   *control.HostList
	Watcher    *control.Watcher
	Leases     *leases
	Planner    *planner.Planner
	Collector  *store.Collector
}

// process is one entry.
type process struct{ components }

// Run runs an entry with the given settings. It drains when drain ends and
// stops at once when kill does. A clean end is no error.
func Run(drain, kill context.Context, set *wire.EntrySettings, out, errOut io.Writer) error {
	if set.GetSite() != nil {
		return onsite.Run(drain, kill, set, out)
	}
	container := newContainer(set, errOut)
	return dig.RootCause(container.Invoke(func(all components) error {
		return (&process{components: all}).run(drain, kill, out)
	}))
}

func (p *process) run(drain, kill context.Context, out io.Writer) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, p.Server); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot register the control calls", "report it")
	}
	p.publishVars()
	p.Publisher.Build()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreStopError(ctx, peer.Serve(ctx, p.Listeners.control, p.Keys, mux, p.Log)) })
	group.Go(func() error { return p.serveHTTP(ctx, p.Listeners.callers, p.callersRoutes()) })
	if p.Listeners.operators != nil {
		routes := node.OperatorsRouter(node.Health{Ready: p.ready})
		group.Go(func() error { return p.serveHTTP(ctx, p.Listeners.operators, routes) })
	}
	p.startBackground(ctx, drain, group)
	fmt.Fprintf(out, "listening address=%s\n", p.Node.GetCallersAddress())
	p.Log.Info("started", "incarnation", p.Node.GetIncarnation(), "callersAddress", p.Node.GetCallersAddress(),
		"controlAddress", p.Node.GetControlAddress())
	group.Go(func() error {
		defer stop()
		p.awaitShutdown(ctx, drain, kill)
		return nil
	})
	err := group.Wait()
	_ = p.Pool.Close()
	p.Log.Info("stopped")
	return err
}

// work starts what runs beside the listeners. The leases end with the drain's
// start: a process that goes must not be in charge.
func (p *process) startBackground(ctx, drain context.Context, group *errgroup.Group) {
	leaseCtx, releaseLeases := context.WithCancel(ctx)
	context.AfterFunc(drain, releaseLeases)
	for _, run := range []func(context.Context){
		p.Publisher.Run, p.Syncer.Run, p.HostList.Run, p.Watcher.Run, p.Planner.Run,
		func(ctx context.Context) { p.Collector.Run(ctx, p.holdsPlannerLease) },
	} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	for _, contender := range []*control.Contender{p.Leases.watch, p.Leases.planner} {
		group.Go(func() error {
			contender.Run(leaseCtx)
			return nil
		})
	}
}

func (p *process) holdsPlannerLease() bool {
	_, ok := p.Leases.planner.Holding()
	return ok
}

// callersRoutes are those of the callers' listener: both APIs and the console.
func (p *process) callersRoutes() http.Handler {
	mux := chi.NewRouter()
	p.Callers.Routes(mux)
	p.Operators.Routes(mux)
	p.Console.Routes(mux)
	return mux
}

func (p *process) serveHTTP(ctx context.Context, lis net.Listener, routes http.Handler) error {
	server := &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    callers.MaxHeaderBytes,
	}
	done := make(chan struct{})
	stopAfterFunc := context.AfterFunc(ctx, func() {
		defer close(done)
		p.shutdown(server)
	})
	err := server.Serve(lis)
	if !stopAfterFunc() {
		<-done
	}
	return ignoreStopError(ctx, err)
}

// shutdown ends idle connections and lets answers in progress out, briefly:
// the drain has waited for those before.
func (p *process) shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// ignoreEnd drops the error that a part returns because it was asked to stop.
func ignoreStopError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// awaitEnd waits for the signal and drains.
func (p *process) awaitShutdown(ctx, drain, kill context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-drain.Done():
	}
	limit := orDefault(p.Settings.GetDrainTimeout().AsDuration(), defaultDrain)
	p.Log.Info("draining before the exit", "inFlight", p.Callers.InFlight(), "limit", limit)
	p.announceDrain()
	start := p.Clock.Now()
	drainCtx, cancel := context.WithTimeout(kill, limit)
	defer cancel()
	p.Callers.Drain(drainCtx)
	select {
	case <-kill.Done():
		p.Log.Warn("stopping at once", "inFlight", p.Callers.InFlight())
	case <-ctx.Done():
	case <-p.Clock.After(max(0, drainLinger-p.Clock.Since(start))):
	}
}

// announceDrain notifies the other entries at once that callers should go
// elsewhere.
func (p *process) announceDrain() {
	p.Self.Drain()
	p.Deployment.Members().ObserveEntry(p.Self.Latest(), p.Clock.Now())
	p.Publisher.Wake()
	p.Deployment.Hurry()
}

// ready reports whether this entry knows what is in force and takes callers.
func (p *process) ready() error {
	if p.Self.Draining() {
		return failure.New(failure.Leaving, "the entry drains", "use another")
	}
	if _, confirmed := p.Deployment.Age(); !confirmed {
		return failure.New(failure.Unavailable, "nobody has confirmed a document yet", "check kvUrl, node.hostsUrl and the other entries")
	}
	return nil
}

// publishFigures shows the entry's state under /debug/vars. A name that is
// taken belongs to another entry of the same test process.
func (p *process) publishVars() {
	if expvar.Get("entryState") != nil {
		return
	}
	expvar.Publish("entryState", expvar.Func(p.stateVars))
}

func (p *process) stateVars() any {
	status := p.Operators.Status()
	_, watching := p.Leases.watch.Holding()
	fence, planning := p.Leases.planner.Holding()
	return map[string]any{
		"incarnation":        p.Node.GetIncarnation(),
		"revision":           status.Revision,
		"planRevision":       status.PlanRevision,
		"knowledgeAgeMillis": status.AgeMillis,
		"lowestRevision":     status.LowestRevision,
		"nodes":              len(status.Nodes),
		"inFlight":           p.Callers.InFlight(),
		"draining":           p.Self.Draining(),
		"watching":           watching,
		"planning":           planning,
		"fence":              fence,
	}
}
