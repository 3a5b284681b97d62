package burst

import "time"

// Bounds of the uploads of one host. Few run at once, so that each ends soon
// and its receiver can pass it on; few wait, so that others go elsewhere.
const (
	UploadSlots = 2
	UploadQueue = 3
)

// Uploads admits requests for chunks. It is not safe for concurrent use.
type Uploads struct {
	active  int // at most UploadSlots
	waiting int // at most UploadQueue
	took    time.Duration
}

// Admit reports whether a request may run or wait; otherwise after how long it
// makes sense to ask again.
func (u *Uploads) Admit() (ok bool, retryAfter time.Duration) {
	if u.active+u.waiting >= UploadSlots+UploadQueue {
		return false, max(busyWait, u.took)
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
	u.took = average(u.took, took)
}

// Load returns the uploads in progress and waiting.
func (u *Uploads) Load() int { return u.active + u.waiting }

// HeldBy returns the chunks that a peer holds, as far as known. Of the requests
// that wait, the one whose receiver holds the fewest should go first.
func (c *Core) HeldBy(id string) int {
	pst := c.peers[id]
	if pst == nil {
		return 0
	}
	return pst.heldCount
}
