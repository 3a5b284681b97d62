package operators

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"comfreyrelay.example/relay/view"
	"comfreyrelay.example/relay/wire"
)

// NeverConfirmed is the value of AgeMillis if the key-value service has not
// confirmed any revision yet.
const NeverConfirmed = -1

// Node is the state of one process, as known to this entry.
type Node struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Region        string `json:"region"`
	FailureDomain string `json:"failureDomain"`
	Incarnation   string `json:"incarnation"`
	// Revision and PlanRevision are the ones in force on the node, according to
	// its latest report.
	Revision     uint32 `json:"revision"`
	PlanRevision uint32 `json:"planRevision"`
	// AgeMillis is the age of that report.
	AgeMillis int64 `json:"ageMillis"`
	Leaving   bool  `json:"leaving"`
	Lost      bool  `json:"lost"`
	// Running and Queued count the requests on a host. For an entry, Running
	// counts the requests in flight.
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
}

// Status describes what is in force and which nodes have it.
type Status struct {
	// Entry is the id of the entry that returned this status.
	Entry        string `json:"entry"`
	Revision     uint32 `json:"revision"`
	PlanRevision uint32 `json:"planRevision"`
	// AgeMillis is the time since the key-value service last confirmed the
	// revision, to this entry or to a node that passed the confirmation on. It is
	// NeverConfirmed if there was no confirmation.
	AgeMillis int64 `json:"ageMillis"`
	// LowestRevision is the lowest revision in force on any node that is not lost.
	LowestRevision uint32 `json:"lowestRevision"`
	Nodes          []Node `json:"nodes"`
}

// Status returns the state of the deployment as known to this entry.
func (a *API) Status() Status {
	snap, _ := a.cfg.View.Load()
	known := a.cfg.Deployment.Known()
	status := Status{
		Entry:          a.cfg.Deployment.ID(),
		Revision:       known.GetRevision(),
		PlanRevision:   known.GetPlanRevision(),
		AgeMillis:      NeverConfirmed,
		LowestRevision: known.GetRevision(),
	}
	if age, confirmed := a.cfg.Deployment.Age(); confirmed {
		status.AgeMillis = millisOf(age)
	}
	now := a.cfg.Clock.Now()
	homeRevisions := map[string]uint32{}
	for _, entry := range snap.Entries {
		report := entry.Report()
		if !entry.Lost() {
			homeRevisions[report.GetNode().GetId()] = report.GetHomeRevision()
		}
		node := newNode(report.GetNode(), millisOf(now.Sub(entry.SeenAt())), entry.Leaving(), entry.Lost())
		node.Revision, node.PlanRevision = report.GetRevision(), report.GetPlanRevision()
		node.Running = report.GetInFlight()
		status.add(node)
	}
	for _, host := range snap.Hosts {
		report := host.Report()
		node := newNode(report.GetNode(), millisOf(now.Sub(host.SeenAt())), host.Leaving(), host.Lost())
		// Reports of remote hosts arrive less often than those of their home
		// entries, so the home entry's revision may be newer.
		node.Revision = max(report.GetRevision(), homeRevisions[report.GetHome()])
		node.PlanRevision = report.GetPlanRevision()
		node.Running, node.Queued = report.GetRunning(), report.GetQueued()
		status.add(node)
	}
	return status
}

// add appends the node and lowers LowestRevision if needed. This entry's own node
// gets the revisions of the status instead of those of its last report.
func (s *Status) add(node Node) {
	if node.ID == s.Entry {
		node.Revision, node.PlanRevision = s.Revision, s.PlanRevision
	}
	if !node.Lost {
		s.LowestRevision = min(s.LowestRevision, node.Revision)
	}
	s.Nodes = append(s.Nodes, node)
}

func newNode(node *wire.Node, ageMillis int64, leaving, lost bool) Node {
	return Node{
		ID: node.GetId(), Role: node.GetRole(), Region: node.GetRegion(), FailureDomain: node.GetFailureDomain(),
		Incarnation: node.GetIncarnation(), AgeMillis: ageMillis, Leaving: leaving, Lost: lost,
	}
}

// getStatus handles GET /v1/status.
func (a *API) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.Status())
}

