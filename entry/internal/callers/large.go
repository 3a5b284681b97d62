package callers

import (
	"sync"
	"time"

	"comfreyrelay.example/relay/limit"
	"comfreyrelay.example/relay/wire"
)

// largeCustomersInterval is the shortest time between two computations of the
// large customers. It must be short, because a burst takes all slots within a few
// hundred milliseconds.
const largeCustomersInterval = 100 * time.Millisecond

// largeCustomers caches the names of the customers whose demand on all entries is
// much larger than their share.
type largeCustomers struct {
	mu         sync.Mutex
	computedAt time.Time
	names      map[string]bool
}

// isLarge reports whether the customer asks for much more than its share of the
// deployment. It uses the demand on all entries, because the callers of one
// customer are concentrated on a few entries.
func (s *Server) isLarge(idx *index, name string) bool {
	s.largeCustomers.mu.Lock()
	defer s.largeCustomers.mu.Unlock()
	if s.cfg.Clock.Since(s.largeCustomers.computedAt) >= largeCustomersInterval {
		s.largeCustomers.computedAt = s.cfg.Clock.Now()
		s.largeCustomers.names = limit.LargeCustomers(s.customerUse(idx))
	}
	return s.largeCustomers.names[name]
}

// customerUse returns the weight of each customer and its demand on all entries.
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
				continue // removed from the document
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
