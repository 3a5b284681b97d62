package capacity

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/placement"
	"comfreyrelay.example/relay/wire"
)

// Cases of the plan benchmark.
const (
	casePlanMillis    = "planMillis/hosts"
	casePlanUnchanged = "planSteadyMillis/hosts"
	casePlanBytes     = "planBytes/hosts"
	casePlanDomain    = "planOfDomainBytes/hosts of one domain"
)

// measurePlans prints the time to compute the first plan of a fleet, the time of a
// check that changes nothing, and the encoded size of the whole plan and of its
// part for one failure domain.
func measurePlans(lines *printer) error {
	for _, n := range hostSizes {
		input := planInput(n)
		var plan *wire.Plan
		lines.line(casePlanMillis, n, microsPerCall(func() { plan = placement.Next(input) })/1_000, "milliseconds")
		if plan == nil {
			return fmt.Errorf("no plan for %d hosts", n)
		}
		steady := input
		steady.Previous = plan
		lines.line(casePlanUnchanged, n, microsPerCall(func() { placement.Next(steady) })/1_000, "milliseconds")
		lines.line(casePlanBytes, n, float64(proto.Size(plan)), "bytes")
		part := &wire.Plan{PlanRevision: plan.GetPlanRevision(), Revision: plan.GetRevision(), Fence: plan.GetFence()}
		for _, assignment := range plan.GetAssignments() {
			if assignment.GetFailureDomain() == "domain-00" {
				part.Assignments = append(part.Assignments, assignment)
			}
		}
		lines.line(casePlanDomain, len(part.GetAssignments()), float64(proto.Size(part)), "bytes")
	}
	return nil
}

// planInput returns a fleet of n hosts without a plan, and a document that assigns
// each host one of four models.
func planInput(n int) placement.Input {
	const models = 4
	doc := &wire.Document{}
	for m := range models {
		model := &wire.Model{Name: fmt.Sprintf("model-%d", m), Version: measuredVersion, MaxUnavailable: 3}
		for d := range domains {
			model.Replicas = append(model.Replicas, &wire.Replicas{
				FailureDomain: fmt.Sprintf("domain-%02d", d), Count: uint32(n/domains/models + 1),
			})
		}
		doc.Models = append(doc.Models, model)
	}
	input := placement.Input{Document: doc, Revision: 1, Fence: 1, Limits: placement.DefaultLimits()}
	for i := range n {
		host := node("agent", i)
		input.Hosts = append(input.Hosts, placement.Host{ID: host.GetId(), FailureDomain: host.GetFailureDomain()})
	}
	return input
}
