package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/membership"
	"comfreyrelay.example/relay/spread"
	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

const (
	// reportBytesPerSecond and reportBurst bound the host reports that this
	// process sends to all other entries together.
	reportBytesPerSecond = 3 << 10
	reportBurst          = 64 << 10
	// entryBytes bounds the reports of third entries in one message.
	maxEntryReportBytes = 4 << 10
)

// Exchange composes and takes in the messages between this entry and others.
type Exchange struct {
	deployment *Deployment
	self       *wire.Node
	sessions   *sessions
	// own returns this entry's report on itself.
	ownReport func() *wire.EntryReport

	mu            sync.Mutex
	allowance     *spread.Allowance
	candidateView *view.Snapshot // that the candidates were made from
	hosts         []spread.Candidate
	homeHosts     []spread.Candidate // those of hosts that report here
}

// NewExchange returns an Exchange; own returns this entry's newest report.
func NewExchange(deployment *Deployment, ownReport func() *wire.EntryReport) *Exchange {
	return &Exchange{
		deployment: deployment,
		self:       deployment.self,
		sessions:   newSessions(),
		ownReport:  ownReport,
		allowance:  spread.NewAllowance(reportBytesPerSecond, reportBurst, deployment.clock.Now()),
	}
}

// candidates returns the reports that could be sent, from the current view: all
// of them, and those to pass on to entries.
func (x *Exchange) candidates() (all, forEntries []spread.Candidate) {
	snap, _ := x.deployment.view.Load()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.candidateView != snap {
		x.rebuildCandidates(snap)
	}
	if spread.AllCallAll(len(snap.Entries)) {
		return x.hosts, x.homeHosts
	}
	return x.hosts, x.hosts
}

// prepare makes the candidates anew; the caller holds the lock.
func (x *Exchange) rebuildCandidates(snap *view.Snapshot) {
	x.candidateView = snap
	x.hosts = make([]spread.Candidate, 0, len(snap.Hosts))
	x.homeHosts = nil
	for _, host := range snap.Hosts {
		candidate := x.candidate(host)
		x.hosts = append(x.hosts, candidate)
		if candidate.Home {
			x.homeHosts = append(x.homeHosts, candidate)
		}
	}
}

func (x *Exchange) candidate(host view.Host) spread.Candidate {
	report := host.Report()
	home := report.GetHome() == x.self.GetId()
	if home && host.Lost() && !report.GetLost() {
		// Only this entry knows that its host fell silent.
		report = spread.Copy(report)
		report.Lost = true
	}
	return spread.Candidate{Report: report, SeenAt: host.SeenAt(), Home: home, Nearness: spread.Nearness(x.self, report.GetNode())}
}

// hostsForEntry returns the host reports that another entry should receive.
func (x *Exchange) hostsForEntry(sess *session, now time.Time) []*wire.HostReport {
	all, candidates := x.candidates()
	x.mu.Lock()
	left := x.allowance.Left(now)
	x.mu.Unlock()
	sess.mu.Lock()
	sess.hosts.SetRefresh(refreshFor(sess.node, len(all)))
	chosen := sess.hosts.Select(candidates, now, left)
	sess.mu.Unlock()
	x.mu.Lock()
	x.allowance.Spend(reportSize(chosen))
	x.mu.Unlock()
	return chosen
}

func reportSize(reports []*wire.HostReport) int {
	size := 0
	for _, report := range reports {
		size += proto.Size(report)
	}
	return size
}

// hostsForAgent returns the host reports that an agent should receive.
func (x *Exchange) hostsForAgent(sess *session, now time.Time) []*wire.HostReport {
	all, _ := x.candidates()
	peers := spread.WeightPeers(sess.node, all)
	near := make([]spread.Candidate, len(peers))
	for i, peer := range peers {
		peer.Home = false
		peer.Nearness = spread.Nearness(sess.node, peer.Report.GetNode())
		near[i] = peer
	}
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.hosts.SetRefresh(refreshFor(sess.node, len(near)))
	chosen := sess.hosts.Select(near, now, sess.agentAllowance.Left(now))
	sess.agentAllowance.Spend(reportSize(chosen))
	return chosen
}

// entriesFor returns the entry reports that a node should receive.
func (x *Exchange) entriesFor(sess *session, now time.Time) []*wire.EntryReport {
	snap, _ := x.deployment.view.Load()
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.entries.SetRelay(relayFor(sess.node, len(snap.Entries)))
	if isAgent(sess.node) {
		return sess.entries.SelectRare(x.ownReport(), snap.Entries, sess.node.GetId(), now, maxEntryReportBytes)
	}
	return sess.entries.Select(x.ownReport(), snap.Entries, sess.node.GetId(), now, maxEntryReportBytes)
}

// hearHosts takes in reports that another entry passed on.
func (x *Exchange) observeHosts(sess *session, reports []*wire.HostReport) {
	now := x.deployment.clock.Now()
	changed, urgent := false, false
	for _, report := range reports {
		report, ok := x.completeReport(sess, report)
		if !ok {
			continue
		}
		sess.mu.Lock()
		sess.hosts.Received(report, now)
		sess.mu.Unlock()
		if x.deployment.members.ObserveHost(report, now) {
			changed = true
			urgent = urgent || x.newlyLeaving(report)
		}
	}
	x.requestViewUpdate(changed, urgent)
}

