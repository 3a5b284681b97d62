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
	for _, end := range g.order {
		if end.limit.active() {
			next = earliestAfter(now, next, end.limit.admitsAt(now))
		}
		next = earliestAfter(now, next, end.notice.restUntil)
		next = earliestAfter(now, next, end.ejected)
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
func (g *Group) Backlog(need Need, ahead int) (first Backlog, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	rest, pending := g.rest(need, now)
	limits, found := g.limitedWait(need, ahead, now)
	switch {
	case found == unlimited:
		return Backlog{}, false
	case found == nobody:
		return rest, rest.Rest && !pending
	case rest.Rest && !rest.Tried && rest.Wait < limits.Wait:
		return rest, true
	}
	return limits, true
}

// rest returns when the first rest ends of the endpoints that would serve a request. pending:
// one that doesn't rest may take it soon; g.mu is held.
func (g *Group) rest(need Need, now time.Time) (found Backlog, pending bool) {
	for _, end := range g.candidates(need) {
		if end.leaves() || !end.here(now) || !g.loaded(end, need, now) {
			continue
		}
		tried := need.tried(end)
		if !end.notice.rests(now) {
			pending = pending || !tried
			continue
		}
		wait := end.notice.restUntil.Sub(now)
		if !found.Rest || found.Tried && !tried || found.Tried == tried && wait < found.Wait {
			found = Backlog{Wait: wait, Rest: true, Tried: tried}
		}
	}
	return found, pending
}

// serving says which endpoints serve a request now.
type serving int

const (
	nobody    serving = iota // none
	limited                  // some, all with a rate limit
	unlimited                // one without a limit
)

// limitedWait returns when a request is admitted by rate limits; g.mu is held.
func (g *Group) limitedWait(need Need, ahead int, now time.Time) (Backlog, serving) {
	found := nobody
	share, credit, accepted := 0.0, 0.0, 0.0
	var askAt time.Time
	for _, end := range g.candidates(need) {
		if !g.serves(end, need, now) {
			continue
		}
		if !end.limit.active() {
			return Backlog{}, unlimited
		}
		found = limited
		accepted += max(leastRate, end.limit.perSecond)
		if end.limit.share == 0 {
			if at := end.limit.askAt; askAt.IsZero() || at.Before(askAt) {
				askAt = at
			}
			continue
		}
		share += end.limit.share
		credit += end.limit.credit.Level(now, end.limit.share)
	}
	switch {
	case found == nobody:
		return Backlog{}, nobody
	case share > 0:
		return Backlog{Wait: max(0, seconds((float64(1+ahead)-credit)/share))}, limited
	case ahead == 0 && !askAt.After(now):
		return Backlog{}, limited
	}
	return Backlog{Wait: seconds(1 / accepted), Elsewhere: true}, limited
}

func seconds(count float64) time.Duration { return time.Duration(count * float64(time.Second)) }
