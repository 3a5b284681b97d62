package gateway

import (
	"context"
	"expvar"
	"log/slog"
	"math"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrelay.example/relay/fleet"
)

// counters holds the gateway's metrics.
type counters struct {
	served        atomic.Int64
	refused       atomic.Int64
	failed        atomic.Int64
	attempts      atomic.Int64
	retries       atomic.Int64 // retries that the budget admitted
	retriesDenied atomic.Int64 // requests that found no retry left in the budget
	resumed       atomic.Int64
	quarantined   atomic.Int64 // refused because endpoints ended while running them
	brokenOff     atomic.Int64 // answers cut off after their header was sent
	events        atomic.Int64 // stream events sent to callers
	// unnamedAnswers counts answers without an ID on connections that returned one before.
	unnamedAnswers atomic.Int64
	droppedAnswers atomic.Int64 // answers to other requests
	// unprovenRejections counts answers that did not prove what their status or their header says: that
	// the request did not run.
	unprovenRejections atomic.Int64
	// outdatedRoutes counts requests that were routed, and outdatedRefusals those that were refused,
	// by a configuration that was not proven to be the newest within its bound.
	outdatedRoutes, outdatedRefusals atomic.Int64
}

// Counters returns the metrics by name.
func (g *Gateway) Counters() map[string]int64 {
	conns := g.cfg.Pool.Counts()
	ledger := g.cfg.State.Ledger()
	suspects, ends := ledger.Size()
	age, _ := g.cfg.State.Freshness().Age()
	version := uint64(0)
	if cat := g.cfg.State.Catalog(); cat != nil {
		version = cat.Version()
	}
	return map[string]int64{
		"configAgeMillis":           age.Milliseconds(),
		"configVersion":             int64(version),
		"outdatedRoutes":            g.counters.outdatedRoutes.Load(),
		"outdatedRefusals":          g.counters.outdatedRefusals.Load(),
		"served":                    g.counters.served.Load(),
		"refused":                   g.counters.refused.Load(),
		"failed":                    g.counters.failed.Load(),
		"attempts":                  g.counters.attempts.Load(),
		"resumed":                   g.counters.resumed.Load(),
		"retries":                   g.counters.retries.Load(),
		"retriesDenied":             g.counters.retriesDenied.Load(),
		"held":                      g.counters.quarantined.Load(),
		"brokenOff":                 g.counters.brokenOff.Load(),
		"events":                    g.counters.events.Load(),
		"suspects":                  int64(suspects),
		"ends":                      int64(ends),
		"heldForgotten":             int64(ledger.Forgotten()),
		"inFlight":                  g.inFlight.Load(),
		"bodyBytes":                 g.bodyBytes.Load(),
		"limitedEndpoints":          int64(g.cfg.State.Fleet().LimitedEndpoints()),
		"notices":                   int64(g.cfg.State.Fleet().Notices()),
		"unnamedAnswers":            g.counters.unnamedAnswers.Load(),
		"droppedAnswers":            g.counters.droppedAnswers.Load(),
		"unprovenRejections":        g.counters.unprovenRejections.Load(),
		"connectionUses":            int64(conns.Uses),
		"connectionDials":           int64(conns.Dials),
		"connectionsUnexpectedData": int64(conns.Unexpected),
	}
}

// publishOnce lets only one gateway of a process publish its metrics, since a name can be published
// once. Only tests run several.
var publishOnce sync.Once

// PublishMetrics exports the counters under /debug/vars.
func (g *Gateway) PublishMetrics() {
	publishOnce.Do(func() { expvar.Publish("gateway", expvar.Func(func() any { return g.Counters() })) })
}

// logAttempt counts one attempt and logs its outcome.
func (x *exchange) logAttempt(grant *fleet.Grant, outcome fleet.Outcome) {
	x.gateway.counters.attempts.Add(1)
	if x.sends > 1 && x.events > 0 {
		x.gateway.counters.resumed.Add(1)
	}
	if outcome == fleet.Served && !x.answerHead.Leaving && x.sends == 1 && x.answerOrigin.named && x.answerOrigin.dropped+x.answerOrigin.unnamed == 0 {
		x.gateway.cfg.Log.Debug("attempt", x.attemptFields(grant, outcome)...)
		return
	}
	x.gateway.cfg.Log.Info("attempt", x.attemptFields(grant, outcome)...)
}

