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
var onBroken = func(string) {}

// assembleWait is how long one offer of a root waits for another that is being
// assembled, so that several peers' offers do not fetch the same parts.
const assembleWait = 300 * time.Millisecond

// recentRoots is how many revisions behind a process may be and still get the
// difference in place of the whole root.
const recentRoots = 32

// Fetch gets parts by hash, in order; nil for those it lacks.
type Fetch func(ctx context.Context, hashes []string) ([][]byte, error)

// Deployment is what one entry knows. Its methods are safe for concurrent use.
type Deployment struct {
	self  *wire.Node
	clock clockwork.Clock
	log   *slog.Logger
	parts *store.Parts
	view  *view.Holder
	hosts *Members

	assembling chan struct{} // one token: who holds it assembles a root
	dirty      chan struct{} // at most one signal: the view should be built anew
	hurry      atomic.Bool   // the next view shows a node that leaves

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
		self:       self,
		clock:      clock,
		log:        log,
		parts:      parts,
		view:       holder,
		hosts:      NewMembers(self.GetId()),
		assembling: make(chan struct{}, 1),
		dirty:      make(chan struct{}, 1),
		recent:     map[uint32]*wire.Root{},
		changed:    make(chan struct{}),
		urgent:     make(chan struct{}),
	}
}

// ID returns this entry's id.
func (h *Deployment) ID() string { return h.self.GetId() }

// Members returns the hosts and entries known.
func (h *Deployment) Members() *Members { return h.hosts }

// Known returns what messages to other processes bear.
func (h *Deployment) Known() *wire.Known {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Known(h.clock.Now())
}

// Root returns the root in force, or nil.
func (h *Deployment) Root() *wire.Root {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Root()
}

// InForce returns the document in force and its revision; nil and 0 where there
// is none. It is ahead of the view by up to one build.
func (h *Deployment) InForce() (uint32, *wire.Document) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Root().GetRevision(), h.doc
}

// Age returns how old the knowledge is; known is false where nobody ever
// confirmed it.
func (h *Deployment) Age() (age time.Duration, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state.Age(h.clock.Now())
}

// HomeRevision returns the lowest revision in force on the live hosts that
// report to this entry; 0 where there are none.
func (h *Deployment) HomeRevision() uint32 {
	snap, _ := h.view.Load()
	lowest, found := uint32(0), false
	for _, host := range snap.Hosts {
		report := host.Report()
		if report.GetHome() != h.self.GetId() || host.Lost() {
			continue
		}
		if !found || report.GetRevision() < lowest {
			lowest, found = report.GetRevision(), true
		}
	}
	return lowest
}

// touch marks the view as outdated.
func (h *Deployment) touch() {
	select {
	case h.dirty <- struct{}{}:
	default:
	}
}

// wakeLocked ends all calls that are held until a revision moves.
func (h *Deployment) wakeLocked() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Hurry ends the calls that entries hold, so that they learn at once of a node
// that leaves. Agents' calls stay: with many agents that would be a storm.
func (h *Deployment) Hurry() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.urgent)
	h.urgent = make(chan struct{})
}

// news returns the channels that close at the next change and the next hurry.
func (h *Deployment) news() (changed, urgent <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed, h.urgent
}

// ObserveKnown takes over the confirmation that a message bears and reports
// whether its sender knows something newer.
func (h *Deployment) ObserveKnown(known *wire.Known) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.ObserveKnown(known, h.clock.Now())
	return h.state.Offers(known)
}

// Confirm notes that the service confirmed the revision at the moment.
func (h *Deployment) Confirm(rev uint32, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.state.Confirm(rev, at)
}

// OfferRoot takes a root from anyone: where it is newer, it fetches the parts
// that lack, assembles the document and brings it into force.
func (h *Deployment) OfferRoot(ctx context.Context, root *wire.Root, source string, fetch Fetch) error {
	root = revision.Expand(h.Root(), root)
	if root == nil || !h.wants(root, source) {
		return nil
	}
	root = revision.Slim(root)
	release := h.turn(ctx)
	defer release()
	if !h.wants(root, source) {
		return nil
	}
	doc, err := h.assemble(ctx, root, fetch)
	if err != nil {
		counters.Add("assembleFailed", 1)
		return err
	}
	h.adoptRoot(root, doc, source)
	return nil
}

// wants judges a root before any part is fetched.
func (h *Deployment) wants(root *wire.Root, source string) bool {
	h.mu.Lock()
	verdict := h.state.JudgeRoot(root)
	h.mu.Unlock()
	if verdict == revision.Contradiction {
		h.broken("oneContentPerRevision", "revision", root.GetRevision(), "source", source)
	}
	return verdict == revision.Newer
}

