// Package onsite runs an entry on a platform. It keeps a copy of the platform's store, serves
// callers and answers which entries a caller should use.
package onsite

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/entry/internal/gateway"
	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/logging"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/settings"
	"comfreyrelay.example/relay/site"
	"comfreyrelay.example/relay/wire"
)

const (
	program = "comfreyentry"
	// headerTimeout limits how long a request's header may take to arrive. idleTimeout closes
	// idle connections of callers; it is well above the idle times that operators configure for
	// them.
	headerTimeout = 10 * time.Second
	idleTimeout   = 5 * time.Minute
	// maxHeaderBytes limits the header of a request, and that of a response of the store.
	maxHeaderBytes = 64 << 10
	// memoryLimitFraction is the fraction of the host's memory that is set as the soft memory
	// limit of the garbage collector.
	memoryLimitFraction = 0.5
	// drainAcceptPeriod is how long a draining entry still accepts requests, because callers use
	// an address for some time after they received it.
	drainAcceptPeriod = 2500 * time.Millisecond
	// drainRejectPeriod is the minimum time for which a draining entry rejects requests
	// afterwards, so that callers that still use its address receive an answer that nothing was run.
	drainRejectPeriod = 700 * time.Millisecond
	// killMargin is subtracted from the grace period, so that the entry exits before the platform
	// kills it.
	killMargin = 900 * time.Millisecond
	// answerTime is reserved at the end of the grace period for answers to the requests that are still
	// in progress then.
	answerTime = 250 * time.Millisecond
	// drainPollInterval is how often a draining entry checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// shutdownTimeout limits the time for writing the remainder of responses whose handlers have
	// returned: net/http may still be writing them at that point.
	shutdownTimeout = 300 * time.Millisecond
)

// Run runs an entry until drain is cancelled, then waits for requests in flight. It stops at once
// when kill is cancelled.
func Run(drain, kill context.Context, cfg *wire.EntrySettings, out io.Writer) error {
	logWriter := logging.NewBounded(out)
	defer func() { _ = logWriter.Close() }()
	log := logging.New(logWriter, cfg.GetNode().GetLogLevel(), program, cfg.GetNode().GetId())
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(cfg.GetSite().GetMemoryMegabytes()) * (1 << 20)))
	return newEntry(cfg, log).run(drain, kill)
}

// entry holds the components of a running entry.
type entry struct {
	cfg      *wire.EntrySettings
	log      *slog.Logger
	clock    clockwork.Clock
	bounds   atomic.Pointer[bounds]
	state    *site.State
	mirror   *site.Mirror
	store    *kv.Store
	gateway  *gateway.Gateway
	reporter *reporter
	self     site.Entry
	draining atomic.Bool
}

func newEntry(cfg *wire.EntrySettings, log *slog.Logger) *entry {
	clock := freshness.NewClock()
	self := node.Describe(cfg.GetNode(), peer.RoleEntry, cfg.GetCallersAddress())
	e := &entry{
		cfg: cfg, log: log, clock: clock,
		state: site.NewState(clock.Now, fleet.New(clock.Now), freshness.NewTracker(freshness.BootClock)),
		self: site.Entry{
			CallersAddress: cfg.GetCallersAddress(), Region: self.GetRegion(),
			FailureDomain: self.GetFailureDomain(), Incarnation: self.GetIncarnation(),
			ControlAddress: cfg.GetNode().GetControlAddress(),
		},
	}
	e.mirror = site.NewMirror(e.state, platform.DecodeRecord, clock, log)
	e.applySettings(cfg)
	e.store = platform.NewStore(cfg.GetKvUrl(), newStoreClient(e.state.Contact(), log))
	e.reporter = newReporter(e.store, platform.ReportPrefix(cfg.GetNode().GetId(), e.self.Incarnation), e.state.PeakEntryCount, clock, log)
	e.gateway = gateway.New(gateway.Config{
		State: e.state, Pool: upstream.NewPool(clock.Now), Wire: platform.Wire(), Clock: clock, BootClock: freshness.BootClock, Log: log,
		Domain:  self.GetFailureDomain(),
		Publish: e.reporter.publish,
		Bounds:  func() gateway.Bounds { return e.bounds.Load().gateway },
		Entries: e.state.EntryCount, PeakEntries: e.state.PeakEntryCount,
	})
	return e
}

