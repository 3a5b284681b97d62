package burst

import "time"

// Bounds of the uploads of one host. Few run at once, so that each ends soon
// and its receiver can pass it on; few wait, so that others go elsewhere.
const (
	UploadSlots = 2
	UploadQueue = 3
	// importQueue is how many requests from other regions wait beside those.
	importQueueSlots = 4
)

// Uploads admits requests for chunks. It is not safe for concurrent use.
type Uploads struct {
	active       int // at most UploadSlots
	waiting      int // at most UploadQueue, and importQueue
	meanDuration time.Duration
}

// Admit reports whether a request that has the Turn given may run or wait; otherwise
// after how long it makes sense to ask again.
func (u *Uploads) Admit(turn int) (ok bool, retryAfter time.Duration) {
	maximum := UploadSlots + UploadQueue
	if turn == importPriority {
		maximum += importQueueSlots
	}
	if u.active+u.waiting >= maximum {
		return false, max(busyWait, u.meanDuration)
	}
	u.waiting++
	return true, 0
}

// Start moves a waiting request to a slot; false while none is free.
func (u *Uploads) Start() bool {
	if u.active >= UploadSlots {
		return false
	}
	u.waiting--
	u.active++
	return true
}

// Leave takes out a request that waited and gave up.
func (u *Uploads) Leave() { u.waiting-- }

// Done frees the slot of an upload that lasted the time given.
func (u *Uploads) Done(took time.Duration) {
	u.active--
	u.meanDuration = average(u.meanDuration, took)
}

// Load returns the uploads in progress and waiting.
func (u *Uploads) Load() int { return u.active + u.waiting }

// importTurns is the Turn of requests from other regions where bytes between them are dear.
const importPriority = -1

// Turn returns the place of a peer's request among those that wait: the lowest goes first.
// One from another region goes before all: who takes a chunk into a region is the only one
// there to do so, and all others there wait for it. It stood behind those of the own region
// that hold copies of one another otherwise, or was asked to come back. Then comes who holds
// the fewest chunks, for the slowest host decides when all are whole.
func (c *Core) Turn(id string) int {
	pst := c.peers[id]
	if pst == nil {
		return 0
	}
	if c.isCostly(pst) {
		return importPriority
	}
	return pst.heldCount
}
