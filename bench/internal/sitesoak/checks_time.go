package sitesoak

import (
	"fmt"
	"net/http"
	"time"

	"comfreyrelay.example/bench/internal/site"
	"comfreyrelay.example/platform/platformtest"
)

const (
	// leaveDelay is how long an endpoint takes to register that it was asked to leave: a
	// heartbeat and the store's answer.
	leaveDelay = 1500 * time.Millisecond
	// minServedFraction is the fraction of requests that must be served after all faults ended.
	minServedFraction = 0.25
	// minServedSample is the least number of requests for which this is checked.
	minServedSample = 20
)

// checkVersions checks that no request begins on weights that were replaced too long ago,
// unless timing is exempt at its entry.
func (r *run) checkVersions(tries map[string]*Try, entries map[string]*site.Member) {
	for _, execution := range r.runs {
		sent := tries[execution.ID]
		if execution.Version == 0 || execution.Began == 0 || sent == nil {
			continue
		}
		for _, newer := range r.operator.declaredVersions {
			began := time.Unix(0, execution.Began)
			if newer.version <= execution.Version || began.Before(newer.at.Add(bounds.Version)) {
				continue
			}
			if !r.timingExempt(entries[sent.Entry], newer.at, began) {
				r.recordViolation("VERSION", fmt.Sprintf("request %s arrived at %s %v after the newer version and began on version %d %v after version %d",
					execution.ID, execution.Endpoint, time.Unix(0, execution.Arrived).Sub(newer.at), execution.Version, began.Sub(newer.at), newer.version))
			}
			break
		}
	}
}

// checkDrains checks that a leaving endpoint gets no new requests after its drain time.
func (r *run) checkDrains(tries map[string]*Try, entries map[string]*site.Member) {
	leaving := map[string]departure{}
	for _, departure := range r.departures {
		leaving[departure.endpoint] = departure
	}
	for _, execution := range r.runs {
		sent, left := tries[execution.ID], leaving[execution.Endpoint]
		arrived := time.Unix(0, execution.Arrived)
		if sent == nil || left.at.IsZero() || arrived.Before(left.knownAt().Add(bounds.Drain)) {
			continue
		}
		entry := entries[sent.Entry]
		if !r.timingExempt(entry, left.at, arrived) && !r.silentBefore(entry, time.Unix(0, sent.Sent)) {
			r.recordViolation("DRAIN", fmt.Sprintf("request %s of %s arrived at %s %v after the endpoint was asked to drain or removed", execution.ID, entry.Name, execution.Endpoint, arrived.Sub(left.at)))
		}
	}
}

// silentBefore reports whether connections of an entry went silent shortly before a time.
func (r *run) silentBefore(entry *site.Member, at time.Time) bool {
	return r.faultWithin(at, at, func(fault *faultRecord) bool { return isSilence(fault.kind) && fault.affects(entry.ID) })
}

// timingExempt reports whether time limits are not checked for an entry at a time: it was
// affected by a fault or stopped shortly before, or the store, a link or this machine was
// disturbed since the earlier time. Silent connections disturb neither the store nor a link.
func (r *run) timingExempt(entry *site.Member, since, at time.Time) bool {
	if r.faultWithin(at, at, func(fault *faultRecord) bool { return fault.affects(entry.ID) }) {
		return true
	}
	away := r.faultWithin(since, at, func(fault *faultRecord) bool {
		if isSilence(fault.kind) {
			return false
		}
		return fault.member == nil || fault.member.Kind == site.Store || doorFaults[fault.kind].Status != 0 || linkFaults[fault.kind] != platformtest.LinkFaults{} || doorFaults[fault.kind].Link != platformtest.LinkFaults{}
	})
	return away || r.stops.stoppedNear(entry, at) || r.stalls.within(since, at)
}

// checkRecovery checks that the deployment serves requests after all faults ended.
func (r *run) checkRecovery() {
	total, served := 0, 0
	var last int64
	for _, group := range r.callers {
		for _, try := range group.snapshot() {
			last = max(last, try.Sent)
		}
	}
	from := last - (settleTime / 4).Nanoseconds()
	for _, group := range r.callers {
		for _, try := range group.snapshot() {
			if try.Sent < from {
				continue
			}
			total++
			if try.Whole && try.Status < http.StatusMultipleChoices {
				served++
			}
		}
	}
	if total >= minServedSample && float64(served) < minServedFraction*float64(total) {
		r.recordViolation("RECOVER", fmt.Sprintf("only %d of the last %d requests succeeded", served, total))
	}
}