// applySettings applies the settings that may change at runtime, which are the bounds and the
// heartbeat interval of endpoints.
func (e *entry) applySettings(cfg *wire.EntrySettings) {
	newBounds := newBounds(cfg.GetSite().GetBounds())
	e.bounds.Store(&newBounds)
	e.state.Contact().SetHeartbeat(time.Duration(cfg.GetSite().GetHeartbeatMillis() * float64(time.Millisecond)))
}

func (e *entry) run(drain, kill context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	pool := peer.NewPool(nil)
	news := &newsClient{
		state: e.state, mirror: e.mirror, pool: pool, entryID: e.cfg.GetNode().GetId(), entry: e.self,
		clock: e.clock, log: e.log, apply: func() time.Duration { return e.bounds.Load().gateway.MaxConfigAge },
	}
	follower := &site.Follower{
		Store: e.store, State: e.state, Mirror: e.mirror, Clock: e.clock, Log: e.log, SourceTrust: news.storeNotNeededFor, WatchTimeout: news.watchWait,
		EndpointsPrefix: platform.EndpointPrefix, EntriesPrefix: platform.EntryPrefix, HasSources: news.followsOthers, SourcesReachStore: news.sourceHasStore,
	}
	agentFeeds := &feedManager{state: e.state, pool: pool, agentPort: e.cfg.GetSite().GetAgentPort(),
		entryID: e.cfg.GetNode().GetId(), domain: e.self.FailureDomain,
		region: e.self.Region, regions: e.cfg.GetSite().GetRegions(), clock: e.clock, log: e.log, startedAt: e.clock.Now()}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterNews(mux, &newsServer{state: e.state, mirror: e.mirror, clock: e.clock}); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot register the RPC service for other entries", "report it")
	}
	group.Go(func() error {
		err := peer.Serve(ctx, listeners.control, nil, mux, e.log)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	group.Go(func() error { news.run(ctx); return nil })
	group.Go(func() error { follower.Run(ctx); return nil })
	group.Go(func() error { agentFeeds.run(ctx); return nil })
	group.Go(func() error { e.reporter.run(ctx); return nil })
	reloader := &settings.Reloader[*wire.EntrySettings]{
		File: platform.SettingsFile(), Load: settings.LoadEntry, Apply: e.applySettings, Clock: e.clock, Log: e.log,
	}
	group.Go(func() error { reloader.Run(ctx); return nil })
	e.register(ctx, drain, group)
	e.serve(ctx, group, listeners.callers, e.gateway)
	e.serve(ctx, group, listeners.ready, platform.ReadyHandler(e.ready))
	e.serve(ctx, group, listeners.directory, platform.DirectoryHandler(e.directory().selectAddresses))
	e.serve(ctx, group, listeners.operators, node.OperatorsRouter(node.Health{Ready: e.ready}))
	e.gateway.PublishMetrics()
	e.log.Info("started", "incarnation", e.self.Incarnation, "callersAddress", e.self.CallersAddress,
		"revokeMillis", e.bounds.Load().gateway.MaxKeyAge.Milliseconds(), "versionMillis", e.bounds.Load().gateway.VersionRollout.Milliseconds())
	group.Go(func() error {
		defer stop()
		e.waitAndDrain(ctx, drain, kill)
		return nil
	})
	err = group.Wait()
	e.log.Info("stopped")
	return err
}

// register keeps the entry registered in the store until draining begins.
func (e *entry) register(ctx, drain context.Context, group *errgroup.Group) {
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(drain, cancel)
	reg := &registrar{
		store: e.store, contact: e.state.Contact(), key: platform.EntryKey(e.cfg.GetNode().GetId()), value: e.self,
		ready: e.ready, clock: e.clock, log: e.log,
	}
	group.Go(func() error {
		defer cancel()
		reg.run(ctx)
		return nil
	})
}

func (e *entry) directory() *directory {
	return &directory{
		state: e.state, self: e.self, id: e.cfg.GetNode().GetId(),
		acceptsCallers: func() bool { return e.ready() == nil }, ttl: func() time.Duration { return e.bounds.Load().directoryTTL },
	}
}

// listeners holds a listener for each address that an entry serves.
type listeners struct{ callers, ready, directory, operators, control net.Listener }

func (e *entry) listen() (*listeners, error) {
	opened := &listeners{}
	for _, spec := range []struct {
		target           *net.Listener
		address, setting string
	}{
		{&opened.callers, e.cfg.GetCallersAddress(), "callersAddress"},
		{&opened.ready, e.cfg.GetSite().GetReadyAddress(), "site.readyAddress"},
		{&opened.directory, e.cfg.GetSite().GetDirectoryAddress(), "site.directoryAddress"},
		{&opened.operators, e.cfg.GetNode().GetOperatorsAddress(), "node.operatorsAddress"},
		{&opened.control, e.cfg.GetNode().GetControlAddress(), "node.controlAddress"},
	} {
		lis, err := net.Listen("tcp", spec.address)
		if err != nil {
			return nil, failure.Wrap(err, failure.Unavailable, "cannot listen at "+spec.setting,
				"stop the process that uses the port, or configure another port")
		}
		*spec.target = lis
	}
	return opened, nil
}

// serve handles HTTP requests until ctx is cancelled and the pending responses are written.
func (e *entry) serve(ctx context.Context, group *errgroup.Group, lis net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(e.log.Handler(), slog.LevelWarn),
	}
	group.Go(func() error {
		shutdownDone := make(chan struct{})
		cancelShutdown := context.AfterFunc(ctx, func() {
			defer close(shutdownDone)
			shutdown(server)
		})
		err := server.Serve(lis)
		if cancelShutdown() {
			return err
		}
		<-shutdownDone
		return nil
	})
}