// broken counts and logs a broken invariant.
func (h *Deployment) broken(rule string, args ...any) {
	counters.Add("broken."+rule, 1)
	h.log.Error("invariant broke", append([]any{"rule", rule}, args...)...)
	onBroken(rule)
}

// turn waits until no other root is being assembled, but not for long: the
// other's source may hang.
func (h *Deployment) turn(ctx context.Context) (release func()) {
	select {
	case h.assembling <- struct{}{}:
		return func() { <-h.assembling }
	case <-h.clock.After(assembleWait):
	case <-ctx.Done():
	}
	return func() {}
}

func (h *Deployment) assemble(ctx context.Context, root *wire.Root, fetch Fetch) (*wire.Document, error) {
	if len(root.GetParts()) == 0 || document.ContentHash(root.GetParts()) != root.GetAudit().GetContentHash() {
		return nil, failure.New(failure.Corrupt, "a root does not match its content hash", "fetch it from another process")
	}
	lacking := document.Missing(root, h.parts.Has)
	contents := map[string][]byte{}
	if len(lacking) > 0 {
		fetched, err := fetch(ctx, lacking)
		if err != nil {
			return nil, err
		}
		for i, content := range fetched {
			if i < len(lacking) && h.parts.Add(lacking[i], content) {
				contents[lacking[i]] = content
			}
		}
	}
	return document.Join(root, func(hash string) []byte {
		if content := contents[hash]; content != nil {
			return content
		}
		return h.parts.Get(hash)
	})
}

func (h *Deployment) adoptRoot(root *wire.Root, doc *wire.Document, source string) {
	h.mu.Lock()
	adopted := h.state.AdoptRoot(root) == revision.Newer
	if adopted {
		h.doc = doc
		h.remember(root)
		h.wakeLocked()
	}
	h.mu.Unlock()
	if !adopted {
		return
	}
	counters.Add("rootsAdopted", 1)
	h.log.Info("document in force", "revision", root.GetRevision(), "source", source)
	h.touch()
}

// remember keeps the root to send differences from; the caller holds the lock.
func (h *Deployment) remember(root *wire.Root) {
	h.recent[root.GetRevision()] = root
	for old := range h.recent {
		if old+recentRoots <= root.GetRevision() {
			delete(h.recent, old)
		}
	}
}

// OfferPlan takes a plan from anyone.
func (h *Deployment) OfferPlan(plan *wire.Plan, source string) {
	if plan == nil {
		return
	}
	h.mu.Lock()
	verdict := h.state.AdoptPlan(plan)
	if verdict == revision.Newer {
		h.wakeLocked()
	}
	h.mu.Unlock()
	switch verdict {
	case revision.Newer:
		h.log.Info("plan in force", "planRevision", plan.GetPlanRevision(), "revision", plan.GetRevision(), "source", source)
		h.touch()
	case revision.Contradiction:
		h.broken("onePlanPerRevision", "planRevision", plan.GetPlanRevision(), "source", source)
	case revision.Older, revision.Same:
	}
}

// OfferDrains takes the operators' marks from anyone.
func (h *Deployment) OfferDrains(marks *wire.DrainMarks, source string) {
	if marks == nil {
		return
	}
	h.mu.Lock()
	adopted := h.state.AdoptDrains(marks) == revision.Newer
	if adopted {
		h.wakeLocked()
	}
	h.mu.Unlock()
	if adopted {
		h.log.Info("drain marks in force", "hosts", len(marks.GetHosts()), "source", source)
		h.touch()
	}
}

// lacking returns what a message's sender lacks, nil where it has it; the root
// as a difference where the sender takes that.
func (h *Deployment) lacking(known *wire.Known, deltas bool) (root *wire.Root, plan *wire.Plan, drains *wire.DrainMarks) {
	h.mu.Lock()
	defer h.mu.Unlock()
	lacksRoot, lacksPlan, lacksDrains := h.state.Lacks(known)
	if lacksRoot {
		root = h.state.Root()
		if base := h.recent[known.GetRevision()]; deltas && base != nil {
			root = revision.Delta(base, root)
		}
	}
	if lacksPlan {
		plan = h.state.Plan()
	}
	if lacksDrains {
		drains = h.state.Drains()
	}
	return root, plan, drains
}

// lacks reports whether a message's sender lacks anything.
func (h *Deployment) lacks(known *wire.Known) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	root, plan, drains := h.state.Lacks(known)
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