// completed returns a report made whole, or notes that the whole one must be
// asked for.
func (x *Exchange) completeReport(sess *session, report *wire.HostReport) (*wire.HostReport, bool) {
	whole, ok := x.deployment.members.Complete(report)
	if !ok {
		counters.Add("wholeWanted", 1)
		sess.requestWhole(report.GetNode().GetId())
	}
	return whole, ok
}

// leaves reports whether a report is of a host that leaves, and the view
// does not know it yet.
func (x *Exchange) newlyLeaving(report *wire.HostReport) bool {
	if !report.GetLeaving() {
		return false
	}
	snap, _ := x.deployment.view.Load()
	host, known := findHost(snap, report.GetNode().GetId())
	return known && !host.Report().GetLeaving()
}

// hearEntries takes in reports of entries.
func (x *Exchange) observeEntries(sess *session, reports []*wire.EntryReport) {
	now := x.deployment.clock.Now()
	changed, urgent := false, false
	for _, report := range reports {
		id := report.GetNode().GetId()
		if id == x.self.GetId() {
			continue
		}
		report, ok := x.deployment.members.CompleteEntry(report)
		if !ok {
			sess.requestWhole(id)
			continue
		}
		sess.mu.Lock()
		sess.entries.Received(report, now)
		sess.mu.Unlock()
		if x.deployment.members.ObserveEntry(report, now) {
			changed = true
			urgent = urgent || x.newlyDraining(report)
		}
	}
	x.requestViewUpdate(changed, urgent)
}

func (x *Exchange) newlyDraining(report *wire.EntryReport) bool {
	if !report.GetDraining() {
		return false
	}
	snap, _ := x.deployment.view.Load()
	for _, entry := range snap.Entries {
		if entry.Report().GetNode().GetId() == report.GetNode().GetId() {
			return !entry.Report().GetDraining()
		}
	}
	return false
}

// stir has the view built anew and, where a node leaves, that passed on once the
// view shows it: messages are made from the view.
func (x *Exchange) requestViewUpdate(changed, urgent bool) {
	if urgent {
		x.deployment.urgentPending.Store(true)
	}
	if changed {
		x.deployment.markDirty()
	}
}

// request composes a call to another entry.
func (x *Exchange) request(sess *session, wait time.Duration) *wire.SyncRequest {
	now := x.deployment.clock.Now()
	from := x.self
	sess.mu.Lock()
	if sess.knowsSelf {
		from = membership.NameOnly(x.self)
	}
	sess.mu.Unlock()
	return &wire.SyncRequest{
		From:       from,
		Known:      x.deployment.Known(),
		WaitMillis: uint32(wait.Milliseconds()),
		KnownOnly:  wait > 0,
		DeltaRoots: true,
		Hosts:      x.hostsForEntry(sess, now),
		Entries:    x.entriesFor(sess, now),

		WholeWanted: sess.takeWanted(),
	}
}

// reply composes the answer to a call.
func (x *Exchange) reply(req *wire.SyncRequest, sess *session) *wire.SyncReply {
	now := x.deployment.clock.Now()
	// What else there is to say of the sender stands in its own report.
	from := &wire.Node{Id: x.self.GetId()}
	reply := &wire.SyncReply{
		From: from, Known: x.deployment.Known(), Entries: x.entriesFor(sess, now), WholeWanted: sess.takeWanted(),
	}
	if !req.GetKnownOnly() {
		reply.Root, reply.Plan, reply.Drains = x.deployment.updatesFor(req.GetKnown(), req.GetDeltaRoots())
	}
	if isAgent(req.GetFrom()) {
		reply.Plan = planFor(reply.Plan, req.GetFrom().GetFailureDomain())
		reply.Hosts = x.hostsForAgent(sess, now)
		return reply
	}
	reply.Hosts = x.hostsForEntry(sess, now)
	return reply
}

// planFor returns the plan with one failure domain's assignments.
func planFor(plan *wire.Plan, domain string) *wire.Plan {
	if plan == nil {
		return nil
	}
	part := &wire.Plan{PlanRevision: plan.GetPlanRevision(), Revision: plan.GetRevision(), Fence: plan.GetFence()}
	for _, assignment := range plan.GetAssignments() {
		if assignment.GetFailureDomain() == domain {
			part.Assignments = append(part.Assignments, assignment)
		}
	}
	return part
}

// takeReply brings in what another entry answered.
func (x *Exchange) applyReply(ctx context.Context, sess *session, reply *wire.SyncReply, fetch Fetch) {
	source := "entry " + reply.GetFrom().GetId()
	sess.observeReplyWanted(reply.GetWholeWanted(), x.self.GetId())
	x.deployment.OfferDrains(reply.GetDrains(), source)
	if err := x.deployment.OfferRoot(ctx, reply.GetRoot(), source, fetch); err != nil {
		x.deployment.log.Warn("document not assembled", "revision", reply.GetRoot().GetRevision(), "source", source, "error", err)
	}
	x.deployment.OfferPlan(reply.GetPlan(), source)
	x.deployment.ObserveKnown(reply.GetKnown())
	x.observeHosts(sess, reply.GetHosts())
	x.observeEntries(sess, reply.GetEntries())
}

func isAgent(node *wire.Node) bool { return node.GetRole() == "agent" }

// kindOf names the other side of a call in the counters.
func peerKind(node *wire.Node) string {
	if isAgent(node) {
		return "agent"
	}
	return "entry"
}

func findHost(snap *view.Snapshot, id string) (view.Host, bool) {
	for _, host := range snap.Hosts {
		if host.Report().GetNode().GetId() == id {
			return host, true
		}
	}
	return view.Host{}, false
}
