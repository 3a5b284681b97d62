package spread

import (
	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxUnsampledFleet is the number of hosts up to which all are reported to each agent.
	maxUnsampledFleet = 300
	// sampleSize bounds the hosts of other failure domains that an agent of a larger fleet
	// receives.
	sampleSize = 64
)

// WeightPeers returns the hosts that are reported to an agent, from which it can fetch weights. In
// a small fleet these are all hosts; in a large one those of its failure domain and a sample of
// others by rendezvous hash, so that chunks reach every failure domain at a bounded cost.
func WeightPeers(agent *wire.Node, hosts []Candidate) []Candidate {
	if len(hosts) <= maxUnsampledFleet {
		return excluding(agent.GetId(), hosts)
	}
	var chosen []Candidate
	far := make([]string, 0, len(hosts))
	byID := make(map[string]Candidate, len(hosts))
	for _, host := range excluding(agent.GetId(), hosts) {
		node := host.Report.GetNode()
		if node.GetFailureDomain() == agent.GetFailureDomain() {
			chosen = append(chosen, host)
			continue
		}
		far = append(far, node.GetId())
		byID[node.GetId()] = host
	}
	for _, id := range rendezvous.Top(agent.GetId(), far, sampleSize) {
		chosen = append(chosen, byID[id])
	}
	return chosen
}

// excluding returns the hosts without the one with the given id.
func excluding(id string, hosts []Candidate) []Candidate {
	kept := make([]Candidate, 0, len(hosts))
	for _, host := range hosts {
		if host.Report.GetNode().GetId() != id {
			kept = append(kept, host)
		}
	}
	return kept
}
