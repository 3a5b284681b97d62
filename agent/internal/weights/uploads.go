package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/burst"
)

// uploads lets requests of peers wait for a slot, in the order of burst's Turn.
type uploadQueue struct {
	mu        sync.Mutex
	admission burst.Uploads
	waiting   []queuedUpload // in the order of their arrival
}

// upload is a request that waits.
type queuedUpload struct {
	granted chan struct{} // closed when the request gets a slot
	rank    int           // the lowest goes first
}

func newUploadQueue() *uploadQueue { return &uploadQueue{} }

// acquire waits for a slot for a request that has its turn in the order of burst's
// Turn. While too many wait it returns at once with the time after which to ask again.
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

// abandon takes a request out that no longer wants its slot.
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

// startNext gives free slots to those that wait; u.mu is held.
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

// release frees a slot after the time that its upload took.
func (u *uploadQueue) release(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.admission.Done(took)
	u.startNext()
}

// load returns the uploads in progress and waiting.
func (u *uploadQueue) pending() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.admission.Load()
}
