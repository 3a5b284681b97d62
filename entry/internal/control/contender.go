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
	// contenders is how many entries claim one lease. Each waiting one costs the
	// service a watch, so that all of a large deployment may not; one alone would
	// leave the lease free until the others notice that it is gone.
	maxContenders = 3
	// contendInterval is how often an entry looks whether it should claim.
	eligibilityInterval = time.Second
	// withdrawAfter is how long an entry keeps its claim after it is no longer
	// among the contenders, so that a flapping view does not move the lease.
	withdrawAfter = 15 * time.Second
)

// Contender claims a lease while this entry is among its contenders.
type Contender struct {
	name string
	self *wire.Node
	// scope leaves out entries that never claim this lease.
	scope func(*wire.Node) bool
	view  *view.Holder
	clock clockwork.Clock
	// claim starts claiming the lease until ctx ends.
	claim func(ctx context.Context, name string) *lease.Holder

	mu           sync.Mutex
	holder       *lease.Holder // nil: not claiming
	cancel       context.CancelFunc
	lastEligible time.Time // when this entry was last among the contenders
}

// NewContender returns a Contender for the lease with the name; scope says
// which entries may hold it.
func NewContender(name string, deployment *Deployment, scope func(*wire.Node) bool,
	claim func(ctx context.Context, name string) *lease.Holder) *Contender {
	return &Contender{name: name, self: deployment.self, scope: scope, view: deployment.view, clock: deployment.clock, claim: claim}
}

// Run claims and withdraws until ctx ends, then waits until the lease is given
// back.
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

// eligible reports whether this entry is among the contenders, as far as it
// knows. Entries that know different things may be more than a few or, for a
// moment, none; the service decides among them.
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
