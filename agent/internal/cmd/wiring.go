package cmd

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"
	"storj.io/drpc"

	"comfreyrelay.example/agent/internal/control"
	"comfreyrelay.example/agent/internal/engine"
	"comfreyrelay.example/agent/internal/gate"
	"comfreyrelay.example/agent/internal/orders"
	"comfreyrelay.example/agent/internal/report"
	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/fallback"
	"comfreyrelay.example/relay/logging"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// defaultWait is how long an entry may hold a Sync call if the settings don't
// set the sync interval.
const defaultWait = time.Second

// callbacks breaks the dependency cycles between components. Its functions are
// set before any component runs.
type callbacks struct {
	suspect func()
	observe func(from *wire.Node, known *wire.Known)
	nudge   func()
	report  func() *wire.HostReport
	agents  func() []*wire.Node
	synced  func() bool
}

// metrics holds the expvars of the process.
type metrics struct {
	counters *expvar.Map
	failures *expvar.Int
}

// build returns a dependency injection container with the constructors of all
// components.
func build(set *wire.AgentSettings, limits fallback.Limits, errOut io.Writer) *dig.Container {
	container := dig.New()
	provide := func(constructors ...any) {
		for _, constructor := range constructors {
			if err := container.Provide(constructor); err != nil {
				panic(err)
			}
		}
	}
	provide(
		func() *wire.AgentSettings { return set },
		clockwork.NewRealClock,
		func() *callbacks { return &callbacks{} },
		func() *slog.Logger {
			return logging.New(errOut, set.GetNode().GetLogLevel(), program, set.GetNode().GetId())
		},
		func() *engine.Client { return engine.New(set.GetEndpointUrl()) },
		newMetrics, newKeys, peer.NewPool, newListener, newSelf, newInvariants, view.NewHolder,
		newGate, newWeights, newRunner, newReporter, newControl,
		func() *fallback.Decider { return fallback.New(limits) },
	)
	return container
}

func newMetrics() *metrics {
	return &metrics{counters: new(expvar.Map).Init(), failures: new(expvar.Int)}
}

func newKeys(set *wire.AgentSettings, clock clockwork.Clock) (*peer.Keys, error) {
	if set.GetNode().GetTls() == nil {
		return nil, nil //nolint:nilnil // Nil keys mean clear text, which the settings ask for.
	}
	return peer.NewKeys(set.GetNode().GetTls(), clock)
}

func newListener(set *wire.AgentSettings) (net.Listener, error) {
	lis, err := net.Listen("tcp", set.GetNode().GetControlAddress())
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "cannot listen at node.controlAddress",
			"stop the process that has the port, or give another")
	}
	return lis, nil
}

// newSelf describes this node. It takes the address from the listener because
// the settings may leave the port to the operating system.
func newSelf(set *wire.AgentSettings, lis net.Listener) *wire.Node {
	self := node.Describe(set.GetNode(), peer.RoleAgent, "")
	self.ControlAddress = lis.Addr().String()
	return self
}

func newInvariants(log *slog.Logger, stats *metrics) *gate.Invariants {
	return &gate.Invariants{Log: log, Failures: stats.failures}
}

func newGate(set *wire.AgentSettings, self *wire.Node, clock clockwork.Clock, log *slog.Logger, keys *peer.Keys,
	client *engine.Client, holder *view.Holder, calls *callbacks, rules *gate.Invariants, stats *metrics) *gate.Gate {
	return gate.New(gate.Config{
		Self:          self,
		Clock:         clock,
		Log:           log,
		Secure:        keys != nil,
		EndpointClass: set.GetEndpoint(),
		Service:       set.GetService(),
		Engine:        client,
		View:          holder,
		Suspect:       func() { calls.suspect() },
		Observe:       func(from *wire.Node, known *wire.Known) { calls.observe(from, known) },
		Invariants:    rules,
		Counters:      stats.counters,
	})
}

func newWeights(set *wire.AgentSettings, self *wire.Node, clock clockwork.Clock, log *slog.Logger,
	pool *peer.Pool, client *engine.Client, hostGate *gate.Gate, calls *callbacks) *weights.Manager {
	return weights.New(weights.Config{
		Self:        self,
		Clock:       clock,
		Log:         log,
		Peers:       func() []*wire.Node { return calls.agents() },
		Dial:        dialer(pool),
		OriginURL:   set.GetOriginUrl(),
		Link:        set.GetLink(),
		WindowBytes: set.GetWindowBytes(),
		Strategy:    set.GetBurstStrategy(),
		PutChunk:    client.PutChunk,
		GetChunk:    client.GetChunk,
		DropChunk:   client.DropChunk,
		HeldChunks:  client.HeldChunks,
		TokensSlow:  hostGate.TokenSlowdown,
	})
}

func dialer(pool *peer.Pool) func(ctx context.Context, address string) drpc.Conn {
	return pool.Conn
}

func newRunner(set *wire.AgentSettings, self *wire.Node, clock clockwork.Clock, log *slog.Logger,
	holder *view.Holder, client *engine.Client, hostGate *gate.Gate, chunks *weights.Manager,
	calls *callbacks, rules *gate.Invariants, stats *metrics, core *fallback.Decider) *orders.Runner {
	placement := &outagePlacement{core: core, clock: clock, log: log, counters: stats.counters}
	return orders.New(orders.Config{
		Self:               self,
		Clock:              clock,
		Log:                log,
		View:               holder,
		Synced:             func() bool { return calls.synced() },
		Service:            set.GetService(),
		Engine:             client,
		Gate:               hostGate,
		Weights:            orders.FromManager(chunks),
		Counters:           stats.counters,
		Invariants:         rules,
		Changed:            func() { calls.nudge() },
		FallbackAssignment: placement.place,
	})
}

func newReporter(set *wire.AgentSettings, self *wire.Node, clock clockwork.Clock, client *engine.Client,
	hostGate *gate.Gate, runner *orders.Runner, chunks *weights.Manager, holder *view.Holder) *report.Reporter {
	return report.New(report.Config{
		Self:     self,
		Clock:    clock,
		Endpoint: set.GetEndpoint(),
		Service:  set.GetService(),
		Engine:   client,
		Gate:     hostGate,
		Orders:   runner,
		Weights:  chunks,
		View:     holder,
	})
}

func newControl(set *wire.AgentSettings, self *wire.Node, clock clockwork.Clock, log *slog.Logger,
	holder *view.Holder, pool *peer.Pool, hostGate *gate.Gate, calls *callbacks, rules *gate.Invariants,
	stats *metrics) *control.Client {
	wait := set.GetSyncInterval().AsDuration()
	if wait <= 0 {
		wait = defaultWait
	}
	return control.New(control.Config{
		Self:       self,
		Clock:      clock,
		Log:        log,
		View:       holder,
		Dial:       dialer(pool),
		HostsURL:   set.GetNode().GetHostsUrl(),
		HTTP:       &http.Client{Timeout: listTimeout},
		Wait:       wait,
		Report:     func() *wire.HostReport { return calls.report() },
		SetLeaving: hostGate.SetLeaving,
		Broken:     func(rule string, attrs ...any) { rules.Check(false, rule, attrs...) },
		Counters:   stats.counters,
	})
}
