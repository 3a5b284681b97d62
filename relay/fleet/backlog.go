package fleet

import "time"

// AdmitsAt returns when the next endpoint that keeps requests off for a time admits one of this
// entry: by its rate limit, at the end of its rest, or of the pause after it failed. Zero: none
// does so. Nothing else announces that time.
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

// earliestAfter returns the earlier of two moments, of which those that are over don't count.
func earliestAfter(now, first, other time.Time) time.Time {
	if other.After(now) && (first.IsZero() || other.Before(first)) {
		return other
	}
	return first
}

// Backlog is when endpoints that all keep requests off for a time admit a request.
type Backlog struct {
	Wait time.Duration // until this entry may send it
	// Elsewhere: this entry has no part of the rate limits, others have. Wait is then the time
	// between two requests that the endpoints accept.
	Elsewhere bool
	// Rest: endpoints asked this entry for rest, and none is left.
	Rest bool
	// Tried: all that rest refused this request. Wait is for the caller's next try.
	Tried bool
}

// Backlog returns when a request that so many others go before is admitted. ok is false where an
// endpoint may take it sooner, or none serves it.
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
		return backOff, backOff.Rest && !pending
	case backOff.Rest && !backOff.Tried && backOff.Wait < rateLimited.Wait:
		return backOff, true
	}
	return rateLimited, true
}

// rest returns when the first rest ends of the endpoints that would serve a request. pending:
// one that doesn't rest may take it soon; g.mu is held.
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
		if !found.Rest || found.Tried && !tried || found.Tried == tried && wait < found.Wait {
			found = Backlog{Wait: wait, Rest: true, Tried: tried}
		}
	}
	return found, pending
}

// serving says which endpoints serve a request now.
type availability int

const (
	unavailable  availability = iota // none
	allLimited                       // some, all with a rate limit
	anyUnlimited                     // one without a limit
)

// limitedWait returns when a request is admitted by rate limits; g.mu is held.
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
	return Backlog{Wait: seconds(1 / acceptedRate), Elsewhere: true}, allLimited
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
