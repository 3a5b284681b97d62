// Package control keeps an entry's knowledge of the deployment: which document,
// plan and drain marks are in force, which hosts and entries there are, and
// how it passes between the key-value service, the entries and the agents.
package control

import (
	"context"
	"encoding/hex"
	"expvar"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/entry/internal/store"
	"comfreyrelay.example/relay/document"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/revision"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// counters count what this process did and which invariants broke.
var counters = expvar.NewMap("control")

// onBroken is called where an invariant broke; tests let it panic.
var onInvariantViolation = func(string) {}

// assembleWait is how long one offer of a root waits for another that is being
// assembled, so that several peers' offers do not fetch the same parts.
const assembleWait = 300 * time.Millisecond

// recentRoots is how many revisions behind a process may be and still get the
// difference in place of the whole root.
const maxRecentRoots = 32

// Fetch gets parts by hash, in order; nil for those it lacks.
type Fetch func(ctx context.Context, hashes []string) ([][]byte, error)

// Deployment is what one entry knows. Its methods are safe for concurrent use.
type Deployment struct {
	self    *wire.Node
	clock   clockwork.Clock
	log     *slog.Logger
	parts   *store.Parts
	view    *view.Holder
	members *Members

	assemblyToken chan struct{} // one token: who holds it assembles a root
	dirty         chan struct{} // at most one signal: the view should be built anew
	urgentPending atomic.Bool   // the next view shows a node that leaves

	mu      sync.Mutex
	state   revision.State
	doc     *wire.Document        // of the root in force; nil for revision 0
	recent  map[uint32]*wire.Root // at most recentRoots, to send differences from
	changed chan struct{}         // closed and replaced when a revision moved
	urgent  chan struct{}         // closed and replaced when a node leaves
}

// NewDeployment returns a Deployment that knows nothing yet.
func NewDeployment(self *wire.Node, parts *store.Parts, holder *view.Holder, clock clockwork.Clock, log *slog.Logger) *Deployment {
	return &Deployment{
		self:          self,
		clock:         clock,
		log:           log,
		parts:         parts,
		view:          holder,
		members:       NewMembers(self.GetId()),
		assemblyToken: make(chan struct{}, 1),
		dirty:         make(chan struct{}, 1),
		recent:        map[uint32]*wire.Root{},
		changed:       make(chan struct{}),
		urgent:        make(chan struct{}),
	}
}

// ID returns this entry's id.
func (d *Deployment) ID() string { return d.self.GetId() }

// Members returns the hosts and entries known.
func (d *Deployment) Members() *Members { return d.members }

// Known returns what messages to other processes bear.
func (d *Deployment) Known() *wire.Known {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Known(d.clock.Now())
}

// Root returns the root in force, or nil.
func (d *Deployment) Root() *wire.Root {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Root()
}

// InForce returns the document in force and its revision; nil and 0 where there
// is none. It is ahead of the view by up to one build.
func (d *Deployment) InForce() (uint32, *wire.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Root().GetRevision(), d.doc
}

// Age returns how old the knowledge is; known is false where nobody ever
// confirmed it.
func (d *Deployment) Age() (age time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Age(d.clock.Now())
}

// HomeRevision returns the lowest revision in force on the live hosts that
// report to this entry; 0 where there are none.
func (d *Deployment) HomeRevision() uint32 {
	snap, _ := d.view.Load()
	lowest, hasHost := uint32(0), false
	for _, host := range snap.Hosts {
		report := host.Report()
		if report.GetHome() != d.self.GetId() || host.Lost() {
			continue
		}
		if !hasHost || report.GetRevision() < lowest {
			lowest, hasHost = report.GetRevision(), true
		}
	}
	return lowest
}

// touch marks the view as outdated.
func (d *Deployment) markDirty() {
	select {
	case d.dirty <- struct{}{}:
	default:
	}
}

// wakeLocked ends all calls that are held until a revision moves.
func (d *Deployment) notifyChangeLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Hurry ends the calls that entries hold, so that they learn at once of a node
// that leaves. Agents' calls stay: with many agents that would be a storm.
func (d *Deployment) Hurry() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.urgent)
	d.urgent = make(chan struct{})
}

// news returns the channels that close at the next change and the next hurry.
func (d *Deployment) notifications() (changed, urgent <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed, d.urgent
}

// ObserveKnown takes over the confirmation that a message bears and reports
// whether its sender knows something newer.
func (d *Deployment) ObserveKnown(known *wire.Known) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.ObserveKnown(known, d.clock.Now())
	return d.state.Offers(known)
}

// Confirm notes that the service confirmed the revision at the moment.
func (d *Deployment) Confirm(rev uint32, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Confirm(rev, at)
}

// OfferRoot takes a root from anyone: where it is newer, it fetches the parts
// that lack, assembles the document and brings it into force.
func (d *Deployment) OfferRoot(ctx context.Context, root *wire.Root, source string, fetch Fetch) error {
	root = revision.Expand(d.Root(), root)
	if root == nil || !d.isNewerRoot(root, source) {
		return nil
	}
	root = revision.Slim(root)
	release := d.acquireAssembly(ctx)
	defer release()
	if !d.isNewerRoot(root, source) {
		return nil
	}
	doc, err := d.assemble(ctx, root, fetch)
	if err != nil {
		counters.Add("assembleFailed", 1)
		return err
	}
	d.adoptRoot(root, doc, source)
	return nil
}

