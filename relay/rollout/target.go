package rollout

import "time"

const (
	// minUsableTime is how long a version must stay usable after it is loaded. A
	// load takes a host half a second or more, and the next load waits for it.
	minUsableTime = time.Second
	// A host switches back from the newest version to the one before it only if
	// that version is ready at least minGain sooner and the newest misses the
	// deadline by at least minLateness. The estimates are no more accurate than
	// this, and a host that switches back and forth is ready last.
	minGain     = time.Second
	minLateness = 1500 * time.Millisecond
)

// Progress is the download progress of a version as known to this host.
type Progress struct {
	Version      uint64
	SentByOrigin float64 // fraction of its chunks that the origin has sent
	Received     float64 // fraction of its chunks that this host has
}

// Fetch is the state of a host's loaded and fetched versions.
type Fetch struct {
	Now      time.Time
	Loaded   uint64 // 0 if no version is loaded
	Current  uint64 // version being fetched
	Complete bool   // Current is fetched completely and ready to load
	// Progress lists the versions whose manifest is known.
	Progress []Progress
}

// progressOf returns the progress of a version. The second result is false if
// the version's manifest is unknown.
func (f Fetch) progressOf(version uint64) (Progress, bool) {
	for _, item := range f.Progress {
		if item.Version == version {
			return item, true
		}
	}
	return Progress{Version: version}, false
}

// Target returns the version to fetch. This is the newest version, unless the loaded
// version expires before the newest can be fetched and loaded and the version before
// the newest is ready sooner. The host then takes both, one after the other.
//
// The estimate is repeated after the declaration, because a newest version that was
// in time may become late when its origin goes away. Hosts that abandon a nearly
// complete version for one that they can't fetch serve nothing meanwhile.
//
// Only the newest two versions can still be fetched.
func Target(history []Declared, host Fetch, bound time.Duration, move TransferTimes) uint64 {
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
	if former.Version == host.Current && host.Complete {
		return formerIfUsable(former, newest, now.Add(move.Load+minUsableTime), newest.At.Add(bound))
	}
	progress, known := host.progressOf(former.Version)
	if !known {
		// Its progress is unknown: assume that the fetch goes on as usual.
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

// formerIfUsable returns the former version if it does not expire, at ends, before
// usableUntil; otherwise the newest.
func formerIfUsable(former, newest Declared, usableUntil, ends time.Time) uint64 {
	if usableUntil.After(ends) {
		return newest.Version
	}
	return former.Version
}

// remaining returns the estimated time until most hosts have the complete version. It
// is the time of a whole fetch if the version's manifest is unknown.
func (m TransferTimes) remaining(progress Progress, known bool) time.Duration {
	if !known {
		return m.completeAfter(mostHostsSpread)
	}
	missing := 1 - progress.Received
	return max(scale(m.Origin, 1-progress.SentByOrigin), scale(m.Host, missing)) + scale(m.Host, mostHostsSpread*missing)
}
