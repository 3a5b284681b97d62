package burst

import (
	"slices"
	"time"
)

// request is a fetch in progress.
type request struct {
	chunk    int
	source   *peerState // nil for the origin
	started  time.Time
	deadline time.Time
}

// Arrived records a chunk that was fetched, verified and stored.
func (c *Core) Arrived(now time.Time, chunk int, source string) {
	req := c.endRequest(chunk, source)
	if req == nil {
		c.Hold(chunk)
		return
	}
	took := now.Sub(req.started)
	if req.source == nil {
		c.originFailures = 0
		c.markOriginFetched(now, singleChunkWords(chunk))
		c.notifyNextOwner()
		defer c.notifyImporters(now, chunk)
	} else {
		req.source.fetchTime = average(req.source.fetchTime, took)
		req.source.timeouts, req.source.corruptChunks = 0, 0
		c.fetchTime = average(c.fetchTime, took)
	}
	delete(c.dueSince, chunk)
	c.Hold(chunk)
}

func singleChunkWords(chunk int) []uint64 {
	words := make([]uint64, chunk/bitsPerWord+1)
	words[chunk/bitsPerWord] = 1 << (chunk % bitsPerWord)
	return words
}

// average returns the exponentially weighted moving average after a new sample.
func average(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/8
}

// Failed records a fetch that ended without the chunk.
func (c *Core) Failed(now time.Time, chunk int, source string, cause Cause, retryAfter time.Duration) {
	req := c.endRequest(chunk, source)
	if req == nil {
		return
	}
	c.countFailure(cause)
	if req.source == nil {
		c.originFailed(now, cause, retryAfter)
		return
	}
	pst := req.source
	switch cause {
	case Busy:
		pst.busyUntil = now.Add(max(busyWait, retryAfter))
	case NotHeld:
		pst.busyUntil = now.Add(lacksWait)
		c.clearPeerChunk(pst, chunk)
	case Corrupt:
		pst.recordCorruptChunk(now)
		c.membershipChanged(now)
	case TimedOut:
		pst.recordTimeout(now)
		if pst.seenAt.Before(req.started) {
			pst.recordFailure(now)
		}
		c.membershipChanged(now)
	case Broken:
		c.markSuspect(now, pst)
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
	case Broken, NotHeld, StoreRejected:
		c.stats.Broken++
	}
}

// endRequest removes and returns a request; nil if it was cancelled before.
func (c *Core) endRequest(chunk int, source string) *request {
	for i, req := range c.requests {
		if req.chunk != chunk || req.sourceID() != source {
			continue
		}
		c.requests = slices.Delete(c.requests, i, i+1)
		c.inFlight[chunk]--
		if req.source != nil {
			req.source.inFlight--
		}
		return req
	}
	return nil
}

func (f *request) sourceID() string {
	if f.source == nil {
		return Origin
	}
	return f.source.peer.ID
}

// cancel removes a request and emits a Cancel action.
func (c *Core) cancel(req *request) {
	c.endRequest(req.chunk, req.sourceID())
	c.actions = append(c.actions, Action{Kind: Cancel, Chunk: req.chunk, Source: req.sourceID()})
}

// expireRequests cancels the requests whose deadline has passed: a stalled link does not close, so
// nothing else would end them.
func (c *Core) expireRequests(now time.Time) {
	for _, req := range slices.Clone(c.requests) {
		if now.Before(req.deadline) {
			continue
		}
		c.actions = append(c.actions, Action{Kind: Cancel, Chunk: req.chunk, Source: req.sourceID()})
		c.Failed(now, req.chunk, req.sourceID(), TimedOut, 0)
	}
}

func (c *Core) fetch(now time.Time, chunk int, source *peerState) {
	switch {
	case source != nil:
		c.stats.Pulls++
		if source.peer.Region != c.cfg.Self.Region {
			c.stats.CrossRegionPulls++
		}
	case c.originFetched.Test(uint(chunk)):
		c.stats.OriginFetches++
		c.stats.OriginRefetches++
	default:
		c.stats.OriginFetches++
	}
	req := &request{chunk: chunk, source: source, started: now, deadline: now.Add(c.timeout(source))}
	c.requests = append(c.requests, req)
	c.inFlight[chunk]++
	if source != nil {
		source.inFlight++
		source.sentRevision, source.lastExchange = c.revision, now
	}
	c.actions = append(c.actions, Action{Kind: Fetch, Chunk: chunk, Source: req.sourceID()})
}

// timeout derives the timeout of a request from the measured duration of fetches.
func (c *Core) timeout(source *peerState) time.Duration {
	typical := c.fetchTime
	if source == nil && c.originRate.meanGap() > 0 {
		typical = c.originRate.meanGap() * maxOriginWindow
	}
	if typical == 0 {
		return timeoutFactor * firstFetchTime
	}
	return min(max(timeoutFactor*typical, minTimeout), maxTimeout)
}
