package fleet

import "time"

// AdmitsAt returns the earliest future time at which an endpoint that currently blocks new requests
// admits one from this entry: by its rate limit, at the end of its back-off, or at the end of its
// ejection. Zero means that no endpoint blocks. No other event signals that time, so callers must
// set a timer.
func (g *Group) AdmitsAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	var next time.Time
	for _, ep := range g.sorted {
		if ep.limit.active() {
			next = earliestAfter(now, next, ep.limit.admitsAt(now))
		}
		next = earliestAfter(now, next, ep.notice.backOffUntil)
		next = earliestAfter(now, next, ep.ejectedUntil)
	}
	return next
}

// Slots returns the number of slots, free or not, of the endpoints that serve such a request now.
func (g *Group) Slots(need Need) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	slots := 0
	for _, ep := range g.sorted {
		if ep.acceptsNew(now) && g.hasVersion(ep, need, now) {
			slots += ep.reg.Slots
		}
	}
	return slots
}

// earliestAfter returns the earlier of first and other. It ignores other unless it is after now,
// and first if it is zero.
func earliestAfter(now, first, other time.Time) time.Time {
	if other.After(now) && (first.IsZero() || other.Before(first)) {
		return other
	}
	return first
}

// Backlog tells when a request is admitted while all endpoints block new requests.
type Backlog struct {
	Wait time.Duration // until this entry may send the request
	// NoShare is set if this entry holds no share of the rate limits and other entries do. Wait
	// is then the interval between two requests that the endpoints accept.
	NoShare bool
	// BackOff is set if endpoints asked this entry to back off and no other endpoint is left.
	BackOff bool
	// AllTried is set if every endpoint that asked to back off has refused this request already. Wait
	// is then meant for the caller's next try.
	AllTried bool
}

// Backlog returns when a request with the given number of requests ahead of it is admitted. ok is
// false if an endpoint may take it sooner or if no endpoint serves it.
func (g *Group) Backlog(need Need, ahead int) (backlog Backlog, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	backOff, pending := g.backOffWait(need, now)
	rateLimited, found := g.rateLimitWait(need, ahead, now)
	switch {
	case found == anyUnlimited:
		return Backlog{}, false
	case found == unavailable:
		return backOff, backOff.BackOff && !pending
	case backOff.BackOff && !backOff.AllTried && backOff.Wait < rateLimited.Wait:
		return backOff, true
	}
	return rateLimited, true
}

// backOffWait returns when the first back-off ends among the endpoints that would serve the
// request. pending is set if an endpoint that is not backing off may take it soon. g.mu is held.
func (g *Group) backOffWait(need Need, now time.Time) (found Backlog, pending bool) {
	for _, ep := range g.candidates(need) {
		if ep.isLeaving() || !ep.available(now) || !g.hasVersion(ep, need, now) {
			continue
		}
		tried := need.tried(ep)
		if !ep.notice.backingOff(now) {
			pending = pending || !tried
			continue
		}
		wait := ep.notice.backOffUntil.Sub(now)
		if !found.BackOff || found.AllTried && !tried || found.AllTried == tried && wait < found.Wait {
			found = Backlog{Wait: wait, BackOff: true, AllTried: tried}
		}
	}
	return found, pending
}

// availability tells which endpoints serve a request now.
type availability int

const (
	unavailable  availability = iota // no endpoint
	allLimited                       // at least one, all with a rate limit
	anyUnlimited                     // at least one without a rate limit
)

// rateLimitWait returns when the rate limits admit a request. g.mu is held.
func (g *Group) rateLimitWait(need Need, ahead int, now time.Time) (Backlog, availability) {
	found := unavailable
	share, credit, acceptedRate := 0.0, 0.0, 0.0
	var probeAt time.Time
	for _, ep := range g.candidates(need) {
		if !g.eligible(ep, need, now) {
			continue
		}
		if !ep.limit.active() {
			return Backlog{}, anyUnlimited
		}
		found = allLimited
		acceptedRate += max(minRate, ep.limit.perSecond)
		if ep.limit.share == 0 {
			if at := ep.limit.probeAt; probeAt.IsZero() || at.Before(probeAt) {
				probeAt = at
			}
			continue
		}
		share += ep.limit.share
		credit += ep.limit.bucket.Level(now, ep.limit.share)
	}
	switch {
	case found == unavailable:
		return Backlog{}, unavailable
	case share > 0:
		return Backlog{Wait: max(0, seconds((float64(1+ahead)-credit)/share))}, allLimited
	case ahead == 0 && !probeAt.After(now):
		return Backlog{}, allLimited
	}
	return Backlog{Wait: seconds(1 / acceptedRate), NoShare: true}, allLimited
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
