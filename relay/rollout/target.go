package rollout

import "time"

const (
	// leastUse is the time for which a version should be usable once it is loaded: a
	// load takes a host half a second or more, and the next one waits for it.
	minUsableTime = time.Second
	// leastGain is by how much sooner a host must serve with the version before the
	// newest to go back to it, and leastLate by how much the newest must be too late:
	// estimates are no better, and who goes back and then forth again has it last.
	minGain     = time.Second
	minLateness = 1500 * time.Millisecond
)

// Progress is how far a version is on its way, as far as this host knows.
type Progress struct {
	Version uint64
	Drawn   float64 // part of its chunks that left the origin
	Held    float64 // part of them that this host holds
}

// Fetch is how far a host is with its versions.
type Fetch struct {
	Now     time.Time
	Loaded  uint64 // 0: none
	Current uint64 // being fetched
	Whole   bool   // the current one lies ready to be loaded
	// Progress is of versions whose manifest is known.
	Progress []Progress
}

// of returns the progress of a version; ok is false where its manifest is unknown.
func (f Fetch) progressOf(version uint64) (Progress, bool) {
	for _, item := range f.Progress {
		if item.Version == version {
			return item, true
		}
	}
	return Progress{Version: version}, false
}

// Target returns the version to fetch: the newest, unless a host whose loaded version
// ends before that one can be loaded has the one before it sooner. Such a host takes
// both. To have the newest whole by then is not enough, it has to be loaded too. And what
// was in time when it was named may be so no more, since its origin may go away: hosts
// that leave a version nearly whole for one that can't come serve nothing meanwhile.
//
// Only the newest two can still be drawn.
func Target(history []Declared, host Fetch, bound time.Duration, move Move) uint64 {
	newest, former := newestTwo(history)
	deadline, ends := Deadline(history, host.Loaded, bound)
	if !ends || host.Loaded == 0 || former.Version <= host.Loaded || host.Current < former.Version {
		return newest.Version
	}
	now := host.Now
	if now.Before(newest.At) {
		now = newest.At
	}
	newestReady := now.Add(move.remaining(host.progressOf(newest.Version)))
	tooLate := newestReady.Add(move.Load + deadlineMargin).Sub(deadline)
	if tooLate <= 0 || host.Current == newest.Version && tooLate < minLateness {
		return newest.Version
	}
	if former.Version == host.Current && host.Whole {
		return formerIfUsable(former, newest, now.Add(move.Load+minUsableTime), newest.At.Add(bound))
	}
	progress, known := host.progressOf(former.Version)
	if !known {
		// Nothing says how far it is: it is taken for on its way as usual.
		if former.Version == host.Current && !now.After(deadline) {
			return formerIfUsable(former, newest, now.Add(move.Load+minUsableTime), newest.At.Add(bound))
		}
		return newest.Version
	}
	formerReady := now.Add(move.remaining(progress, true))
	gain := minGain
	if former.Version == host.Current {
		gain = 0
	}
	if formerReady.Add(gain).After(newestReady) {
		return newest.Version
	}
	return formerIfUsable(former, newest, formerReady.Add(move.Load+minUsableTime), newest.At.Add(bound))
}

// newestTwo returns the newest version declared and the one declared before it.
func newestTwo(history []Declared) (newest, former Declared) {
	for _, decl := range history {
		if decl.Version > newest.Version {
			newest, former = decl, newest
		} else if decl.Version > former.Version && decl.Version < newest.Version {
			former = decl
		}
	}
	return newest, former
}

// orNewest returns the former version if it may be used until the moment given.
func formerIfUsable(former, newest Declared, usableUntil, ends time.Time) uint64 {
	if usableUntil.After(ends) {
		return newest.Version
	}
	return former.Version
}

// left returns how long a version takes yet until most hosts are whole: all of it where
// its manifest is unknown.
func (m Move) remaining(progress Progress, known bool) time.Duration {
	if !known {
		return m.completeAfter(mostHostsSpread)
	}
	missing := 1 - progress.Held
	return max(scale(m.Origin, 1-progress.Drawn), scale(m.Host, missing)) + scale(m.Host, mostHostsSpread*missing)
}
