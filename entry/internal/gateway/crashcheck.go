package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

const (
	// inquestWait is how long requests that broke at one endpoint are collected before it
	// is looked at: an end cuts all of them off within a few milliseconds.
	crashCheckDelay = 30 * time.Millisecond
	// lookTimeout bounds the look at an endpoint beside the time of a connection.
	listenTimeout = time.Second
	// maxInquests bounds the endpoints that are looked at at once. Where all hosts of a
	// domain lose power an entry loses those it sends to, a few tens.
	maxCrashChecks = 256
	// runningEvents is the events after which a request was run for some passes of its engine,
	// which went on: what ends an engine that begins to run it does so in the first ones.
	minRunningEvents = 3
	// maxSuspects bounds the requests that are remembered of one end, above the slots and
	// the queue of an endpoint.
	maxRequestsPerCheck = 64
)

// suspect is a request in progress at an endpoint when its connection broke.
type interruptedRequest struct {
	fingerprint quarantine.Fingerprint
	id          string
	elapsed     time.Duration // since it was sent there
	events      int
}

// inquire starts to find out whether the endpoint ended under the request. A request that one
// more end would hold waits for the result, so that it ends no other endpoint meanwhile.
func (x *exchange) awaitCrashCheck(ctx context.Context, grant *fleet.Grant, outcome fleet.Outcome) {
	if outcome != fleet.Broken && outcome != fleet.Silent {
		return
	}
	g := x.gateway
	done := g.crashChecks.add(grant, interruptedRequest{fingerprint: x.fingerprint, id: x.req.ID, elapsed: g.cfg.Clock.Since(x.sentAt), events: x.events})
	if done == nil || !g.cfg.State.Ledger().Suspected(x.fingerprint) {
		return
	}
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// inquests find out whether endpoints ended under the requests that broke there: a broken
// connection alone is the network's as often as the endpoint's. They are safe for
// concurrent use.
type crashChecker struct {
	pool    *upstream.Pool
	clock   clockwork.Clock
	log     *slog.Logger
	ledger  *quarantine.Ledger
	publish func(site.Report)

	mu      sync.Mutex
	running map[fleet.Incarnation]*crashCheck
}

// inquest is on one endpoint; its inquests' lock guards it.
type crashCheck struct {
	grant    *fleet.Grant // of the first that broke
	requests []interruptedRequest
	omitted  int // suspects beyond the bound
	done     chan struct{}
}

// add takes in a request that broke at an endpoint and returns a channel that is closed once
// it is known whether that ended; nil: nobody looks.
func (c *crashChecker) add(grant *fleet.Grant, req interruptedRequest) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.running[grant.Incarnation()]
	if check == nil {
		if len(c.running) >= maxCrashChecks {
			c.log.Warn("an endpoint is not looked at, too many broke", "endpoint", grant.ID(), "request", req.id)
			return nil
		}
		check = &crashCheck{grant: grant, done: make(chan struct{})}
		c.running[grant.Incarnation()] = check
		go c.run(check)
	}
	if len(check.requests) >= maxRequestsPerCheck {
		check.omitted++
	} else {
		check.requests = append(check.requests, req)
	}
	return check.done
}

// look looks at the endpoint once those that broke with it are collected.
func (c *crashChecker) run(check *crashCheck) {
	defer close(check.done)
	<-c.clock.After(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	listens, err := c.pool.Listens(ctx, upstream.Target{Address: check.grant.Address(), Born: check.grant.Incarnation().Born})
	// The port of one that fell silent refuses nobody, and a kept connection to it looks open;
	// its host's agent knows.
	ended := err == nil && !listens || check.grant.Over() || !check.grant.Alive()
	c.mu.Lock()
	delete(c.running, check.grant.Incarnation())
	c.mu.Unlock()
	// One that leaves ends by itself.
	leaving := check.grant.Leaving()
	c.log.Info("endpoint looked at", append(check.fields(ended, err), "left", leaving)...)
	if !ended || leaving {
		return
	}
	report := check.report()
	c.ledger.Observe(report)
	c.publish(site.Report{Report: report})
}

// report is the report to other entries of an endpoint that ended.
func (c *crashCheck) report() quarantine.Report {
	in := c.grant.Incarnation()
	result := quarantine.Report{End: quarantine.End{Endpoint: in.ID, Born: in.Born}}
	for _, req := range c.requests {
		if req.events >= minRunningEvents {
			result.Running = append(result.Running, req.fingerprint)
		} else {
			result.Suspects = append(result.Suspects, req.fingerprint)
		}
	}
	return result
}

func (c *crashCheck) fields(ended bool, err error) []any {
	ids, prints := make([]string, 0, len(c.requests)), make([]string, 0, len(c.requests))
	ran, events := make([]int64, 0, len(c.requests)), make([]int, 0, len(c.requests))
	for _, req := range c.requests {
		ids, prints = append(ids, req.id), append(prints, req.fingerprint.String())
		ran, events = append(ran, req.elapsed.Milliseconds()), append(events, req.events)
	}
	return []any{
		"endpoint", c.grant.ID(), "born", c.grant.Incarnation().Born, "address", c.grant.Address(), "ended", ended, "error", err,
		"requests", ids, "prints", prints, "ranMillis", ran, "events", events, "leftOut", c.omitted,
	}
}
