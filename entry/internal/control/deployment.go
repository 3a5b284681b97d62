// Package control maintains an entry's state of the deployment: the document,
// plan and drain marks in force and the known hosts and entries. It synchronizes
// that state between the key-value service, the entries and the agents.
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

// counters holds the metrics of this package, violated invariants included.
var counters = expvar.NewMap("control")

// onInvariantViolation is called when an invariant is violated; tests make it panic.
var onInvariantViolation = func(string) {}

// assembleWait is how long an offered root waits for another root's assembly to
// finish, so that offers from several peers do not fetch the same parts.
const assembleWait = 300 * time.Millisecond

// maxRecentRoots is how many revisions a process may lag behind and still be sent
// a delta instead of the whole root.
const maxRecentRoots = 32

// Fetch returns the parts with the hashes, in the same order; nil for each missing part.
type Fetch func(ctx context.Context, hashes []string) ([][]byte, error)

// Deployment is one entry's state of the deployment. Its methods are safe for
// concurrent use.
type Deployment struct {
	self    *wire.Node
	clock   clockwork.Clock
	log     *slog.Logger
	parts   *store.PartCache
	view    *view.Holder
	members *Members

	assemblyToken chan struct{} // semaphore of one: held while a root is assembled
	dirty         chan struct{} // buffers one signal to rebuild the view
	urgentPending atomic.Bool   // the next view shows a node as leaving

	mu      sync.Mutex
	state   revision.State
	doc     *wire.Document        // document of the root in force; nil at revision 0
	recent  map[uint32]*wire.Root // base roots for deltas, at most maxRecentRoots
	changed chan struct{}         // closed and replaced when a revision changes
	urgent  chan struct{}         // closed and replaced when a node is leaving
}

// NewDeployment returns an empty Deployment.
func NewDeployment(self *wire.Node, parts *store.PartCache, holder *view.Holder, clock clockwork.Clock, log *slog.Logger) *Deployment {
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

// Members returns the known hosts and entries.
func (d *Deployment) Members() *Members { return d.members }

// Known returns the revisions in force and their age, as sent in every message.
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

// InForce returns the revision and the document in force, or 0 and nil if there
// is none. It may be newer than the view until the next view is built.
func (d *Deployment) InForce() (uint32, *wire.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Root().GetRevision(), d.doc
}

// Age returns the time since the state was last confirmed; known is false if it
// never was.
func (d *Deployment) Age() (age time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Age(d.clock.Now())
}

// HomeRevision returns the lowest revision in force on the live hosts that
// report to this entry, or 0 if there are none.
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

// markDirty requests a rebuild of the view.
func (d *Deployment) markDirty() {
	select {
	case d.dirty <- struct{}{}:
	default:
	}
}

// notifyChangeLocked wakes all calls that wait for a revision change. The caller
// holds mu.
func (d *Deployment) notifyChangeLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// NotifyUrgent ends the waiting calls of other entries, so that they learn at once that
// a node is leaving. Calls of agents keep waiting: ending them all would cause a
// burst of calls when there are many agents.
func (d *Deployment) NotifyUrgent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.urgent)
	d.urgent = make(chan struct{})
}

// notifications returns the channels that close at the next revision change and
// the next call of NotifyUrgent.
func (d *Deployment) notifications() (changed, urgent <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed, d.urgent
}

// ObserveKnown applies the confirmation carried by a message and reports whether
// the sender has something newer.
func (d *Deployment) ObserveKnown(known *wire.Known) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.ObserveKnown(known, d.clock.Now())
	return d.state.Offers(known)
}

// Confirm records that the service confirmed the revision at the given time.
func (d *Deployment) Confirm(rev uint32, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Confirm(rev, at)
}

// OfferRoot accepts a root from any source. If the root is newer, OfferRoot fetches
// the missing parts, assembles the document and puts it in force.
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

// isNewerRoot reports whether the root is newer than the one in force, before any
// part is fetched. Two different roots of one revision violate an invariant.
func (d *Deployment) isNewerRoot(root *wire.Root, source string) bool {
	d.mu.Lock()
	verdict := d.state.CompareRoot(root)
	d.mu.Unlock()
	if verdict == revision.Contradiction {
		d.reportViolation("oneContentPerRevision", "revision", root.GetRevision(), "source", source)
	}
	return verdict == revision.Newer
}

// reportViolation counts and logs a violated invariant.
func (d *Deployment) reportViolation(rule string, args ...any) {
	counters.Add("broken."+rule, 1)
	d.log.Error("invariant broke", append([]any{"rule", rule}, args...)...)
	onInvariantViolation(rule)
}

// acquireAssembly waits until no other root is being assembled. The wait is
// limited to assembleWait because the source of the other root may hang.
func (d *Deployment) acquireAssembly(ctx context.Context) (release func()) {
	select {
	case d.assemblyToken <- struct{}{}:
		return func() { <-d.assemblyToken }
	case <-d.clock.After(assembleWait):
	case <-ctx.Done():
	}
	return func() {}
}

// assemble fetches the parts of the root that are not cached, stores them and joins
// the document.
func (d *Deployment) assemble(ctx context.Context, root *wire.Root, fetch Fetch) (*wire.Document, error) {
	if len(root.GetParts()) == 0 || document.ContentHash(root.GetParts()) != root.GetAudit().GetContentHash() {
		return nil, failure.New(failure.Corrupt, "a root does not match its content hash", "fetch it from another process")
	}
	missing := document.MissingHashes(root, d.parts.Has)
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

// adoptRoot puts the root and its document in force if the root is still newer.
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

// rememberRoot keeps the root as a base for deltas and drops those too old. The
// caller holds mu.
func (d *Deployment) rememberRoot(root *wire.Root) {
	d.recent[root.GetRevision()] = root
	for old := range d.recent {
		if old+maxRecentRoots <= root.GetRevision() {
			delete(d.recent, old)
		}
	}
}

// OfferPlan accepts a plan from any source and puts it in force if it is newer.
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

// OfferDrains accepts the operators' drain marks from any source and puts them in
// force if they are newer.
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

// updatesFor returns what the sender of a message is missing, nil for what it has.
// The root is sent as a delta if the sender accepts deltas.
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

// hasUpdatesFor reports whether the sender of a message is missing anything.
func (d *Deployment) hasUpdatesFor(known *wire.Known) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	root, plan, drains := d.state.Lacks(known)
	return root || plan || drains
}

// countMessage adds the size of a control message to the byte counter of its
// direction and to the counter of its direction and kind.
func countMessage(direction, kind string, msg proto.Message) {
	size := int64(proto.Size(msg))
	counters.Add(direction, size)
	counters.Add(direction+"."+kind, size)
}

// rootID returns a hash of the root's content, to compare the offers of several agents.
func rootID(root *wire.Root) string {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(root)
	if err != nil {
		return ""
	}
	sum := blake3.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}
