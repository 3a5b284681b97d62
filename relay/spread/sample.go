package spread

import (
	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxUnsampledFleet is the number of hosts up to which each agent learns of all.
	maxUnsampledFleet = 300
	// sampleSize bounds the far hosts that an agent of a large fleet learns of.
	sampleSize = 64
)

// WeightPeers returns the hosts that an agent learns of: all of a small fleet;
// of a large one those of its failure domain and a sample by rendezvous hash,
// so that chunks find a way into every failure domain at a bounded cost.
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

func excluding(id string, hosts []Candidate) []Candidate {
	kept := make([]Candidate, 0, len(hosts))
	for _, host := range hosts {
		if host.Report.GetNode().GetId() != id {
			kept = append(kept, host)
		}
	}
	return kept
}
