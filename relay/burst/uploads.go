package burst

import "time"

// Bounds of the uploads of one host. Few run at once, so that each ends soon and its receiver can
// pass the chunk on; few wait, so that other requests go to other hosts.
const (
	UploadSlots = 2
	UploadQueue = 3
	// importQueueSlots is the number of additional waiting requests from other regions.
	importQueueSlots = 4
)

// Uploads admits chunk requests. It is not safe for concurrent use.
type Uploads struct {
	active       int // at most UploadSlots
	waiting      int // at most UploadQueue, plus importQueueSlots for imports
	meanDuration time.Duration
}

// Admit reports whether a request with the given UploadPriority may run or wait. If not, it
// returns a delay after which to retry.
func (u *Uploads) Admit(priority int) (ok bool, retryAfter time.Duration) {
	maximum := UploadSlots + UploadQueue
	if priority == importPriority {
		maximum += importQueueSlots
	}
	if u.active+u.waiting >= maximum {
		return false, max(busyWait, u.meanDuration)
	}
	u.waiting++
	return true, 0
}

// Start moves a waiting request to an upload slot, or returns false if none is free.
func (u *Uploads) Start() bool {
	if u.active >= UploadSlots {
		return false
	}
	u.waiting--
	u.active++
	return true
}

// Leave removes a request that gave up waiting.
func (u *Uploads) Leave() { u.waiting-- }

// Done frees the slot of an upload that took the given time.
func (u *Uploads) Done(took time.Duration) {
	u.active--
	u.meanDuration = average(u.meanDuration, took)
}

// Load returns the number of uploads in progress or waiting.
func (u *Uploads) Load() int { return u.active + u.waiting }

// importPriority is the UploadPriority of requests from other regions under
// LimitCrossRegionTraffic.
const importPriority = -1

// UploadPriority returns the priority of a peer's waiting request; the lowest value is served first.
// Requests from other regions come first under LimitCrossRegionTraffic: all hosts of that region
// wait for the one that imports the chunk. Before this rule it was queued behind hosts of this
// region, which can also supply each other, or was asked to retry later. Next come the peers that
// hold the fewest chunks, because the slowest host determines when the whole fleet is complete.
func (c *Core) UploadPriority(id string) int {
	pst := c.peers[id]
	if pst == nil {
		return 0
	}
	if c.isCostly(pst) {
		return importPriority
	}
	return pst.heldCount
}
