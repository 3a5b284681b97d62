// Package placement decides which host serves which model: the plan that one
// lease-holder computes and every process follows.
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

// RoleBoth is the engine role of a host that prefills and decodes.
const RoleBoth = "both"

// Host is one engine host as placement sees it.
type Host struct {
	ID            string
	FailureDomain string
	// Leaving hosts are those that leave, by themselves or by an operator.
	Leaving bool
	// Away is how long the host has been leaving or silent; 0: usable.
	Away time.Duration
	// ServingModel and ServingVersion are what its engine serves now.
	ServingModel, ServingVersion string
	// Whole lists the versions whose bytes are whole on the host.
	Whole []string
}

// Limits are the times after which a host's replicas move elsewhere.
type Limits struct {
	// LeavingAfter is short: who leaves does not come back by itself.
	LeavingAfter time.Duration
	// LostAfter is longer: most silent hosts are back soon, and a move costs a
	// whole model's bytes.
	LostAfter time.Duration
}

// DefaultLimits returns the times used in production.
func DefaultLimits() Limits {
	return Limits{LeavingAfter: 2 * time.Second, LostAfter: 30 * time.Second}
}

// Input is everything that a plan depends on.
type Input struct {
	Document *wire.Document
	// Revision is the document's.
	Revision uint32
	Hosts    []Host
	// Previous is the plan in force, or nil.
	Previous *wire.Plan
	Fence    uint64
	Limits   Limits
}

// Next returns the plan that follows, or nil where the previous one stands.
// It moves as little as it can: a host keeps its model while the model is
// wanted in its failure domain, and a silent host keeps it until a usable one
// takes over.
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

// score orders the hosts for one model: the rendezvous hash makes every
// planner choose the same hosts, whatever order it learned of them in.
func score(model, host string) uint64 {
	return rendezvous.Score(rendezvous.Seed(model), rendezvous.Seed(host))
}

// preference is how little a model would have to move to a host: 2 where it
// serves the version, 1 where the bytes are whole there, else 0.
func preference(host *Host, model *wire.Model) int {
	if host.ServingModel == model.GetName() && host.ServingVersion == model.GetVersion() {
		return 2
	}
	if slices.Contains(host.Whole, model.GetVersion()) {
		return 1
	}
	return 0
}

// compareFor sorts the best host for the model first.
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
