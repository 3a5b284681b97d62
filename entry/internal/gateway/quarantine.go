package gateway

import (
	"context"
	"errors"
	"net/http"

	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/site"
)

// errHeld ends a request in progress that is held from now on.
var errQuarantined = errors.New("the request is held")

// begin notes a request in progress, which cancel gives up.
func (g *Gateway) track(x *exchange, cancel context.CancelCauseFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress[x] = cancel
}

func (g *Gateway) untrack(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.inProgress, x)
}

// giveUpHeld gives up the requests in progress that are held now: one that waits for a place or in
// an endpoint's queue would end that endpoint too, and all requests there. One that is being
// answered goes on, since it is probably harmless.
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

// held refuses a request under which endpoints ended again and again, wherever it came before:
// each further one that runs it ends too.
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

// acquit notes that a request was run to a good end: it ends no endpoint by itself, and was
// only in progress where some did. Others learn of it where one more end would have held it. An
// answer that refuses or fails shows nothing: the request may not have been run.
func (x *exchange) reportServed(outcome fleet.Outcome) {
	g := x.gateway
	good := outcome == fleet.Served && x.status < http.StatusMultipleChoices
	if !good || !g.cfg.State.Ledger().Served(x.fingerprint) {
		return
	}
	g.cfg.Publish(site.Report{Report: quarantine.Report{Served: []quarantine.Fingerprint{x.fingerprint}}})
	g.cfg.Log.Info("acquitted", "request", x.req.ID, "print", x.fingerprint)
}
