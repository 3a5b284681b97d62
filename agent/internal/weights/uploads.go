package weights

import (
	"context"
	"sync"
	"time"

	"comfreyrelay.example/relay/burst"
)

// uploads lets requests of peers wait for a slot, first come first served.
type uploads struct {
	mu      sync.Mutex
	state   burst.Uploads
	waiting []chan struct{} // closed when its request gets a slot
}

func newUploads() *uploads { return &uploads{} }

// acquire waits for a slot. While too many wait it returns at once with the
// time after which to ask again.
func (u *uploads) acquire(ctx context.Context) (retryAfter time.Duration, err error) {
	turn := make(chan struct{})
	u.mu.Lock()
	ok, retryAfter := u.state.Admit()
	if !ok {
		u.mu.Unlock()
		return retryAfter, nil
	}
	u.waiting = append(u.waiting, turn)
	u.startNext()
	u.mu.Unlock()
	select {
	case <-turn:
		return 0, nil
	case <-ctx.Done():
		u.abandon(turn)
		return 0, ctx.Err()
	}
}

// abandon takes a request out that no longer wants its slot.
func (u *uploads) abandon(turn chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, other := range u.waiting {
		if other == turn {
			u.waiting = append(u.waiting[:i], u.waiting[i+1:]...)
			u.state.Leave()
			return
		}
	}
	u.state.Done(0)
	u.startNext()
}

// startNext gives free slots to those that wait; u.mu is held.
func (u *uploads) startNext() {
	for len(u.waiting) > 0 && u.state.Start() {
		close(u.waiting[0])
		u.waiting = u.waiting[1:]
	}
}

// release frees a slot after the time that its upload took.
func (u *uploads) release(took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.state.Done(took)
	u.startNext()
}

// load returns the uploads in progress and waiting.
func (u *uploads) load() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state.Load()
}
