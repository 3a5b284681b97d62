package fleet

import "time"

// notice is what an incarnation of an endpoint itself said, in its answers to this entry, of new
// requests. A registration says it later, or not at all while the platform's store is away, so
// that it takes nothing of a notice back.
type notice struct {
	leaving      bool      // it gets nothing new any more
	backOffUntil time.Time // it gets nothing new until then; zero: it asked for no rest
}

// stands reports whether the endpoint wants no new request now.
func (n notice) declinesNew(now time.Time) bool { return n.leaving || n.backingOff(now) }

func (n notice) backingOff(now time.Time) bool { return now.Before(n.backOffUntil) }

// NoteLeaving notes that the endpoint said in an answer that it leaves, and reports whether that is
// new.
func (g *Grant) NoteLeaving() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if g.endpoint.notice.leaving {
		return false
	}
	g.endpoint.notice.leaving = true
	return true
}

// Leaving reports whether the endpoint leaves, as it registered or said in an answer.
func (g *Grant) Leaving() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return g.endpoint.isLeaving()
}

// Rest notes that the endpoint turned a request away and wants none for so long. Rests don't
// shorten each other: answers overtake one another.
func (g *Grant) Rest(wait time.Duration) {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if until := g.group.clock().Add(wait); until.After(g.endpoint.notice.backOffUntil) {
		g.endpoint.notice.backOffUntil = until
	}
}

// Good reports whether the endpoint still takes new requests: it may have asked for
// rest or left since the choice.
func (g *Grant) Good() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return !g.endpoint.superseded && !g.endpoint.declinesNew(g.group.clock())
}

const (
	// noticeTime is how long a notice outlives the registration of its endpoint, which may
	// lapse and return while the endpoint serves on.
	savedNoticeTTL = 10 * time.Minute
	// maxNotices bounds the notices of one service that are kept so.
	maxSavedNotices = 1024
)

// keptNotice is that of an endpoint whose registration ended.
type savedNotice struct {
	notice
	born      int64
	expiresAt time.Time // forgotten then
}

// keepNotice remembers what an endpoint said that is forgotten; g.mu is held.
func (g *Group) saveNotice(now time.Time, ep *endpoint) {
	if !ep.notice.declinesNew(now) {
		return
	}
	if len(g.savedNotices) >= maxSavedNotices {
		g.evictNotices(now)
	}
	g.savedNotices[ep.reg.ID] = savedNotice{notice: ep.notice, born: ep.incarnations.current, expiresAt: now.Add(savedNoticeTTL)}
}

// dropNotices makes room for one more: of those that are over, or else of the oldest; g.mu is held.
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

// returnNotice gives an endpoint back what it said before its registration ended; g.mu is held.
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

// Notices returns how many endpoints are known to want nothing new, those whose registration
// ended included.
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
