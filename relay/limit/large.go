package limit

// Use is what one customer asks of the whole deployment.
type Use struct {
	Weight float64 // share under overload; above 0
	Demand float64 // in any unit of work a second; 0: not active
}

// Large returns the customers that ask for much more than their fair share
// among the active ones: more than twice of it, and more than half way between
// it and all. One that is alone is not large.
func Large(uses map[string]Use) map[string]bool {
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