// shutdown closes idle connections at once and the others after their responses are written, but
// after shutdownTimeout at the latest.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

// ready returns nil if the entry has a current configuration and accepts callers.
func (e *entry) ready() error {
	if e.draining.Load() {
		return failure.New(failure.Leaving, "the entry is draining", "use another entry")
	}
	if e.state.Catalog() == nil {
		return failure.New(failure.Unavailable, "no configuration has been read yet", "check kvUrl")
	}
	if age, known := e.state.Freshness().Age(); !known || age > e.bounds.Load().gateway.MaxKeyAge {
		return failure.New(failure.Unavailable, "the data from the store is too old", "check that the store can be reached")
	}
	return nil
}

// waitAndDrain waits for the drain signal, then drains the entry.
func (e *entry) waitAndDrain(ctx, drain, kill context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-drain.Done():
	}
	startedAt := e.clock.Now()
	e.draining.Store(true)
	e.gateway.DisableKeepAlives()
	end := startedAt.Add(e.bounds.Load().grace - killMargin)
	e.gateway.EndAt(end.Add(-answerTime))
	e.log.Info("draining", "inFlight", e.gateway.InFlight(), "graceMillis", e.bounds.Load().grace.Milliseconds())
	e.sleep(kill, drainAcceptPeriod)
	e.gateway.Drain()
	e.sleep(kill, drainRejectPeriod)
	for kill.Err() == nil && e.gateway.InFlight() > 0 && e.clock.Now().Before(end) {
		e.sleep(kill, drainPollInterval)
	}
	e.log.Info("drained", "inFlight", e.gateway.InFlight(), "tookMillis", e.clock.Since(startedAt).Milliseconds())
}

func (e *entry) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(wait):
	}
}