func (x *exchange) attemptFields(grant *fleet.Grant, outcome fleet.Outcome) []any {
	return []any{
		// What decides about another send comes first, since collected lines may be cut short.
		"request", x.req.ID, "send", x.sends, "outcome", outcome.String(), "answer", x.answerHead.Status,
		"notRun", x.answerHead.StatesNotRun, "signed", x.answerHead.Signed, "named", x.answerOrigin.named,
		"conn", x.answerOrigin.conn, "connAnswers", x.answerOrigin.earlier, "from", x.answerHead.Endpoint, "endpoint", grant.ID(), "address", grant.Address(),
		"occupied", grant.Occupied(), "unread", grant.PendingPrefill(), "home", grant.Home(),
		"stateAgeMillis", grant.StateAge().Milliseconds(), "delayMillis", grant.Delay().Milliseconds(),
		"version", grant.Version(), "events", x.events, "print", x.fingerprint,
		"retryWaitMillis", x.retryWait().Milliseconds(),
		"dropped", x.answerOrigin.dropped, "unnamed", x.answerOrigin.unnamed,
		"leaving", x.answerHead.Leaving, "restMillis", x.answerHead.BackOff.Milliseconds(),
		"gaveUp", x.responseWait.stopReason, "silentMillis", x.responseWait.idle.Milliseconds(), "oversleptMillis", x.responseWait.wakeupDelay.Milliseconds(),
	}
}

// retryWait returns the time between the latest retry's admission by the budget and its send.
func (x *exchange) retryWait() time.Duration {
	if x.retryAllowedAt.IsZero() || x.sentAt.Before(x.retryAllowedAt) {
		return 0
	}
	return x.sentAt.Sub(x.retryAllowedAt)
}

// logRetry counts a decision of the retry budget and logs it with its inputs. A request that keeps
// asking is logged once for each run of refusals.
func (x *exchange) logRetry(allowed bool, left float64) {
	g := x.gateway
	if allowed {
		g.counters.retries.Add(1)
	} else if x.retryDenied {
		return
	} else {
		g.counters.retriesDenied.Add(1)
	}
	x.retryDenied = !allowed
	g.cfg.Log.Info("retry", "request", x.req.ID, "service", x.service, "send", x.sends+1, "allowed", allowed,
		"left", math.Floor(left), "entries", g.cfg.PeakEntries(), "upMillis", (g.cfg.BootClock() - g.startedAt).Milliseconds())
}

// logEnd counts a finished request and logs the outcome and the values that led to it.
func (x *exchange) logEnd(reason string, status int) {
	g := x.gateway
	level := slog.LevelInfo
	switch {
	case status < firstClientError:
		g.counters.served.Add(1)
	case status == 503:
		g.counters.refused.Add(1)
	default:
		g.counters.failed.Add(1)
	}
	brokenOff := x.answerHeader != nil && x.status == 0
	if brokenOff {
		g.counters.brokenOff.Add(1)
	}
	var fields []any
	if x.req != nil {
		fields = append(fields, "request", x.req.ID)
	}
	fields = append(fields,
		"status", status, "sends", x.sends, "mayHaveRun", x.mayHaveRun, "outcome", reason, "tookMillis", g.cfg.Clock.Since(x.arrived).Milliseconds(),
		"heldMillis", x.queuedFor.Milliseconds(), "ageMillis", x.configAgeMillis(),
	)
	if x.req != nil {
		fields = append(fields, "deadlineMillis", x.req.Deadline.Milliseconds(), "parts", strings.Join(x.req.SharedParts, ","))
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name, "service", x.service, "once", !x.route.Repeatable(),
			"events", x.events, "firstMillis", x.firstEventAfter.Milliseconds(), "pauseMillis", x.longestPause.Milliseconds(),
			"brokenOff", brokenOff, "endpoint", x.lastEndpoint(), "targetMillis", x.route.Target.Milliseconds(), "gapMillis", x.route.Gap.Milliseconds(), "print", x.fingerprint)
	}
	if x.catalog != nil {
		fields = append(fields, "catalog", x.catalog.Version())
	}
	g.cfg.Log.Log(context.Background(), level, "answered", fields...)
}

// configAgeMillis returns the age of the configuration that routed the request, -1 if unknown.
func (x *exchange) configAgeMillis() int64 {
	if !x.ageKnown {
		return -1
	}
	return x.configAge.Milliseconds()
}

// lastEndpoint returns the ID of the endpoint that was tried last, empty if none was.
func (x *exchange) lastEndpoint() string {
	if len(x.tried) == 0 {
		return ""
	}
	return x.tried[len(x.tried)-1].ID
}

// firstClientError is the lowest status that does not count as served.
const firstClientError = 400
