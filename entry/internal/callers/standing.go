package callers

import (
	"sync"
	"time"

	"comfreyrelay.example/relay/limit"
	"comfreyrelay.example/relay/wire"
)

// standingInterval is how often the large customers are separated from the others. A
// burst takes all slots in a few hundred milliseconds.
const standingInterval = 100 * time.Millisecond

// standings separates the large customers from the others, by the demand on all
// entries.
type standings struct {
	mu    sync.Mutex
	at    time.Time // of the last comparison
	large map[string]bool
}

// isLarge reports whether the customer asks for much more than its share of
// the deployment. One entry's own requests would not show it: each customer's callers
// gather on a few entries.
func (s *Server) isLarge(now *index, name string) bool {
	s.standings.mu.Lock()
	defer s.standings.mu.Unlock()
	if s.cfg.Clock.Since(s.standings.at) >= standingInterval {
		s.standings.at = s.cfg.Clock.Now()
		s.standings.large = limit.Large(s.uses(now))
	}
	return s.standings.large[name]
}

func (s *Server) uses(now *index) map[string]limit.Use {
	uses := make(map[string]limit.Use)
	for _, each := range now.deployment.customers {
		weight, _ := each.standing()
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
	for _, report := range now.reports {
		if report.GetNode().GetIncarnation() != s.cfg.Self.GetIncarnation() {
			add(report.GetDemand())
		}
	}
	add(s.Demand())
	return uses
}
