package cmd

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/dig"

	"comfreyrelay.example/entry/internal/callers"
	"comfreyrelay.example/entry/internal/console"
	"comfreyrelay.example/entry/internal/control"
	"comfreyrelay.example/entry/internal/operators"
	"comfreyrelay.example/entry/internal/planner"
	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/budget"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/lease"
	"comfreyrelay.example/relay/logging"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// partsCacheBytes limits the size of the document part cache.
	partsCacheBytes = 32 << 20
	// defaultLeaseTTL, defaultSync and defaultDrain are used for settings that are
	// not set.
	defaultLeaseTTL = 5 * time.Second
	defaultSync     = 2 * time.Second
	defaultDrain    = 30 * time.Second
	// leaseMarginDivisor sets the safety margin of a lease to ttl/5. The holder
	// gives up the lease that much before its end, in case its clock runs slower
	// than the key-value service's.
	leaseMarginDivisor = 5
)

// newContainer returns a container with the constructors of all components.
func newContainer(set *wire.EntrySettings, errOut io.Writer) *dig.Container {
	container := dig.New()
	provide := func(constructors ...any) {
		for _, constructor := range constructors {
			if err := container.Provide(constructor); err != nil {
				panic(err)
			}
		}
	}
	provide(
		func() *wire.EntrySettings { return set },
		clockwork.NewRealClock,
		func() *slog.Logger {
			return logging.New(errOut, set.GetNode().GetLogLevel(), program, set.GetNode().GetId())
		},
		func() *http.Client { return &http.Client{} },
		func() *store.PartCache { return store.NewPartCache(partsCacheBytes) },
		newKeys, peer.NewPool, newListeners, newSelfNode, view.NewHolder, newService, store.New, store.NewCollector,
		newCallers, control.NewDeployment, newSelf, newExchange, newSyncer, newServer, newPublisher, newHostList,
		newLeases, newWatcher, newPlanner, newOperators, newConsole,
	)
	return container
}

// newKeys returns the TLS keys, or nil if the settings configure no TLS.
func newKeys(set *wire.EntrySettings, clock clockwork.Clock) (*peer.Keys, error) {
	if set.GetNode().GetTls() == nil {
		return nil, nil //nolint:nilnil // Nil keys select plaintext, as configured.
	}
	return peer.NewKeys(set.GetNode().GetTls(), clock)
}

// listeners holds the network listeners of an entry.
type listeners struct {
	control   net.Listener
	callers   net.Listener
	operators net.Listener // nil if not configured
}

// newListeners opens the listeners that the settings configure.
func newListeners(set *wire.EntrySettings) (*listeners, error) {
	lis := &listeners{}
	var err error
	if lis.control, err = listen(set.GetNode().GetControlAddress(), "node.controlAddress"); err != nil {
		return nil, err
	}
	if lis.callers, err = listen(set.GetCallersAddress(), "callersAddress"); err != nil {
		return nil, err
	}
	if address := set.GetNode().GetOperatorsAddress(); address != "" {
		lis.operators, err = listen(address, "node.operatorsAddress")
	}
	return lis, err
}

// listen opens a TCP listener. The error message names the setting.
func listen(address, setting string) (net.Listener, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "cannot listen at "+setting,
			"stop the process that uses the port, or configure another address")
	}
	return lis, nil
}

// newSelfNode describes this entry. It uses the listeners' actual addresses,
// because the settings may leave the choice of the ports to the system.
func newSelfNode(set *wire.EntrySettings, lis *listeners) *wire.Node {
	self := node.Describe(set.GetNode(), peer.RoleEntry, lis.callers.Addr().String())
	self.ControlAddress = lis.control.Addr().String()
	return self
}

// newService returns a rate-limited client of the key-value service.
func newService(set *wire.EntrySettings, clock clockwork.Clock) *kv.Store {
	rateLimit := budget.New(budget.Options{
		Role:            peer.RoleEntry,
		ReadsPerSecond:  set.GetKvReadsPerSecond(),
		WritesPerSecond: set.GetKvWritesPerSecond(),
		Clock:           clock,
	})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	return kv.NewHTTP(set.GetKvUrl(), set.GetNode().GetId(), rateLimit, client)
}

func newCallers(set *wire.EntrySettings, self *wire.Node, holder *view.Holder, pool *peer.Pool,
	service *kv.Store, clock clockwork.Clock, log *slog.Logger) *callers.Server {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(self.GetIncarnation()))
	return callers.New(callers.Config{
		Self:         self,
		View:         holder,
		Pool:         pool,
		Store:        service,
		Clock:        clock,
		Log:          log,
		RoutePolicy:  set.GetRoutePolicy(),
		DirectoryTTL: set.GetDirectoryTtl().AsDuration(),
		Seed:         seed.Sum64(),
	})
}