// wants judges a root before any part is fetched.
func (d *Deployment) isNewerRoot(root *wire.Root, source string) bool {
	d.mu.Lock()
	verdict := d.state.JudgeRoot(root)
	d.mu.Unlock()
	if verdict == revision.Contradiction {
		d.reportViolation("oneContentPerRevision", "revision", root.GetRevision(), "source", source)
	}
	return verdict == revision.Newer
}

// broken counts and logs a broken invariant.
func (d *Deployment) reportViolation(rule string, args ...any) {
	counters.Add("broken."+rule, 1)
	d.log.Error("invariant broke", append([]any{"rule", rule}, args...)...)
	onInvariantViolation(rule)
}

// turn waits until no other root is being assembled, but not for long: the
// other's source may hang.
func (d *Deployment) acquireAssembly(ctx context.Context) (release func()) {
	select {
	case d.assemblyToken <- struct{}{}:
		return func() { <-d.assemblyToken }
	case <-d.clock.After(assembleWait):
	case <-ctx.Done():
	}
	return func() {}
}

func (d *Deployment) assemble(ctx context.Context, root *wire.Root, fetch Fetch) (*wire.Document, error) {
	if len(root.GetParts()) == 0 || document.ContentHash(root.GetParts()) != root.GetAudit().GetContentHash() {
		return nil, failure.New(failure.Corrupt, "a root does not match its content hash", "fetch it from another process")
	}
	missing := document.Missing(root, d.parts.Has)
	contents := map[string][]byte{}
	if len(missing) > 0 {
		fetched, err := fetch(ctx, missing)
		if err != nil {
			return nil, err
		}
		for i, content := range fetched {
			if i < len(missing) && d.parts.Add(missing[i], content) {
				contents[missing[i]] = content
			}
		}
	}
	return document.Join(root, func(hash string) []byte {
		if content := contents[hash]; content != nil {
			return content
		}
		return d.parts.Get(hash)
	})
}

func (d *Deployment) adoptRoot(root *wire.Root, doc *wire.Document, source string) {
	d.mu.Lock()
	adopted := d.state.AdoptRoot(root) == revision.Newer
	if adopted {
		d.doc = doc
		d.rememberRoot(root)
		d.notifyChangeLocked()
	}
	d.mu.Unlock()
	if !adopted {
		return
	}
	counters.Add("rootsAdopted", 1)
	d.log.Info("document in force", "revision", root.GetRevision(), "source", source)
	d.markDirty()
}

// remember keeps the root to send differences from; the caller holds the lock.
func (d *Deployment) rememberRoot(root *wire.Root) {
	d.recent[root.GetRevision()] = root
	for old := range d.recent {
		if old+maxRecentRoots <= root.GetRevision() {
			delete(d.recent, old)
		}
	}
}

// OfferPlan takes a plan from anyone.
func (d *Deployment) OfferPlan(plan *wire.Plan, source string) {
	if plan == nil {
		return
	}
	d.mu.Lock()
	verdict := d.state.AdoptPlan(plan)
	if verdict == revision.Newer {
		d.notifyChangeLocked()
	}
	d.mu.Unlock()
	switch verdict {
	case revision.Newer:
		d.log.Info("plan in force", "planRevision", plan.GetPlanRevision(), "revision", plan.GetRevision(), "source", source)
		d.markDirty()
	case revision.Contradiction:
		d.reportViolation("onePlanPerRevision", "planRevision", plan.GetPlanRevision(), "source", source)
	case revision.Older, revision.Same:
	}
}

// OfferDrains takes the operators' marks from anyone.
func (d *Deployment) OfferDrains(marks *wire.DrainMarks, source string) {
	if marks == nil {
		return
	}
	d.mu.Lock()
	adopted := d.state.AdoptDrains(marks) == revision.Newer
	if adopted {
		d.notifyChangeLocked()
	}
	d.mu.Unlock()
	if adopted {
		d.log.Info("drain marks in force", "hosts", len(marks.GetHosts()), "source", source)
		d.markDirty()
	}
}

// lacking returns what a message's sender lacks, nil where it has it; the root
// as a difference where the sender takes that.
func (d *Deployment) updatesFor(known *wire.Known, deltas bool) (root *wire.Root, plan *wire.Plan, drains *wire.DrainMarks) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lacksRoot, lacksPlan, lacksDrains := d.state.Lacks(known)
	if lacksRoot {
		root = d.state.Root()
		if base := d.recent[known.GetRevision()]; deltas && base != nil {
			root = revision.Delta(base, root)
		}
	}
	if lacksPlan {
		plan = d.state.Plan()
	}
	if lacksDrains {
		drains = d.state.Drains()
	}
	return root, plan, drains
}

// lacks reports whether a message's sender lacks anything.
func (d *Deployment) hasUpdatesFor(known *wire.Known) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	root, plan, drains := d.state.Lacks(known)
	return root || plan || drains
}

// countMessage adds a control message's bytes to the counter of its direction,
// and to that of its direction and the kind of the other side.
func countMessage(direction, kind string, msg proto.Message) {
	size := int64(proto.Size(msg))
	counters.Add(direction, size)
	counters.Add(direction+"."+kind, size)
}

// rootID names a root by its content, to compare offers of several agents.
func rootID(root *wire.Root) string {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(root)
	if err != nil {
		return ""
	}
	sum := blake3.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}
