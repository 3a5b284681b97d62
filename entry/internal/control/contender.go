package control

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/lease"
	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxContenders is how many entries compete for one lease. Each waiting entry
	// costs the service a watch, so a large deployment cannot let all of them
	// compete. With a single contender the lease would stay free until the other
	// entries notice that it is gone.
	maxContenders = 3
	// eligibilityInterval is how often an entry checks whether it should compete.
	eligibilityInterval = time.Second
	// withdrawAfter is how long an entry keeps competing after it stops being a
	// contender, so that a flapping view does not move the lease.
	withdrawAfter = 15 * time.Second
)

// Contender competes for a lease while this entry is one of the lease's contenders.
type Contender struct {
	name string
	self *wire.Node
	// scope reports whether an entry may hold this lease.
	scope func(*wire.Node) bool
	view  *view.Holder
	clock clockwork.Clock
	// claim competes for the lease in the background until ctx ends.
	claim func(ctx context.Context, name string) *lease.Holder

	mu           sync.Mutex
	holder       *lease.Holder // nil while not competing
	cancel       context.CancelFunc
	lastEligible time.Time // when this entry was last a contender
}

// NewContender returns a Contender for the named lease; scope reports whether an
// entry may hold it.
func NewContender(name string, deployment *Deployment, scope func(*wire.Node) bool,
	claim func(ctx context.Context, name string) *lease.Holder) *Contender {
	return &Contender{name: name, self: deployment.self, scope: scope, view: deployment.view, clock: deployment.clock, claim: claim}
}

// Run competes for the lease and withdraws as the view changes until ctx ends,
// then waits until the lease is released.
func (c *Contender) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.step(ctx)
		sleep(ctx, c.clock, eligibilityInterval)
	}
	c.mu.Lock()
	holder := c.holder
	c.mu.Unlock()
	if holder != nil {
		<-holder.Done()
	}
}

// step starts or stops competing according to the current view.
func (c *Contender) step(ctx context.Context) {
	eligible := c.eligible()
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if eligible {
		c.lastEligible = now
	}
	switch {
	case eligible && c.holder == nil:
		child, cancel := context.WithCancel(ctx)
		c.cancel = cancel
		c.holder = c.claim(child, c.name)
	case !eligible && c.holder != nil && now.Sub(c.lastEligible) > withdrawAfter:
		c.cancel()
		c.holder = nil
	}
}

// eligible reports whether this entry is a contender according to its own view.
// Entries whose views differ may for a moment yield more than maxContenders
// contenders or none; the service grants the lease to only one of them.
func (c *Contender) eligible() bool {
	snap, _ := c.view.Load()
	ids := []string{c.self.GetId()}
	for _, entry := range snap.Entries {
		node := entry.Report().GetNode()
		if node.GetId() != c.self.GetId() && c.scope(node) && !entry.Lost() && !entry.Leaving() {
			ids = append(ids, node.GetId())
		}
	}
	for _, id := range rendezvous.Top(c.name, ids, maxContenders) {
		if id == c.self.GetId() {
			return true
		}
	}
	return false
}

// Holding returns the fencing number while this entry holds the lease.
func (c *Contender) Holding() (fence uint64, ok bool) {
	c.mu.Lock()
	holder := c.holder
	c.mu.Unlock()
	if holder == nil {
		return 0, false
	}
	return holder.Holding()
}