func newSelf(self *wire.Node, callersServer *callers.Server, deployment *control.Deployment) *control.Self {
	return control.NewSelf(self, callersServer.InFlight, callersServer.Demand, deployment.Known, deployment.HomeRevision)
}

func newExchange(deployment *control.Deployment, self *control.Self) *control.Exchange {
	return control.NewExchange(deployment, self.Latest)
}

func newSyncer(set *wire.EntrySettings, exchange *control.Exchange, pool *peer.Pool, docs *store.Store) *control.Syncer {
	return control.NewSyncer(exchange, pool, docs.Fetch, orDefault(set.GetSyncInterval().AsDuration(), defaultSync))
}

func newServer(exchange *control.Exchange, callersServer *callers.Server, keys *peer.Keys, syncer *control.Syncer) *control.Server {
	delegate := control.Delegate{Claim: callersServer.Claim, Settle: callersServer.Settle}
	return control.NewServer(exchange, delegate, keys != nil, syncer.Pull)
}

func newPublisher(deployment *control.Deployment, self *control.Self) *control.Publisher {
	return control.NewPublisher(deployment, self.Make)
}

func newHostList(set *wire.EntrySettings, deployment *control.Deployment, client *http.Client) *control.HostList {
	return control.NewHostList(deployment, set.GetNode().GetHostsUrl(), client)
}

// leases holds the contenders for the leases that this entry may acquire.
type leases struct {
	watch   *control.Contender // watches the key-value service for the failure domain
	planner *control.Contender // plans for the whole deployment
}

func newLeases(set *wire.EntrySettings, deployment *control.Deployment, self *wire.Node, service *kv.Store,
	clock clockwork.Clock, log *slog.Logger) *leases {
	ttl := orDefault(set.GetLeaseTtl().AsDuration(), defaultLeaseTTL)
	acquire := func(ctx context.Context, name string) *lease.Holder {
		return lease.Run(ctx, service, clock, name, self.GetIncarnation(), ttl, ttl/leaseMarginDivisor, log)
	}
	sameDomain := func(other *wire.Node) bool { return other.GetFailureDomain() == self.GetFailureDomain() }
	anyNode := func(*wire.Node) bool { return true }
	return &leases{
		watch:   control.NewContender("watch/"+self.GetFailureDomain(), deployment, sameDomain, acquire),
		planner: control.NewContender("planner", deployment, anyNode, acquire),
	}
}

func newWatcher(deployment *control.Deployment, docs *store.Store, service *kv.Store, held *leases) *control.Watcher {
	return control.NewWatcher(deployment, docs, service, func() bool {
		_, ok := held.watch.Holding()
		return ok
	})
}

func newPlanner(deployment *control.Deployment, holder *view.Holder, service *kv.Store, held *leases,
	clock clockwork.Clock, log *slog.Logger) *planner.Planner {
	return planner.New(planner.Config{
		View:    holder,
		Service: service,
		Holding: held.planner.Holding,
		Offer:   func(plan *wire.Plan) { deployment.OfferPlan(plan, "planner") },
		Clock:   clock,
		Log:     log,
	})
}

func newOperators(set *wire.EntrySettings, holder *view.Holder, deployment *control.Deployment, docs *store.Store,
	service *kv.Store, clock clockwork.Clock, log *slog.Logger) *operators.API {
	return operators.New(operators.Config{
		View:               holder,
		Deployment:         deployment,
		Docs:               docs,
		Service:            service,
		Clock:              clock,
		Log:                log,
		BootstrapKeyHashes: set.GetBootstrapKeyHashes(),
	})
}

// newConsole connects the console to the methods of the operators' API.
func newConsole(api *operators.API) *console.Console {
	return console.New(console.Config{
		Authenticate: api.Authenticate,
		Current: func() (*wire.Document, uint32) {
			revision, doc := api.InForce()
			return doc, revision
		},
		Problems: api.Problems,
		Submit: func(ctx context.Context, sub console.Submission) (uint32, *console.Conflict, error) {
			revision, err := api.Submit(ctx, store.Submission(sub))
			return revision, consoleConflict(err), err
		},
	})
}

// consoleConflict returns the conflict in the error, or nil if there is none.
func consoleConflict(err error) *console.Conflict {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return nil
	}
	return &console.Conflict{Current: conflict.CurrentRevision(), Theirs: conflict.Theirs(), Yours: conflict.Yours()}
}

// orDefault returns value, or fallback if value is not positive.
func orDefault(value, fallback time.Duration) time.Duration {
	if value <= 0 {
		return fallback
	}
	return value
}
