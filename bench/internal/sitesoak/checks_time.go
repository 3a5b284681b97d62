package sitesoak

import (
	"fmt"
	"net/http"
	"time"

	"comfreyrelay.example/bench/internal/site"
	"comfreyrelay.example/platform/platformtest"
)

const (
	// leaveLag is how long an endpoint that is asked to leave takes to register so: a heartbeat
	// and the store's answer.
	leaveLag = 1500 * time.Millisecond
	// servedPart is the part of the requests that is served at least once all faults are over.
	servedPart = 0.25
	// servedOf is of how many that is judged at least.
	servedOf = 20
)

// judgeVersions checks that no request begins on weights that ended long ago, at entries that
// ran undisturbed while the store and the links were sound.
func (r *run) judgeVersions(tries map[string]*Try, entries map[string]*site.Member) {
	for _, one := range r.runs {
		sent := tries[one.ID]
		if one.Version == 0 || one.Began == 0 || sent == nil {
			continue
		}
		for _, newer := range r.operator.named {
			began := time.Unix(0, one.Began)
			if newer.version <= one.Version || began.Before(newer.at.Add(bounds.Version)) {
				continue
			}
			if !r.outOfTouch(entries[sent.Entry], newer.at, began) {
				r.violate("VERSION", fmt.Sprintf("%s arrived at %s %v and began on version %d %v after version %d",
					one.ID, one.Endpoint, time.Unix(0, one.Arrived).Sub(newer.at), one.Version, began.Sub(newer.at), newer.version))
			}
			break
		}
	}
}

// judgeDrains checks that an endpoint that leaves gets no new requests after a while.
func (r *run) judgeDrains(tries map[string]*Try, entries map[string]*site.Member) {
	leaving := map[string]time.Time{}
	for _, one := range r.left {
		leaving[one.endpoint] = one.at
	}
	for _, one := range r.runs {
		sent, asked := tries[one.ID], leaving[one.Endpoint]
		arrived := time.Unix(0, one.Arrived)
		if sent == nil || asked.IsZero() || arrived.Before(asked.Add(leaveLag+bounds.Drain)) {
			continue
		}
		if !r.outOfTouch(entries[sent.Entry], asked, arrived) {
			r.violate("DRAIN", fmt.Sprintf("%s arrived at %s %v after it was asked to leave", one.ID, one.Endpoint, arrived.Sub(asked)))
		}
	}
}

// outOfTouch reports whether bounds of time don't hold for an entry at a moment: it was
// disturbed shortly before, or the store, a link or this machine was in the time since.
func (r *run) outOfTouch(entry *site.Member, since, at time.Time) bool {
	if r.strikeWithin(at, at, func(one *strike) bool { return one.hits(entry.ID) }) {
		return true
	}
	away := r.strikeWithin(since, at, func(one *strike) bool {
		return one.member == nil || one.member.Kind == site.Store || doorFaults[one.kind].Status != 0 || linkFaults[one.kind] != platformtest.LinkFaults{} || doorFaults[one.kind].Link != platformtest.LinkFaults{}
	})
	return away || r.stops.hit(entry, at) || r.stalls.within(since, at)
}

// judgeEnd checks that the deployment serves once all faults are over.
func (r *run) judgeEnd() {
	total, served := 0, 0
	var last int64
	for _, group := range r.callers {
		for _, one := range group.record() {
			last = max(last, one.Sent)
		}
	}
	from := last - (endTime / 4).Nanoseconds()
	for _, group := range r.callers {
		for _, one := range group.record() {
			if one.Sent < from {
				continue
			}
			total++
			if one.Whole && one.Status < http.StatusMultipleChoices {
				served++
			}
		}
	}
	if total >= servedOf && float64(served) < servedPart*float64(total) {
		r.violate("RECOVER", fmt.Sprintf("%d of the last %d requests were served", served, total))
	}
}
