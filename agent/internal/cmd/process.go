package cmd

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/agent/internal/control"
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/onsite"
	"comfreyrelay.example/agent/internal/orders"
	"comfreyrelay.example/agent/internal/report"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/fallback"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// listTimeout bounds a whole request for the platform's host list.
	listTimeout = 5 * time.Second
	// defaultDrainTimeout applies if the settings don't set a drain timeout.
	defaultDrainTimeout = 30 * time.Second
	// refusalPeriod is how long after the start of a drain the agent at least
	// keeps refusing attempts. Entries that don't know of the drain yet then get a
	// refusal, which proves that nothing ran, instead of a broken connection.
	refusalPeriod = 3 * time.Second
	// stopGrace leaves time to send the last frames after a second signal.
	stopGrace = 200 * time.Millisecond
	// pollInterval is how often a drain is checked for completion.
	pollInterval = 50 * time.Millisecond
)

// parts holds the components of a running agent, as injected by the container.
type parts struct {
	dig.In

	Settings  *wire.AgentSettings
	Self      *wire.Node
	Clock     clockwork.Clock
	Log       *slog.Logger
	Keys      *peer.Keys
	Pool      *peer.Pool
	Listener  net.Listener
	View      *view.Holder
	Gate      *gate.Gate
	Weights   *weights.Manager
	Orders    *orders.Runner
	Reporter  *report.Reporter
	Control   *control.Client
	Callbacks *callbacks
	Metrics   *metrics
}

// process is one running agent.
type process struct{ parts }

func newProcess(all parts) *process {
	all.Callbacks.suspect = all.Orders.PollNow
	all.Callbacks.observe = all.Control.Observe
	all.Callbacks.nudge = all.Control.Nudge
	all.Callbacks.report = all.Reporter.Build
	all.Callbacks.agents = all.Control.Agents
	all.Callbacks.synced = all.Control.Synced
	return &process{parts: all}
}

// Run runs an agent with the given settings. It starts draining when drain is
// done and stops immediately when kill is done. It returns nil after a clean
// shutdown.
func Run(drain, kill context.Context, set *wire.AgentSettings, out, errOut io.Writer) error {
	if set.GetSite() != nil {
		return onsite.Run(drain, kill, set, out)
	}
	return runWith(drain, kill, set, fallback.DefaultLimits(), out, errOut)
}

func runWith(drain, kill context.Context, set *wire.AgentSettings, limits fallback.Limits, out, errOut io.Writer) error {
	container := build(set, limits, errOut)
	return dig.RootCause(container.Invoke(func(all parts) error {
		return newProcess(all).run(drain, kill, out)
	}))
}

func (p *process) run(drain, kill context.Context, out io.Writer) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	operators, err := p.listenOperators()
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterHost(mux, &host{process: p}); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot register the host's calls", "report it")
	}
	p.publish()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return peer.Serve(ctx, p.Listener, p.Keys, mux, p.Log) })
	group.Go(func() error { return p.serveOperators(ctx, operators) })
	tasks := []func(context.Context) error{p.Gate.Work, p.Orders.Run, p.Reporter.Work, p.Control.Run}
	if p.Settings.GetService() == "" {
		tasks = append(tasks, p.Weights.Run)
	}
	for _, task := range tasks {
		group.Go(func() error { return ignoreAfterCancel(ctx, task(ctx)) })
	}
	fmt.Fprintf(out, "listening address=%s\n", p.Self.GetControlAddress())
	p.Log.Info("started", "incarnation", p.Self.GetIncarnation(), "address", p.Self.GetControlAddress())
	group.Go(func() error {
		defer stop()
		p.awaitShutdown(ctx, drain, kill)
		return nil
	})
	err = group.Wait()
	_ = p.Pool.Close()
	p.Log.Info("stopped")
	return err
}

