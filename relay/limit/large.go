package limit

// Use is one customer's demand on the whole deployment.
type Use struct {
	Weight float64 // share under overload; above 0
	Demand float64 // in any unit of work per second; 0: not active
}

// LargeCustomers returns the customers whose demand is far above their fair share among the active ones:
// more than twice that share, and more than half way between it and the total. A single active
// customer is not large.
func LargeCustomers(uses map[string]Use) map[string]bool {
	weights, demand := 0.0, 0.0
	for _, use := range uses {
		if use.Demand > 0 {
			weights += use.Weight
			demand += use.Demand
		}
	}
	large := make(map[string]bool)
	for name, use := range uses {
		if use.Demand <= 0 {
			continue
		}
		fair := use.Weight / weights
		if use.Demand/demand > min(2*fair, (1+fair)/2) {
			large[name] = true
		}
	}
	return large
}
