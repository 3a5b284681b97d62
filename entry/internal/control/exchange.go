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
	// reportBytesPerSecond and reportBurst limit the host reports that this
	// process sends to all other entries combined.
	reportBytesPerSecond = 3 << 10
	reportBurst          = 64 << 10
	// maxEntryReportBytes limits the relayed reports of third entries in one message.
	maxEntryReportBytes = 4 << 10
)

// Exchange builds and applies the Sync messages between this entry and other nodes.
type Exchange struct {
	deployment *Deployment
	self       *wire.Node
	sessions   *sessions
	// ownReport returns this entry's newest report on itself.
	ownReport func() *wire.EntryReport

	mu            sync.Mutex
	allowance     *spread.Allowance
	candidateView *view.Snapshot // view from which the candidates were built
	hosts         []spread.Candidate
	homeHosts     []spread.Candidate // subset of hosts that report to this entry
}

// NewExchange returns an Exchange; ownReport returns this entry's newest report.
func NewExchange(deployment *Deployment, ownReport func() *wire.EntryReport) *Exchange {
	return &Exchange{
		deployment: deployment,
		self:       deployment.self,
		sessions:   newSessions(),
		ownReport:  ownReport,
		allowance:  spread.NewAllowance(reportBytesPerSecond, reportBurst, deployment.clock.Now()),
	}
}

// candidates returns the host reports of the current view that can be sent: all
// of them, and those to send to entries. In a deployment small enough that every
// entry calls all others, entries are sent only the hosts that report here.
func (x *Exchange) candidates() (all, forEntries []spread.Candidate) {
	snap, _ := x.deployment.view.Load()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.candidateView != snap {
		x.rebuildCandidates(snap)
	}
	if spread.IsFullMesh(len(snap.Entries)) {
		return x.hosts, x.homeHosts
	}
	return x.hosts, x.hosts
}

// rebuildCandidates rebuilds the candidates from the view; the caller holds mu.
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

// candidate returns the host's report with what spread needs to prioritize it.
func (x *Exchange) candidate(host view.Host) spread.Candidate {
	report := host.Report()
	home := report.GetHome() == x.self.GetId()
	if home && host.Lost() && !report.GetLost() {
		// The host reports to this entry, so no other entry can detect its silence.
		report = spread.Copy(report)
		report.Lost = true
	}
	return spread.Candidate{Report: report, SeenAt: host.SeenAt(), Home: home, Nearness: spread.Nearness(x.self, report.GetNode())}
}

// hostsForEntry selects the host reports to send to another entry, within the
// process-wide allowance.
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

// hostsForAgent selects the host reports to send to an agent, within the agent's
// allowance.
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

// entriesFor selects the entry reports to send to a node.
func (x *Exchange) entriesFor(sess *session, now time.Time) []*wire.EntryReport {
	snap, _ := x.deployment.view.Load()
	sess.mu.Lock()
	defer sess.mu.Unlock()
	sess.entries.SetRelay(relayFor(sess.node, len(snap.Entries)))
	if isAgent(sess.node) {
		return sess.entries.SelectPresence(x.ownReport(), snap.Entries, sess.node.GetId(), now, maxEntryReportBytes)
	}
	return sess.entries.Select(x.ownReport(), snap.Entries, sess.node.GetId(), now, maxEntryReportBytes)
}

// observeHosts applies host reports relayed by another entry.
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

// completeReport merges a partial report with the stored one. If that is not
// possible, it requests the whole report from the node and returns false.
func (x *Exchange) completeReport(sess *session, report *wire.HostReport) (*wire.HostReport, bool) {
	whole, ok := x.deployment.members.Complete(report)
	if !ok {
		counters.Add("wholeWanted", 1)
		sess.requestWhole(report.GetNode().GetId())
	}
	return whole, ok
}

// newlyLeaving reports whether the report says that the host is leaving while the
// view still shows it as staying.
func (x *Exchange) newlyLeaving(report *wire.HostReport) bool {
	if !report.GetLeaving() {
		return false
	}
	snap, _ := x.deployment.view.Load()
	host, known := findHost(snap, report.GetNode().GetId())
	return known && !host.Report().GetLeaving()
}

// observeEntries applies entry reports received from another entry.
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

// newlyDraining reports whether the report says that the entry is draining while
// the view does not show it yet.
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

// requestViewUpdate requests a rebuild of the view if anything changed. If urgent,
// other entries are notified once the view is built and not before, because
// messages are built from the view.
func (x *Exchange) requestViewUpdate(changed, urgent bool) {
	if urgent {
		x.deployment.urgentPending.Store(true)
	}
	if changed {
		x.deployment.markDirty()
	}
}

// request builds a Sync request to another entry.
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

// reply builds the reply to a Sync request.
func (x *Exchange) reply(req *wire.SyncRequest, sess *session) *wire.SyncReply {
	now := x.deployment.clock.Now()
	// The rest of this entry's description is in its own report.
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

// planFor returns the plan reduced to the assignments of one failure domain.
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

// applyReply applies the reply of another entry.
func (x *Exchange) applyReply(ctx context.Context, sess *session, reply *wire.SyncReply, fetch Fetch) {
	source := "entry " + reply.GetFrom().GetId()
	sess.observeReplyWanted(reply.GetWholeWanted(), x.self.GetId())
	x.deployment.OfferDrains(reply.GetDrains(), source)
	if err := x.deployment.OfferRoot(ctx, reply.GetRoot(), source, fetch); err != nil {
		x.deployment.log.Warn("cannot assemble document", "revision", reply.GetRoot().GetRevision(), "source", source, "error", err)
	}
	x.deployment.OfferPlan(reply.GetPlan(), source)
	x.deployment.ObserveKnown(reply.GetKnown())
	x.observeHosts(sess, reply.GetHosts())
	x.observeEntries(sess, reply.GetEntries())
}

func isAgent(node *wire.Node) bool { return node.GetRole() == "agent" }

// peerKind returns the counter label for the role of the other node.
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
