package burst

import (
	"slices"
	"time"
)

// flight is one request in progress.
type flight struct {
	chunk    int
	source   *peerState // nil: the origin
	started  time.Time
	deadline time.Time
}

// Arrived notes a chunk that was fetched, verified and kept.
func (c *Core) Arrived(now time.Time, chunk int, source string) {
	flt := c.endFlight(chunk, source)
	if flt == nil {
		c.Hold(chunk)
		return
	}
	took := now.Sub(flt.started)
	if flt.source == nil {
		c.originFail = 0
		c.noteDrawn(now, bitOf(chunk))
		c.wakeNextOwner()
		defer c.notifyImporters(now, chunk)
	} else {
		flt.source.serve = average(flt.source.serve, took)
		flt.source.strikes, flt.source.corrupts = 0, 0
		c.fetchTime = average(c.fetchTime, took)
	}
	delete(c.dueSince, chunk)
	c.Hold(chunk)
}

func bitOf(chunk int) []uint64 {
	words := make([]uint64, chunk/wordBits+1)
	words[chunk/wordBits] = 1 << (chunk % wordBits)
	return words
}

// average is an exponentially weighted moving average.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}

// Failed notes a fetch that ended without the chunk.
func (c *Core) Failed(now time.Time, chunk int, source string, cause Cause, retryAfter time.Duration) {
	flt := c.endFlight(chunk, source)
	if flt == nil {
		return
	}
	c.countFailure(cause)
	if flt.source == nil {
		c.originFailed(now, cause, retryAfter)
		return
	}
	pst := flt.source
	switch cause {
	case Busy:
		pst.busyUntil = now.Add(max(busyWait, retryAfter))
	case Lacks:
		pst.busyUntil = now.Add(lacksWait)
		c.unlearn(pst, chunk)
	case Corrupt:
		pst.corrupted(now)
		c.membershipChanged(now)
	case TimedOut:
		pst.stalled(now)
		if pst.seenAt.Before(flt.started) {
			pst.unanswered(now)
		}
		c.membershipChanged(now)
	case Broken:
		c.suspect(now, pst)
	}
}

func (c *Core) countFailure(cause Cause) {
	switch cause {
	case Busy:
		c.stats.Busy++
	case TimedOut:
		c.stats.TimedOut++
	case Corrupt:
		c.stats.Corrupt++
	case Broken, Lacks, Dropped:
		c.stats.Broken++
	}
}

// endFlight forgets a request and returns it; nil where it was cancelled.
func (c *Core) endFlight(chunk int, source string) *flight {
	for i, flt := range c.flights {
		if flt.chunk != chunk || flt.sourceID() != source {
			continue
		}
		c.flights = slices.Delete(c.flights, i, i+1)
		c.inFlight[chunk]--
		if flt.source != nil {
			flt.source.inFlight--
		}
		return flt
	}
	return nil
}

func (f *flight) sourceID() string {
	if f.source == nil {
		return Origin
	}
	return f.source.peer.ID
}

// cancel gives a request up and notifies the program.
func (c *Core) cancel(flt *flight) {
	c.endFlight(flt.chunk, flt.sourceID())
	c.actions = append(c.actions, Action{Kind: Cancel, Chunk: flt.chunk, Source: flt.sourceID()})
}

// expire gives up the requests that took too long: a stalled link does not
// close, so nothing else would end them.
func (c *Core) expire(now time.Time) {
	for _, flt := range slices.Clone(c.flights) {
		if now.Before(flt.deadline) {
			continue
		}
		c.actions = append(c.actions, Action{Kind: Cancel, Chunk: flt.chunk, Source: flt.sourceID()})
		c.Failed(now, flt.chunk, flt.sourceID(), TimedOut, 0)
	}
}

func (c *Core) fetch(now time.Time, chunk int, source *peerState) {
	switch {
	case source != nil:
		c.stats.Pulls++
		if source.peer.Region != c.cfg.Self.Region {
			c.stats.FarPulls++
		}
	case c.drawn.Test(uint(chunk)):
		c.stats.Draws++
		c.stats.DrawsAgain++
	default:
		c.stats.Draws++
	}
	flt := &flight{chunk: chunk, source: source, started: now, deadline: now.Add(c.timeout(source))}
	c.flights = append(c.flights, flt)
	c.inFlight[chunk]++
	if source != nil {
		source.inFlight++
		source.sentNews, source.exchanged = c.news, now
	}
	c.actions = append(c.actions, Action{Kind: Fetch, Chunk: chunk, Source: flt.sourceID()})
}

// timeout is drawn from the measured time of a fetch.
func (c *Core) timeout(source *peerState) time.Duration {
	typical := c.fetchTime
	if source == nil && c.pace.gap() > 0 {
		typical = c.pace.gap() * maxDrawWindow
	}
	if typical == 0 {
		return timeoutFactor * firstFetchTime
	}
	return min(max(timeoutFactor*typical, minTimeout), maxTimeout)
}
