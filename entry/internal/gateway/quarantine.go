package gateway

import (
	"context"
	"errors"
	"net/http"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

// errQuarantined is the cancellation cause of a request that is quarantined while in progress.
var errQuarantined = errors.New("the request is quarantined")

// track registers a request in progress with its cancel function.
func (g *Gateway) track(x *exchange, cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress[x] = cancel
}

// untrack removes a finished request.
func (g *Gateway) untrack(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress, x)
}

// cancelQuarantined cancels the requests in progress that are now quarantined. One that waits for
// a slot or in an endpoint's queue would crash that endpoint too, with all requests there. One
// that is already being answered continues, since it is probably harmless.
func (g *Gateway) cancelQuarantined() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for x, cancel := range g.inProgress {
		if x.answering.Load() {
			continue
		}
		if _, held := g.cfg.State.Ledger().Held(x.fingerprint); held {
			cancel(errQuarantined)
		}
	}
}

// checkQuarantine refuses a request that was in progress at several endpoints when they ended, as
// seen by any entry: it would probably crash the next endpoint too. It also renews the quarantine.
func (x *exchange) checkQuarantine() *refusal {
	g := x.gateway
	ledger := g.cfg.State.Ledger()
	until, held := ledger.Held(x.fingerprint)
	if !held {
		return nil
	}
	g.counters.quarantined.Add(1)
	for _, report := range ledger.Renew(x.fingerprint) {
		ledger.Observe(report)
		g.cfg.Publish(site.Report{Report: report})
	}
	return x.refuseUnserved("endpoints ended under this request", until.Sub(g.cfg.Clock.Now()))
}

// reportServed records that a request was served, which shows that it does not crash endpoints and
// was only in progress where some crashed. It is reported to the other entries if one
// more end would have quarantined it. An answer with an error status proves nothing: the request may not have run.
func (x *exchange) reportServed(outcome fleet.Outcome) {
	g := x.gateway
	succeeded := outcome == fleet.Served && x.status < http.StatusMultipleChoices
	if !succeeded || !g.cfg.State.Ledger().Served(x.fingerprint) {
		return
	}
	g.cfg.Publish(site.Report{Report: quarantine.Report{Served: []quarantine.Fingerprint{x.fingerprint}}})
	g.cfg.Log.Info("acquitted", "request", x.req.ID, "print", x.fingerprint)
}
