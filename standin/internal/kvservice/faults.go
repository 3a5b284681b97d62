package kvservice

import (
	"math/rand/v2"
	"sync"
)

// Faults are the fault settings of POST /faults.
type Faults struct {
	// Down answers every call with 503; leases still expire.
	Down bool `json:"down"`
	// DelayMillis delays every call before it takes effect.
	DelayMillis int `json:"delayMillis"`
	// LoseReplies is the fraction of writes that take effect and whose
	// connection is closed without a reply.
	LoseReplies float64 `json:"loseReplies"`
	// LoseRequests is the fraction of writes whose connection is closed
	// without a reply and without an effect.
	LoseRequests float64 `json:"loseRequests"`
	// WatchSilent makes watches hang without reporting changes.
	WatchSilent bool `json:"watchSilent"`
	// Compact discards the history once.
	Compact bool `json:"compact"`
	// DropWatch closes the connections of all waiting watches once.
	DropWatch bool `json:"dropWatch"`
}

// faultRandom decides at random which calls fail, with a fixed seed so that a run
// can be repeated.
type faultRandom struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newFaultRandom(seed uint64) *faultRandom {
	return &faultRandom{random: rand.New(rand.NewPCG(seed, seed))}
}

// occurs returns true for the given fraction of its calls.
func (d *faultRandom) occurs(fraction float64) bool {
	if fraction <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < fraction
}
