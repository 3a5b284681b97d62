package fleet

import "time"

// notice is what an incarnation of an endpoint itself said, in its answers to this entry, of new
// requests. A registration says it later, or not at all while the platform's store is away, so
// that it takes nothing of a notice back.
type notice struct {
	leaves    bool      // it gets nothing new any more
	restUntil time.Time // it gets nothing new until then; zero: it asked for no rest
}

// stands reports whether the endpoint wants no new request now.
func (n notice) stands(now time.Time) bool { return n.leaves || n.rests(now) }

func (n notice) rests(now time.Time) bool { return now.Before(n.restUntil) }

// NoteLeaving notes that the endpoint said in an answer that it leaves, and reports whether that is
// new.
func (g *Grant) NoteLeaving() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if g.end.notice.leaves {
		return false
	}
	g.end.notice.leaves = true
	return true
}

// Leaving reports whether the endpoint leaves, as it registered or said in an answer.
func (g *Grant) Leaving() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return g.end.leaves()
}

// Rest notes that the endpoint turned a request away and wants none for so long. Rests don't
// shorten each other: answers overtake one another.
func (g *Grant) Rest(wait time.Duration) {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	if until := g.group.clock().Add(wait); until.After(g.end.notice.restUntil) {
		g.end.notice.restUntil = until
	}
}

// Good reports whether the endpoint still takes new requests: it may have asked for
// rest or left since the choice.
func (g *Grant) Good() bool {
	g.group.mu.Lock()
	defer g.group.mu.Unlock()
	return !g.end.over && !g.end.barred(g.group.clock())
}

const (
	// noticeTime is how long a notice outlives the registration of its endpoint, which may
	// lapse and return while the endpoint serves on.
	noticeTime = 10 * time.Minute
	// maxNotices bounds the notices of one service that are kept so.
	maxNotices = 1024
)

// keptNotice is that of an endpoint whose registration ended.
type keptNotice struct {
	notice
	born  int64
	until time.Time // forgotten then
}

// keepNotice remembers what an endpoint said that is forgotten; g.mu is held.
func (g *Group) keepNotice(now time.Time, end *endpoint) {
	if !end.notice.stands(now) {
		return
	}
	if len(g.notices) >= maxNotices {
		g.dropNotices(now)
	}
	g.notices[end.reg.ID] = keptNotice{notice: end.notice, born: end.births.current, until: now.Add(noticeTime)}
}

// dropNotices makes room for one more: of those that are over, or else of the oldest; g.mu is held.
func (g *Group) dropNotices(now time.Time) {
	oldest := ""
	for id, kept := range g.notices {
		if !now.Before(kept.until) {
			delete(g.notices, id)
		} else if oldest == "" || kept.until.Before(g.notices[oldest].until) {
			oldest = id
		}
	}
	if len(g.notices) >= maxNotices {
		delete(g.notices, oldest)
	}
}

// returnNotice gives an endpoint back what it said before its registration ended; g.mu is held.
func (g *Group) returnNotice(end *endpoint) {
	kept, ok := g.notices[end.reg.ID]
	if !ok {
		return
	}
	delete(g.notices, end.reg.ID)
	if end.incarnation().same(Incarnation{ID: end.reg.ID, Born: kept.born}) {
		end.notice = kept.notice
	}
}

// Notices returns how many endpoints are known to want nothing new, those whose registration
// ended included.
func (f *Fleet) Notices() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	count := 0
	for _, grp := range f.groups {
		count += grp.noticed()
	}
	return count
}

func (g *Group) noticed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, count := g.clock(), len(g.notices)
	for _, end := range g.order {
		if end.notice.stands(now) {
			count++
		}
	}
	return count
}
