// Package control keeps the agent in touch with the entries: it reports the
// host to its home entry, takes the document and plan in force from it, and
// learns of other agents. It needs neither the key-value service nor the
// platform's list once it knows an entry that answers.
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
	// syncMargin is how long after the held time a call counts as silent.
	syncMargin = 2 * time.Second
	// minRetryWait and maxRetryWait bound the wait after every entry failed.
	minRetryWait = 100 * time.Millisecond
	maxRetryWait = 5 * time.Second
	// initialReplies is how many entries are asked at the start, so that the agent
	// obeys the highest plan that they know rather than the first it meets.
	initialReplies = 3
	// publishInterval refreshes what only time changes: who is lost.
	publishInterval = time.Second
	// initialListInterval and listInterval are the intervals of reading the list before and
	// after the first entry answered.
	initialListInterval = time.Second
	listInterval        = 10 * time.Second
	// pauseBetweenSyncs keeps a fast sequence of changes from becoming as many calls.
	pauseBetweenSyncs = 200 * time.Millisecond
)

// Config holds what a Client needs from its process.
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
	// Report returns the newest report of this host.
	Report func() *wire.HostReport
	// SetLeaving is called with whether the list or an operator takes the host out.
	SetLeaving func(leaving bool)
	// Broken records that an invariant does not hold.
	Broken   func(rule string, attrs ...any)
	Counters *expvar.Map
}

// Client is safe for concurrent use.
type Client struct {
	cfg       Config
	knowledge *knowledge
	synced    atomic.Bool
	// acked is the highest sequence of a report that some entry took.
	acked atomic.Uint64

	mu        sync.Mutex
	penalties *penalties
	known     map[string]*wire.Known // by entry: what it knew in its last reply
	interrupt context.CancelFunc     // ends the wait for the held call; nil: none
	nudged    bool                   // a nudge came while no call was held
	hint      *wire.Node             // an entry that knows something newer
	home      string                 // id of the entry that answered last
	baseline  spread.Baseline        // what the entry took of this host's reports
	baseOf    string                 // id of the entry that the baseline is of
	wanted    []string               // hosts to ask that entry the whole report of
}

// New returns a Client; Run makes it work.
func New(cfg Config) *Client {
	return &Client{
		cfg:       cfg,
		knowledge: newKnowledge(cfg.Clock.Now()),
		penalties: newPenalties(),
		known:     map[string]*wire.Known{},
	}
}

// Synced reports whether the entries answered since the start.
func (c *Client) Synced() bool { return c.synced.Load() }

// Acked returns the highest sequence number of a report that an entry took.
func (c *Client) Acked() uint64 { return c.acked.Load() }

// Known returns what messages of this process bear.
func (c *Client) Known() *wire.Known { return c.knowledge.known(c.cfg.Clock.Now()) }

// Age returns how old the knowledge of the document is; false while nobody
// confirmed it.
func (c *Client) Age() (time.Duration, bool) { return c.knowledge.age(c.cfg.Clock.Now()) }

// Agents returns the other agents known, without lost ones.
func (c *Client) Agents() []*wire.Node {
	return c.knowledge.agents(c.cfg.Self.GetId(), c.cfg.Clock.Now())
}

// Home returns the id of the entry that answered last.
func (c *Client) Home() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.home
}

// Nudge sends a report at once instead of after the held call.
func (c *Client) Nudge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nudged = true
	if c.interrupt != nil {
		c.interrupt()
	}
}

// Observe takes the revisions that a caller knows. Where the caller knows more,
// the home entry is behind too, and the caller is asked itself.
func (c *Client) Observe(from *wire.Node, known *wire.Known) {
	if known == nil || from.GetControlAddress() == "" || !c.knowledge.isBehind(known) {
		return
	}
	c.mu.Lock()
	c.hint = from
	c.mu.Unlock()
	c.Nudge()
}

// Run syncs with the entries and reads the list until ctx ends.
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

// jitter spreads the moments at which many agents try again.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + rand.N(wait/2+1)
}

func (c *Client) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-c.cfg.Clock.After(wait):
	}
}

// syncInitial asks several entries, so that an entry that was started in an outage
// and knows nothing is not the only one that answered.
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

// syncBest syncs with the best entry that answers.
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

// publish hands the present knowledge to the rest of the process.
func (c *Client) publish() {
	c.storeSnapshot()
	c.cfg.SetLeaving(c.knowledge.leaving(c.cfg.Self.GetId()))
}

// storeSnapshot keeps two goroutines from publishing their snapshots in the wrong
// order.
func (c *Client) storeSnapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	snap := c.knowledge.snapshot(c.cfg.Clock.Now())
	before, _ := c.cfg.View.Load()
	c.cfg.View.Store(snap)
	if snap.Revision != before.Revision || snap.PlanRevision != before.PlanRevision {
		c.cfg.Log.Info("in force", "revision", snap.Revision, "plan", snap.PlanRevision)
	}
}
