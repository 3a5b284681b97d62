package gateway

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

const (
	// crashCheckDelay is how long interrupted requests of one endpoint are collected before the
	// endpoint is checked. The end of an endpoint interrupts all of them within a few
	// milliseconds.
	crashCheckDelay = 30 * time.Millisecond
	// listenTimeout limits the check whether an endpoint listens. The connection attempt has a
	// shorter timeout of its own.
	listenTimeout = time.Second
	// maxCrashChecks limits the endpoints that are checked at once. When all hosts of a failure
	// domain lose power, an entry loses the endpoints it sends to, a few tens.
	maxCrashChecks = 256
	// minRunningEvents is the number of events after which a request counts as running rather
	// than suspect: a request that crashes an engine does so in the first passes that run it.
	minRunningEvents = 3
	// maxRequestsPerCheck limits the requests recorded for one end. It is more than the slots and
	// the queue of an endpoint hold.
	maxRequestsPerCheck = 64
)

// interruptedRequest is a request whose connection to the endpoint broke or went silent.
type interruptedRequest struct {
	fingerprint quarantine.Fingerprint
	id          string
	elapsed     time.Duration // since it was sent
	events      int
	parts       []string // of its prompt that other requests may have too
	// suspectParts are the fingerprints of parts that may have caused the interruption.
	suspectParts []quarantine.Fingerprint
}

// awaitCrashCheck starts a check whether the endpoint ended while it ran the request. A request
// that one more end would quarantine, or a part of it, waits for the result, so that it does not
// crash another endpoint in the meantime.
func (x *exchange) awaitCrashCheck(ctx context.Context, grant *fleet.Grant, outcome fleet.Outcome) {
	if outcome != fleet.Broken && outcome != fleet.Silent {
		return
	}
	g := x.gateway
	req := interruptedRequest{fingerprint: x.fingerprint, id: x.req.ID, elapsed: g.cfg.Clock.Since(x.sentAt), events: x.events, parts: x.req.SharedParts}
	if outcome == fleet.Broken && !x.survived {
		// The end of a silent endpoint is found late: parts that were answered meanwhile elsewhere
		// would look as if they never were.
		req.suspectParts = x.parts
	}
	done := g.crashChecks.add(grant, req)
	if done == nil || !x.isSuspected() {
		return
	}
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// crashChecker finds out whether endpoints ended while they ran requests. A broken connection does
// not tell: the network is the cause as often as the endpoint. It is safe for concurrent use.
type crashChecker struct {
	pool    *upstream.Pool
	clock   clockwork.Clock
	log     *slog.Logger
	ledger  *quarantine.Ledger
	publish func(site.Report)

	mu      sync.Mutex
	running map[fleet.Incarnation]*crashCheck
}

// crashCheck is the check of one endpoint. The lock of its crashChecker guards it.
type crashCheck struct {
	grant    *fleet.Grant // of the first interrupted request
	requests []interruptedRequest
	omitted  int // requests beyond maxRequestsPerCheck
	done     chan struct{}
}

// add adds an interrupted request to the check of its endpoint and starts the check if none is
// running. The returned channel is closed when the check is done; it is nil if too many checks run.
func (c *crashChecker) add(grant *fleet.Grant, req interruptedRequest) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.running[grant.Incarnation()]
	if check == nil {
		if len(c.running) >= maxCrashChecks {
			c.log.Warn("endpoint not checked, too many endpoints are being checked at once", "endpoint", grant.ID(), "request", req.id)
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

// run collects interrupted requests for crashCheckDelay, checks whether the endpoint ended and
// reports an end to this entry's ledger and to the other entries.
func (c *crashChecker) run(check *crashCheck) {
	defer close(check.done)
	<-c.clock.After(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	listens, err := c.pool.Listens(ctx, upstream.Target{Address: check.grant.Address(), Born: check.grant.Incarnation().Born})
	// The port of a silent endpoint does not refuse connections, and a kept connection to it looks
	// open. Only the agent on its host knows whether it still runs.
	ended := err == nil && !listens || check.grant.Restarted() || !check.grant.Alive()
	c.mu.Lock()
	delete(c.running, check.grant.Incarnation())
	c.mu.Unlock()
	// A leaving endpoint exits on its own, so its end counts against no request.
	leaving := check.grant.Leaving()
	c.log.Info("endpoint looked at", append(check.fields(ended, err), "left", leaving)...)
	if !ended || leaving {
		return
	}
	report := check.report()
	c.ledger.Observe(report)
	c.publish(site.Report{Report: report})
}

// report returns the quarantine report for an endpoint that ended.
func (c *crashCheck) report() quarantine.Report {
	in := c.grant.Incarnation()
	result := quarantine.Report{End: quarantine.End{Endpoint: in.ID, Born: in.Born}}
	for _, req := range c.requests {
		if req.events >= minRunningEvents {
			result.Running = append(result.Running, req.fingerprint)
		} else {
			result.Suspects = append(result.Suspects, req.fingerprint)
		}
		for _, part := range req.suspectParts {
			if !slices.Contains(result.Parts, part) {
				result.Parts = append(result.Parts, part)
			}
		}
	}
	return result
}

// fields returns the log fields of the check.
func (c *crashCheck) fields(ended bool, err error) []any {
	ids, prints := make([]string, 0, len(c.requests)), make([]string, 0, len(c.requests))
	ran, events := make([]int64, 0, len(c.requests)), make([]int, 0, len(c.requests))
	parts := make([]string, 0, len(c.requests))
	for _, req := range c.requests {
		ids, prints = append(ids, req.id), append(prints, req.fingerprint.String())
		ran, events = append(ran, req.elapsed.Milliseconds()), append(events, req.events)
		parts = append(parts, strings.Join(req.parts, ","))
	}
	return []any{
		"endpoint", c.grant.ID(), "born", c.grant.Incarnation().Born, "address", c.grant.Address(), "ended", ended, "error", err,
		"requests", ids, "prints", prints, "ranMillis", ran, "events", events, "parts", parts, "leftOut", c.omitted,
	}
}
