package requests

import (
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// Case is one experiment.
type Case struct {
	Name string
	// Policy is empty for the system's own, or a baseline's name.
	Policy string
	// Load is the offered rate over the engines' capacity.
	Load float64
	// Trouble happens while the callers send; nil for none.
	Trouble trouble
	// Calm runs the same load without the trouble first, to compare with.
	Calm bool
	// Greedy lets one large customer send by itself beside the others.
	Greedy bool
	// Long lets the callers go on until the trouble is over.
	Long bool
}

func (c Case) length() time.Duration {
	if c.Long {
		return longTime
	}
	return loadTime
}

// Loads of the cases with a fault, and of the callers beside a greedy one.
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
		Case{Name: "greedy-customer", Load: smallLoad, Calm: true, Greedy: true},
		Case{Name: "rolling-restart", Load: faultLoad, Trouble: restartAll, Long: true},
	)
	for _, c := range []Case{
		{Name: "slow-replica", Trouble: slowReplica, Calm: true},
		{Name: "fails-fast-looks-idle", Trouble: failsFast, Calm: true},
		{Name: "engine-stalls", Trouble: engineStalls},
		{Name: "breaks-after-tokens", Trouble: breaksAfterTokens},
		{Name: "host-dies", Trouble: hostDies},
		{Name: "cold-replica", Trouble: coldReplica},
		{Name: "agent-pauses", Trouble: agentPauses},
		{Name: "entry-dies", Trouble: entryDies},
		{Name: "entry-leaves", Trouble: entryLeaves},
		{Name: "host-leaves", Trouble: hostLeaves},
		{Name: "service-loses-replies", Trouble: serviceLosesReplies},
		{Name: "service-down", Trouble: kvDown},
		{Name: "list-empty", Trouble: listEmpty},
	} {
		c.Load = faultLoad
		cases = append(cases, c)
	}
	return cases
}
