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
	"sync"
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
	// headerTimeout limits the time for reading a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is when idle connections of callers are closed.
	idleTimeout = 2 * time.Minute
	// drainLinger is the minimum time from the start of a drain to the exit. A
	// drained entry keeps rejecting requests until then, so that callers that
	// still use its address get proof that nothing was run, and the addresses of
	// other entries.
	drainLinger = 3 * time.Second
	// shutdownTimeout limits the graceful shutdown of an HTTP server.
	shutdownTimeout = time.Second
)

// components are the parts of a running entry, created by the dig container.
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

// process is one running entry.
type process struct{ components }

// Run runs an entry with the given settings. It drains when the drain context is
// done and stops immediately when kill is done. It returns nil after a clean stop.
func Run(drain, kill context.Context, set *wire.EntrySettings, out, errOut io.Writer) error {
	if set.GetSite() != nil {
		return onsite.Run(drain, kill, set, out)
	}
	container := newContainer(set, errOut)
	return dig.RootCause(container.Invoke(func(all components) error {
		return (&process{components: all}).run(drain, kill, out)
	}))
}

// run starts the listeners and background tasks and waits until all have stopped.
func (p *process) run(drain, kill context.Context, out io.Writer) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, p.Server); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot register the control RPCs", "report it")
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

// startBackground starts the background tasks. The leases are released when the
// drain starts, because a process that is about to exit must not hold them.
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

// holdsPlannerLease reports whether this entry holds the planner's lease.
func (p *process) holdsPlannerLease() bool {
	_, ok := p.Leases.planner.Holding()
	return ok
}

// callersRoutes returns the handler of the callers' listener, which serves both
// APIs and the console.
func (p *process) callersRoutes() http.Handler {
	mux := chi.NewRouter()
	p.Callers.Routes(mux)
	p.Operators.Routes(mux)
	p.Console.Routes(mux)
	return mux
}

// serveHTTP serves the routes until ctx is done and then shuts the server down.
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

// shutdown closes idle connections and lets responses in progress complete. The
// timeout is short because the drain has already waited for these.
func (p *process) shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// ignoreStopError drops the error of a server that was asked to stop.
func ignoreStopError(ctx context.Context, err error) error {
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// awaitShutdown waits for the stop signal and drains the entry.
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

// announceDrain notifies the other entries immediately that callers should use
// other entries.
func (p *process) announceDrain() {
	p.Self.Drain()
	p.Deployment.Members().ObserveEntry(p.Self.Latest(), p.Clock.Now())
	p.Publisher.Wake()
	p.Deployment.NotifyUrgent()
}

// ready returns nil if this entry knows the document in force and accepts requests
// of callers, and otherwise the reason why not.
func (p *process) ready() error {
	if p.Self.Draining() {
		return failure.New(failure.Leaving, "the entry is draining", "use another entry")
	}
	if _, confirmed := p.Deployment.Age(); !confirmed {
		return failure.New(failure.Unavailable, "no document has been confirmed yet", "check kvUrl, node.hostsUrl and the other entries")
	}
	return nil
}

// publishOnce lets only one entry of a process publish its state, since a name can be published
// once. Only tests run several.
var publishOnce sync.Once

// publishVars publishes the entry's state under /debug/vars.
func (p *process) publishVars() {
	publishOnce.Do(func() { expvar.Publish("entryState", expvar.Func(p.stateVars)) })
}

// stateVars returns the state that publishVars exposes.
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
