package requests

import (
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// Case describes one experiment.
type Case struct {
	Name string
	// Policy is the name of a baseline route policy; empty selects the system's.
	Policy string
	// Load is the offered rate as a fraction of the engines' capacity.
	Load float64
	// Fault is injected while the callers send; nil for none.
	Fault faultFunc
	// CompareBefore first runs the same load without the fault, for comparison.
	CompareBefore bool
	// Greedy makes one large customer overload the system on its own while the
	// others send their usual load.
	Greedy bool
	// UntilFaultEnds keeps the callers sending until the fault is over.
	UntilFaultEnds bool
}

// length returns how long requests arrive.
func (c Case) length() time.Duration {
	if c.UntilFaultEnds {
		return untilFaultEndsTime
	}
	return loadTime
}

// Loads of the cases with a fault, of the small customers in the greedy case and of
// the greedy customer.
const (
	faultLoad  = 0.6
	smallLoad  = 0.3
	greedyLoad = 2
)

// Cases returns all experiments in the order of the report.
func Cases() []Case {
	cases := []Case{
		{Name: "load-0.5", Load: 0.5},
		{Name: "load-0.9", Load: 0.9},
		{Name: "load-1.2", Load: 1.2},
		{Name: "load-2", Load: 2},
	}
	for _, policy := range []string{deployment.PolicyRandom, deployment.PolicyRoundRobin, deployment.PolicyLeastInFlight} {
		cases = append(cases, Case{Name: "baseline-" + policy, Policy: policy, Load: 0.9})
	}
	cases = append(cases,
		Case{Name: "greedy-customer", Load: smallLoad, CompareBefore: true, Greedy: true},
		Case{Name: "rolling-restart", Load: faultLoad, Fault: restartAll, UntilFaultEnds: true},
	)
	for _, c := range []Case{
		{Name: "slow-replica", Fault: slowReplica, CompareBefore: true},
		{Name: "fails-fast-looks-idle", Fault: failsFast, CompareBefore: true},
		{Name: "engine-stalls", Fault: engineStalls},
		{Name: "breaks-after-tokens", Fault: breaksAfterTokens},
		{Name: "host-dies", Fault: hostDies},
		{Name: "cold-replica", Fault: coldReplica},
		{Name: "agent-pauses", Fault: agentPauses},
		{Name: "entry-dies", Fault: entryDies},
		{Name: "entry-leaves", Fault: entryLeaves},
		{Name: "host-leaves", Fault: hostLeaves},
		{Name: "service-loses-replies", Fault: serviceLosesReplies},
		{Name: "service-down", Fault: kvDown},
		{Name: "list-empty", Fault: listEmpty},
	} {
		c.Load = faultLoad
		cases = append(cases, c)
	}
	return cases
}