// Progress is the rollout progress of a model version in one failure domain.
type Progress struct {
	Model         string `json:"model"`
	Version       string `json:"version"`
	FailureDomain string `json:"failureDomain"`
	// Wanted is the number of replicas in the document. The other counters are
	// numbers of hosts.
	Wanted   int `json:"wanted"`
	Serving  int `json:"serving"`
	Whole    int `json:"whole"`
	Fetching int `json:"fetching"`
	Failed   int `json:"failed"`
	// ChunksHave and ChunksTotal are summed over the hosts.
	ChunksHave  uint64   `json:"chunksHave"`
	ChunksTotal uint64   `json:"chunksTotal"`
	HoldUps     []string `json:"holdUps"`
}

// Rollout is the progress of the versions that the document specifies.
type Rollout struct {
	Revision uint32 `json:"revision"`
	// Done is set if every wanted replica serves its specified version.
	Done   bool       `json:"done"`
	Models []Progress `json:"models"`
}

// Rollout returns the rollout progress as known to this entry.
func (a *API) Rollout() Rollout {
	snap, _ := a.cfg.View.Load()
	rollout := Rollout{Revision: snap.Revision, Done: snap.Document != nil, Models: []Progress{}}
	for _, model := range snap.Document.GetModels() {
		for _, replicas := range model.GetReplicas() {
			progress := progressOf(snap, model, replicas)
			rollout.Done = rollout.Done && progress.Serving >= progress.Wanted
			rollout.Models = append(rollout.Models, progress)
		}
	}
	return rollout
}

// progressOf returns a model's progress in the failure domain of replicas.
func progressOf(snap *view.Snapshot, model *wire.Model, replicas *wire.Replicas) Progress {
	progress := Progress{
		Model: model.GetName(), Version: model.GetVersion(), FailureDomain: replicas.GetFailureDomain(),
		Wanted: int(replicas.GetCount()), HoldUps: []string{},
	}
	assigned := 0
	for _, assignment := range snap.Plan.GetAssignments() {
		if assignment.GetModel() == model.GetName() && assignment.GetFailureDomain() == replicas.GetFailureDomain() {
			assigned++
		}
	}
	if assigned < progress.Wanted {
		progress.HoldUps = append(progress.HoldUps, "the plan has fewer hosts than wanted: hosts are missing, or no entry holds the planner's lease")
	}
	for _, host := range snap.Hosts {
		if host.Report().GetNode().GetFailureDomain() == replicas.GetFailureDomain() {
			progress.addHost(host)
		}
	}
	return progress
}

// addHost adds one host's state to the counters.
func (p *Progress) addHost(host view.Host) {
	id := host.Report().GetNode().GetId()
	for _, state := range host.Report().GetVersions() {
		if state.GetModel() != p.Model || state.GetVersion() != p.Version {
			continue
		}
		if host.Lost() {
			p.HoldUps = append(p.HoldUps, id+": no recent report")
			return
		}
		p.ChunksHave += uint64(state.GetChunksHave())
		p.ChunksTotal += uint64(state.GetChunksTotal())
		switch state.GetState() {
		case "serving":
			p.Serving++
		case "whole", "loading", "draining":
			p.Whole++
		case "fetching":
			p.Fetching++
		case "failed":
			p.Failed++
		}
		if state.GetHoldUp() != "" {
			p.HoldUps = append(p.HoldUps, id+": "+state.GetHoldUp())
		}
	}
}

// getRollout handles GET /v1/rollout.
func (a *API) getRollout(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, a.Rollout())
}

// drainBody is the request of POST /v1/hosts/{id}/drain.
type drainBody struct {
	Drain bool `json:"drain"`
}

// postDrain handles POST /v1/hosts/{id}/drain.
func (a *API) postDrain(w http.ResponseWriter, r *http.Request) {
	body := drainBody{}
	if err := readJSON(w, r, &body); err != nil {
		writeError(w, err)
		return
	}
	host := chi.URLParam(r, "id")
	if err := a.Drain(r.Context(), host, body.Drain, operatorOf(r), FromAddress(r)); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Host  string `json:"host"`
		Drain bool   `json:"drain"`
	}{host, body.Drain})
}
