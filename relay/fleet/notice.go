package fleet

import "time"

// notice is what an endpoint's incarnation reported to this entry in its answers about new requests. A
// registration says the same later, or not at all while the platform's store is down, so it never
// clears a notice.
type notice struct {
	leaving      bool      // gets no new requests any more
	backOffUntil time.Time // gets no new requests until then; zero: no back-off requested
}

// declinesNew reports whether the endpoint wants no new requests now.
func (n notice) declinesNew(now time.Time) bool { return n.leaving || n.backingOff(now) }

func (n notice) backingOff(now time.Time) bool { return now.Before(n.backOffUntil) }

// NoteLeaving records that the endpoint said in an answer that it is leaving, and reports whether
// this is new.
func (g *Grant) NoteLeaving() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if g.endpoint.notice.leaving {
		return false
	}
	g.endpoint.notice.leaving = true
	return true
}

// Leaving reports whether the endpoint is leaving, by its registration or by one of its answers.
func (g *Grant) Leaving() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return g.endpoint.isLeaving()
}

// BackOff records that the endpoint refused a request and asked to back off for the given time. A
// back-off never shortens an earlier one, since answers may arrive out of order.
func (g *Grant) BackOff(wait time.Duration) {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if until := g.group.clock().Add(wait); until.After(g.endpoint.notice.backOffUntil) {
		g.endpoint.notice.backOffUntil = until
	}
}

// AcceptsRequests reports whether the endpoint still accepts new requests. It may have asked to back off or
// started to leave since it was chosen.
func (g *Grant) AcceptsRequests() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return !g.endpoint.superseded && !g.endpoint.declinesNew(g.group.clock())
}

const (
	// savedNoticeTTL is how long a notice outlives the registration of its endpoint, which may
	// lapse and return while the endpoint keeps serving.
	savedNoticeTTL = 10 * time.Minute
	// maxSavedNotices bounds the saved notices of one service.
	maxSavedNotices = 1024
)

// savedNotice is the notice of an endpoint whose registration ended.
type savedNotice struct {
	notice
	born      int64
	expiresAt time.Time // deleted then
}

// saveNotice keeps the notice of an endpoint that is about to be deleted. g.mu is held.
func (g *Group) saveNotice(now time.Time, ep *endpoint) {
	if !ep.notice.declinesNew(now) {
		return
	}
	if len(g.savedNotices) >= maxSavedNotices {
		g.evictNotices(now)
	}
	g.savedNotices[ep.reg.ID] = savedNotice{notice: ep.notice, born: ep.incarnations.current, expiresAt: now.Add(savedNoticeTTL)}
}

// evictNotices makes room for one notice by deleting expired ones, or else the oldest. g.mu is
// held.
func (g *Group) evictNotices(now time.Time) {
	oldest := ""
	for id, saved := range g.savedNotices {
		if !now.Before(saved.expiresAt) {
			delete(g.savedNotices, id)
		} else if oldest == "" || saved.expiresAt.Before(g.savedNotices[oldest].expiresAt) {
			oldest = id
		}
	}
	if len(g.savedNotices) >= maxSavedNotices {
		delete(g.savedNotices, oldest)
	}
}

// restoreNotice restores the notice of an endpoint from before its registration ended. g.mu is
// held.
func (g *Group) restoreNotice(ep *endpoint) {
	saved, ok := g.savedNotices[ep.reg.ID]
	if !ok {
		return
	}
	delete(g.savedNotices, ep.reg.ID)
	if ep.incarnation().matches(Incarnation{ID: ep.reg.ID, Born: saved.born}) {
		ep.notice = saved.notice
	}
}

// Notices returns how many endpoints are known to accept no new requests, including those whose
// registration ended.
func (f *Fleet) Notices() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	count := 0
	for _, grp := range f.groups {
		count += grp.countNotices()
	}
	return count
}

func (g *Group) countNotices() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, count := g.clock(), len(g.savedNotices)
	for _, ep := range g.sorted {
		if ep.notice.declinesNew(now) {
			count++
		}
	}
	return count
}
