// Package placement decides which host serves which model. The holder of the
// planning lease computes the plan, and every process follows it.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/wire"
)

// RoleBoth is the engine role of a host that runs both prefill and decode.
const RoleBoth = "both"

// Host is the state of one engine host that placement depends on.
type Host struct {
	ID            string
	FailureDomain string
	// Leaving is set when the host shuts down or an operator drains it.
	Leaving bool
	// UnavailableFor is how long the host has been leaving or silent; 0 if usable.
	UnavailableFor time.Duration
	// ServingModel and ServingVersion are what the host's engine serves now.
	ServingModel, ServingVersion string
	// CompleteVersions lists the model versions that the host has downloaded completely.
	CompleteVersions []string
}

// Limits are the periods of unavailability after which a host's replicas move.
type Limits struct {
	// LeavingAfter applies to leaving hosts. It is short, because such a host
	// does not come back by itself.
	LeavingAfter time.Duration
	// LostAfter applies to silent hosts. It is longer, because most of them are
	// back soon and a move transfers all bytes of a model.
	LostAfter time.Duration
}

// DefaultLimits returns the limits used in production.
func DefaultLimits() Limits {
	return Limits{LeavingAfter: 2 * time.Second, LostAfter: 30 * time.Second}
}

// Input is everything that a plan depends on.
type Input struct {
	Document *wire.Document
	// Revision is the revision of Document.
	Revision uint32
	Hosts    []Host
	// Previous is the plan in force, or nil.
	Previous *wire.Plan
	Fence    uint64
	Limits   Limits
}

// Next returns the next plan, or nil if the previous plan stays in force. It
// minimizes moves: a host keeps its model while the document wants the model in
// the host's failure domain, and a silent host keeps it until a usable host
// replaces it.
func Next(in Input) *wire.Plan {
	if in.Document == nil {
		return nil
	}
	previous := byHost(in.Previous)
	var assignments []*wire.Assignment
	for _, domain := range domainsOf(in) {
		assignments = append(assignments, newDomain(in, domain, previous).assign()...)
	}
	slices.SortFunc(assignments, func(a, b *wire.Assignment) int { return strings.Compare(a.GetHost(), b.GetHost()) })
	if in.Previous != nil && equal(assignments, in.Previous.GetAssignments()) {
		return nil
	}
	if in.Previous == nil && len(assignments) == 0 {
		return nil
	}
	return &wire.Plan{
		PlanRevision: in.Previous.GetPlanRevision() + 1,
		Revision:     in.Revision,
		Fence:        in.Fence,
		Assignments:  assignments,
	}
}

func equal(a, b []*wire.Assignment) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.Assignment) bool { return proto.Equal(x, y) })
}

func byHost(plan *wire.Plan) map[string]*wire.Assignment {
	held := make(map[string]*wire.Assignment, len(plan.GetAssignments()))
	for _, assignment := range plan.GetAssignments() {
		held[assignment.GetHost()] = assignment
	}
	return held
}

func domainsOf(in Input) []string {
	found := map[string]bool{}
	for _, model := range in.Document.GetModels() {
		for _, replicas := range model.GetReplicas() {
			found[replicas.GetFailureDomain()] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// score ranks the hosts for one model by rendezvous hash, so that every planner
// chooses the same hosts regardless of the order in which it learned of them.
func score(model, host string) uint64 {
	return rendezvous.Score(rendezvous.Seed(model), rendezvous.Seed(host))
}

// preference rates how little data the model needs on a host: 2 if the host
// serves the version, 1 if it has downloaded the version, otherwise 0.
func preference(host *Host, model *wire.Model) int {
	if host.ServingModel == model.GetName() && host.ServingVersion == model.GetVersion() {
		return 2
	}
	if slices.Contains(host.CompleteVersions, model.GetVersion()) {
		return 1
	}
	return 0
}

// compareFor returns a comparison function that sorts the best host for the
// model first.
func compareFor(model *wire.Model) func(a, b *Host) int {
	return func(a, b *Host) int {
		if order := cmp.Compare(preference(b, model), preference(a, model)); order != 0 {
			return order
		}
		if order := cmp.Compare(score(model.GetName(), b.ID), score(model.GetName(), a.ID)); order != 0 {
			return order
		}
		return strings.Compare(a.ID, b.ID)
	}
}
