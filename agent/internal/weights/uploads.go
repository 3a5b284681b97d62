package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/burst"
)

// uploadQueue makes peers' requests for chunks wait for an upload slot, in the order
// of burst.Core's UploadPriority.
type uploadQueue struct {
	mu        sync.Mutex
	admission burst.Uploads
	waiting   []queuedUpload // in order of arrival
}

// queuedUpload is a request that waits for a slot.
type queuedUpload struct {
	granted chan struct{} // closed when the request gets a slot
	rank    int           // the lowest is served first
}

func newUploadQueue() *uploadQueue { return &uploadQueue{} }

// acquire waits for a slot; rank comes from burst.Core's UploadPriority. If too
// many requests wait already, it returns at once with the time after which the peer
// should retry.
func (u *uploadQueue) acquire(ctx context.Context, rank int) (retryAfter time.Duration, err error) {
	granted := make(chan struct{})
	u.mu.Lock()
	ok, retryAfter := u.admission.Admit(rank)
	if !ok {
		u.mu.Unlock()
		return retryAfter, nil
	}
	u.waiting = append(u.waiting, queuedUpload{granted: granted, rank: rank})
	u.startNext()
	u.mu.Unlock()
	select {
	case <-granted:
		return 0, nil
	case <-ctx.Done():
		u.cancel(granted)
		return 0, ctx.Err()
	}
}

// cancel removes a request whose caller has gone, or frees its slot if it was just
// granted.
func (u *uploadQueue) cancel(granted chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, queued := range u.waiting {
		if queued.granted == granted {
			u.waiting = slices.Delete(u.waiting, i, i+1)
			u.admission.Leave()
			return
		}
	}
	u.admission.Done(0)
	u.startNext()
}

// startNext grants free slots to waiting requests. u.mu must be held.
func (u *uploadQueue) startNext() {
	for len(u.waiting) > 0 && u.admission.Start() {
		next := 0
		for i, queued := range u.waiting {
			if queued.rank < u.waiting[next].rank {
				next = i
			}
		}
		close(u.waiting[next].granted)
		u.waiting = slices.Delete(u.waiting, next, next+1)
	}
}

// release frees the slot of an upload that took the given time.
func (u *uploadQueue) release(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.admission.Done(took)
	u.startNext()
}

// pending returns the number of uploads in progress and waiting.
func (u *uploadQueue) pending() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.admission.Load()
}
