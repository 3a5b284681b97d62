package limit

import "comfreyrelay.example/relay/wire"

// Share returns the fraction of a deployment-wide limit that the entry self holds
// for one customer. Every entry computes it from the same demand reports, so
// no write per request is needed.
//
// Each of n entries is weighted by its fraction of the customer's demand, but by at least 1/(2n),
// so that a caller who moves to an idle entry is served before the next report; the weights are
// normalised. With equal knowledge the shares add up to 1. An entry always holds at least 1/(3n).
func Share(self string, demand map[string]float64) float64 {
	entries := float64(max(1, len(demand)))
	if _, listed := demand[self]; !listed {
		entries++
	}
	total := 0.0
	for _, units := range demand {
		total += units
	}
	if total <= 0 {
		return 1 / entries
	}
	floor := 1 / (2 * entries)
	sum, own := 0.0, max(floor, demand[self]/total)
	for _, units := range demand {
		sum += max(floor, units/total)
	}
	if _, listed := demand[self]; !listed {
		sum += floor
	}
	return own / sum
}

// DemandOf returns one customer's demand by entry id, in requests per second and tokens per second.
func DemandOf(customer string, reports []*wire.EntryReport) (requests, tokens map[string]float64) {
	requests = make(map[string]float64, len(reports))
	tokens = make(map[string]float64, len(reports))
	for _, report := range reports {
		id := report.GetNode().GetId()
		requests[id], tokens[id] = 0, 0
		for _, demand := range report.GetDemand() {
			if demand.GetCustomer() == customer {
				requests[id] = demand.GetRequestsPerSecond()
				tokens[id] = demand.GetTokensPerSecond()
			}
		}
	}
	return requests, tokens
}
