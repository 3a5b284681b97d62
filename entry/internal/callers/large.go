package callers

import (
	"sync"
	"time"

	"comfreyrelay.example/relay/limit"
	"comfreyrelay.example/relay/wire"
)

// standingInterval is how often the large customers are separated from the others. A
// burst takes all slots in a few hundred milliseconds.
const largeCustomersInterval = 100 * time.Millisecond

// standings separates the large customers from the others, by the demand on all
// entries.
type largeCustomers struct {
	mu         sync.Mutex
	computedAt time.Time // of the last comparison
	names      map[string]bool
}

// isLarge reports whether the customer asks for much more than its share of
// the deployment. One entry's own requests would not show it: each customer's callers
// gather on a few entries.
func (s *Server) isLarge(idx *index, name string) bool {
	s.largeCustomers.mu.Lock()
	defer s.largeCustomers.mu.Unlock()
	if s.cfg.Clock.Since(s.largeCustomers.computedAt) >= largeCustomersInterval {
		s.largeCustomers.computedAt = s.cfg.Clock.Now()
		s.largeCustomers.names = limit.Large(s.customerUse(idx))
	}
	return s.largeCustomers.names[name]
}

func (s *Server) customerUse(idx *index) map[string]limit.Use {
	uses := make(map[string]limit.Use)
	for _, each := range idx.deployment.customers {
		weight, _ := each.weightAndPriority()
		uses[each.name] = limit.Use{Weight: weight}
	}
	add := func(demands []*wire.Demand) {
		for _, demand := range demands {
			use, known := uses[demand.GetCustomer()]
			if !known {
				continue // it left the document
			}
			use.Demand += demand.GetRequestsPerSecond()
			uses[demand.GetCustomer()] = use
		}
	}
	for _, report := range idx.reports {
		if report.GetNode().GetIncarnation() != s.cfg.Self.GetIncarnation() {
			add(report.GetDemand())
		}
	}
	add(s.Demand())
	return uses
}