// ignoreAfterCancel discards the error of a component once ctx is done, since
// the component was stopped on purpose.
func ignoreAfterCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// awaitShutdown waits for the drain signal, then drains until no request runs,
// or stops immediately on the kill signal.
func (p *process) awaitShutdown(ctx, drain, kill context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-drain.Done():
	}
	limit := p.Settings.GetDrainTimeout().AsDuration()
	if limit <= 0 {
		limit = defaultDrainTimeout
	}
	p.Log.Info("draining before the exit", "running", p.Gate.State().Running(), "limit", limit)
	p.Gate.Exit(limit)
	p.Control.Nudge()
	began := p.Clock.Now()
	for p.Gate.State().Running() > 0 || p.stillRefusing(began) {
		select {
		case <-ctx.Done():
			return
		case <-kill.Done():
			p.Log.Warn("stopping at once", "running", p.Gate.State().Running())
			p.Gate.Stop()
			p.Clock.Sleep(stopGrace)
			return
		case <-p.Clock.After(pollInterval):
		}
	}
}

// stillRefusing reports whether a drain that began at the given time is within
// refusalPeriod.
func (p *process) stillRefusing(began time.Time) bool {
	return p.Clock.Since(began) < refusalPeriod
}

// listenOperators opens the listener for operators; it returns nil if the
// settings name no address.
func (p *process) listenOperators() (net.Listener, error) {
	address := p.Settings.GetNode().GetOperatorsAddress()
	if address == "" {
		return nil, nil //nolint:nilnil // No address means no listener.
	}
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "cannot listen at node.operatorsAddress",
			"stop the process that has the port, or give another")
	}
	return lis, nil
}

// serveOperators serves health checks and metrics to operators until ctx is done.
func (p *process) serveOperators(ctx context.Context, lis net.Listener) error {
	if lis == nil {
		return nil
	}
	server := &http.Server{
		Handler:           node.OperatorsRouter(node.Health{Ready: p.ready}),
		ReadHeaderTimeout: listTimeout,
	}
	release := context.AfterFunc(ctx, func() { server.Close() })
	defer release()
	return ignoreAfterCancel(ctx, server.Serve(lis))
}

// ready returns an error unless the agent has synced with an entry, its endpoint
// responds and the host isn't leaving.
func (p *process) ready() error {
	switch {
	case p.Gate.State().Leaving():
		return failure.New(failure.Leaving, "the host leaves", "use another")
	case !p.Control.Synced():
		return failure.New(failure.Unavailable, "no entry has answered yet", "check node.hostsUrl and the entries")
	case !p.Orders.EndpointResponds():
		return failure.New(failure.Unavailable, "the endpoint does not answer", "check endpointUrl and the endpoint")
	}
	return nil
}

// published lets only the first agent of a test process publish its expvars:
// expvar panics if a name is published twice.
var published sync.Once

// publish exposes the metrics and state of the process under /debug/vars.
func (p *process) publish() {
	published.Do(func() {
		expvar.Publish("agent", p.Metrics.counters)
		expvar.Publish("invariantFailures", p.Metrics.failures)
		expvar.Publish("agentState", expvar.Func(p.debugState))
	})
}

// debugState returns the state that is shown under /debug/vars.
func (p *process) debugState() any {
	known := p.Control.Known()
	state := p.Gate.State()
	age, confirmed := p.Control.Age()
	ageMillis := int64(-1) // the document hasn't been confirmed yet
	if confirmed {
		ageMillis = age.Milliseconds()
	}
	return map[string]any{
		"incarnation":        p.Self.GetIncarnation(),
		"revision":           known.GetRevision(),
		"planRevision":       known.GetPlanRevision(),
		"knowledgeAgeMillis": ageMillis,
		"home":               p.Control.Home(),
		"fence":              p.Orders.Fence(),
		"phase":              state.Phase().String(),
		"model":              state.Loaded().Model,
		"version":            state.Loaded().Version,
		"running":            state.Running(),
		"leaving":            state.Leaving(),
		"remembered":         p.Gate.RecordedRequests(),
		"tokenGapMillis":     p.Gate.TokenGap().Milliseconds(),
	}
}
