package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"comfreyrelay.example/relay/catalog"
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
		if x.findHeld() != nil {
			cancel(errQuarantined)
		}
	}
}

// heldSubject is what a request is refused for.
type heldSubject struct {
	fingerprint quarantine.Fingerprint
	until       time.Time // when it is released if nothing further is reported of it
	reason      string
}

// findHeld returns the request itself or the part of its prompt that is held, nil if none is.
func (x *exchange) findHeld() *heldSubject {
	ledger := x.gateway.cfg.State.Ledger()
	if until, held := ledger.Held(x.fingerprint); held {
		return &heldSubject{x.fingerprint, until, "endpoints ended under this request"}
	}
	for i, part := range x.parts {
		if until, held := ledger.Held(part); held {
			return &heldSubject{part, until, "endpoints ended under requests with part " + x.req.SharedParts[i] + " in their prompts"}
		}
	}
	return nil
}

// isSuspected reports whether one more end may cause the request or a part of its prompt to be held.
func (x *exchange) isSuspected() bool {
	ledger := x.gateway.cfg.State.Ledger()
	return ledger.Suspected(x.fingerprint) || slices.ContainsFunc(x.parts, ledger.Suspected)
}

// checkQuarantine refuses a request that, or a part of whose prompt, was in progress at several
// endpoints when they ended, as seen by any entry: it would probably crash the next endpoint too. It
// also renews the quarantine.
func (x *exchange) checkQuarantine() *refusal {
	held := x.findHeld()
	if held == nil {
		return nil
	}
	g := x.gateway
	ledger := g.cfg.State.Ledger()
	g.counters.quarantined.Add(1)
	for _, report := range ledger.Renew(held.fingerprint) {
		ledger.Observe(report)
		g.cfg.Publish(site.Report{Report: report})
	}
	return x.refuseUnserved(held.reason, held.until.Sub(g.cfg.Clock.Now()))
}

const (
	// An endpoint that a part of a prompt crashes ends with the first events of the answer. It keeps
	// running with the part if it has sent minSurvivedEvents over minSurvivedTime.
	minSurvivedEvents = 4
	minSurvivedTime   = 250 * time.Millisecond
)

// noteProgress records an event of the latest attempt.
func (x *exchange) noteProgress() {
	now := x.gateway.cfg.Clock.Now()
	if x.sendEvents == 0 {
		x.sendFirstEventAt = now
	}
	x.sendEvents++
	if !x.survived && x.sendEvents >= minSurvivedEvents && now.Sub(x.sendFirstEventAt) >= minSurvivedTime {
		x.reportSurvived()
	}
}

// reportSurvived records that the endpoint keeps running with the parts of this prompt. It is
// reported to the other entries for those that one more end would have quarantined there.
func (x *exchange) reportSurvived() {
	x.survived = true
	g := x.gateway
	var report quarantine.Report
	for i, part := range x.parts {
		if g.cfg.State.Ledger().PartSurvived(part) {
			report.SurvivedParts = append(report.SurvivedParts, part)
			g.cfg.Log.Info("part acquitted", "request", x.req.ID, "part", x.req.SharedParts[i], "print", part)
		}
	}
	if report.SurvivedParts != nil {
		g.cfg.Publish(site.Report{Report: report})
	}
}

// reportServed records that a request was served, which shows that it does not crash endpoints and
// was only in progress where some crashed. It is reported to the other entries if one more end would
// have quarantined it. An answer with an error status proves nothing: the request may not have run.
func (x *exchange) reportServed(outcome fleet.Outcome) {
	g := x.gateway
	if outcome != fleet.Served || x.status >= http.StatusMultipleChoices {
		return
	}
	if x.route.Kind != catalog.Stream {
		x.reportSurvived()
	}
	if !g.cfg.State.Ledger().Served(x.fingerprint) {
		return
	}
	g.cfg.Publish(site.Report{Report: quarantine.Report{Served: []quarantine.Fingerprint{x.fingerprint}}})
	g.cfg.Log.Info("acquitted", "request", x.req.ID, "print", x.fingerprint)
}
