// Package control synchronizes the agent with the entries. It sends the host's
// reports to its home entry, receives the current document and plan from it,
// and discovers other agents. Once it knows a reachable entry, it depends on
// neither the key-value service nor the platform's host list.
package control

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"

	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// syncMargin is added to the time for which an entry may hold a Sync call to
	// get the call's timeout.
	syncMargin = 2 * time.Second
	// minRetryWait and maxRetryWait bound the exponential backoff after all
	// entries failed.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 5 * time.Second
	// initialReplies is how many entries must reply at startup, so that the agent
	// follows the highest plan revision among them rather than the first one
	// received.
	initialReplies = 3
	// publishInterval is how often the snapshot is rebuilt to update what depends
	// on time alone: which hosts are lost.
	publishInterval = time.Second
	// initialListInterval and listInterval are how often the host list is read
	// before and after the first entry replied.
	initialListInterval = time.Second
	listInterval        = 10 * time.Second
	// pauseBetweenSyncs limits the call rate when changes come in quick succession.
	pauseBetweenSyncs = 200 * time.Millisecond
)

// Config holds the settings and dependencies of a Client.
type Config struct {
	Self  *wire.Node
	Clock clockwork.Clock
	Log   *slog.Logger
	View  *view.Holder
	// Dial returns a connection to a control address.
	Dial     func(ctx context.Context, address string) drpc.Conn
	HostsURL string
	HTTP     *http.Client
	// Wait is how long an entry may hold a Sync call.
	Wait time.Duration
	// Report returns the latest report of this host.
	Report func() *wire.HostReport
	// SetLeaving is called with whether the host list or an operator marks this
	// host as leaving.
	SetLeaving func(leaving bool)
	// Broken records an invariant violation.
	Broken   func(rule string, attrs ...any)
	Counters *expvar.Map
}

// Client exchanges state with the entries. It is safe for concurrent use.
type Client struct {
	cfg       Config
	knowledge *knowledge
	synced    atomic.Bool
	// acked is the highest sequence number of a report that an entry accepted.
	acked atomic.Uint64

	mu        sync.Mutex
	penalties *penalties
	known     map[string]*wire.Known // revisions in each entry's last reply, by entry id
	interrupt context.CancelFunc     // cancels the held call; nil if there is none
	nudged    bool                   // Nudge was called; the next call isn't held
	hint      *wire.Node             // a caller with newer revisions, to be asked next
	home      string                 // id of the entry that replied last
	baseline  spread.Baseline        // which of this host's reports the entry accepted
	baseOf    string                 // id of the entry that baseline and wanted refer to
	wanted    []string               // ids whose full reports to request from that entry
}

// New returns a Client. Call Run to start it.
func New(cfg Config) *Client {
	return &Client{
		cfg:       cfg,
		knowledge: newKnowledge(cfg.Clock.Now()),
		penalties: newPenalties(),
		known:     map[string]*wire.Known{},
	}
}

// Synced reports whether any entry has replied since startup.
func (c *Client) Synced() bool { return c.synced.Load() }

// Acked returns the highest sequence number of a report that an entry accepted.
func (c *Client) Acked() uint64 { return c.acked.Load() }

// Known returns the revisions known to this process, as sent in its messages.
func (c *Client) Known() *wire.Known { return c.knowledge.known(c.cfg.Clock.Now()) }

// Age returns the time since the document was last confirmed, or false if it
// never was.
func (c *Client) Age() (time.Duration, bool) { return c.knowledge.age(c.cfg.Clock.Now()) }

// Agents returns the other known agents, except lost ones.
func (c *Client) Agents() []*wire.Node {
	return c.knowledge.agents(c.cfg.Self.GetId(), c.cfg.Clock.Now())
}

// Home returns the id of the entry that replied last.
func (c *Client) Home() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home
}

// Nudge interrupts the held call, if any, so that a report is sent immediately.
func (c *Client) Nudge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nudged = true
	if c.interrupt != nil {
		c.interrupt()
	}
}

// Observe compares the revisions that a caller knows with the local ones. If the
// caller's are newer, the home entry is behind too, so the next sync goes to the
// caller itself.
func (c *Client) Observe(from *wire.Node, known *wire.Known) {
	if known == nil || from.GetControlAddress() == "" || !c.knowledge.isBehind(known) {
		return
	}
	c.mu.Lock()
	c.hint = from
	c.mu.Unlock()
	c.Nudge()
}

// Run syncs with the entries and reads the host list until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { c.readList(ctx) })
	group.Go(func() { c.refresh(ctx) })
	c.syncInitial(ctx)
	retries := 0
	for ctx.Err() == nil {
		if c.syncBest(ctx) {
			retries = 0
			c.sleep(ctx, pauseBetweenSyncs)
			continue
		}
		wait := min(minRetryWait<<min(retries, 8), maxRetryWait)
		retries++
		c.sleep(ctx, jitter(wait))
	}
	return nil
}

// jitter returns a random duration between half of wait and wait, so that many
// agents don't retry at the same moment.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait/2+1)
}

func (c *Client) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.cfg.Clock.After(wait):
	}
}

// syncInitial syncs with several entries, so that the agent doesn't rely only on
// an entry that was started during an outage and has no state.
func (c *Client) syncInitial(ctx context.Context) {
	replied := 0
	for retries := 0; ctx.Err() == nil && replied == 0; retries++ {
		for _, entry := range c.candidates() {
			if c.sync(ctx, entry, 0) == nil {
				replied++
			}
			if replied >= initialReplies || ctx.Err() != nil {
				break
			}
		}
		if replied == 0 {
			c.sleep(ctx, jitter(min(minRetryWait<<min(retries, 8), initialListInterval)))
		}
	}
	if replied > 0 {
		c.synced.Store(true)
		c.publish()
		c.cfg.Log.Info("synced", "entries", replied, "revision", c.Known().GetRevision(), "plan", c.Known().GetPlanRevision())
	}
}

// syncBest syncs with the best-ranked entry that replies.
func (c *Client) syncBest(ctx context.Context) bool {
	if hint := c.takeHint(); hint != nil {
		_ = c.sync(ctx, hint, 0)
	}
	for _, entry := range c.candidates() {
		err := c.sync(ctx, entry, c.cfg.Wait)
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		c.sleep(ctx, jitter(minRetryWait))
	}
	return false
}

func (c *Client) takeHint() *wire.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	hint := c.hint
	c.hint = nil
	return hint
}

func (c *Client) candidates() []*wire.Node {
	now := c.cfg.Clock.Now()
	entries, leaving := c.knowledge.entries(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	return candidates(c.cfg.Self, entries, func(id string) bool {
		return leaving[id] || c.penalties.active(id, now)
	})
}

// publish makes the current state visible to the rest of the process.
func (c *Client) publish() {
	c.storeSnapshot()
	c.cfg.SetLeaving(c.knowledge.leaving(c.cfg.Self.GetId()))
}

// storeSnapshot builds and stores a snapshot under the lock, so that two
// goroutines can't store theirs in the wrong order.
func (c *Client) storeSnapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	snap := c.knowledge.snapshot(c.cfg.Clock.Now())
	before, _ := c.cfg.View.Load()
	c.cfg.View.Store(snap)
	if snap.Revision != before.Revision || snap.PlanRevision != before.PlanRevision {
		c.cfg.Log.Info("document or plan changed", "revision", snap.Revision, "plan", snap.PlanRevision)
	}
}
