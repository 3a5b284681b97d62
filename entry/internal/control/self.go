package control

import (
	"sync"
	"sync/atomic"

	"comfreyrelay.example/relay/wire"
)

// Self makes this entry's reports on itself.
type Self struct {
	node *wire.Node
	// Load seams; they read the callers' API.
	inFlight func() int
	demand   func() []*wire.Demand
	known    func() *wire.Known
	// home returns the lowest revision on the hosts that report here.
	homeRevision func() uint32
	draining     atomic.Bool

	mu     sync.Mutex
	latest *wire.EntryReport // its sequence grows with each report
}

// NewSelf returns a Self whose first report is made at once.
func NewSelf(node *wire.Node, inFlight func() int, demand func() []*wire.Demand, known func() *wire.Known, homeRevision func() uint32) *Self {
	self := &Self{node: node, inFlight: inFlight, demand: demand, known: known, homeRevision: homeRevision}
	self.Make()
	return self
}

// Make returns a new report.
func (s *Self) Make() *wire.EntryReport {
	demand := s.demand()
	rate := 0.0
	for _, customer := range demand {
		rate += customer.GetRequestsPerSecond()
	}
	known, home := s.known(), s.homeRevision()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = &wire.EntryReport{
		Node:              s.node,
		Sequence:          s.latest.GetSequence() + 1,
		Draining:          s.draining.Load(),
		InFlight:          uint32(max(0, s.inFlight())),
		RequestsPerSecond: rate,
		Demand:            demand,
		Revision:          known.GetRevision(),
		PlanRevision:      known.GetPlanRevision(),
		HomeRevision:      home,
	}
	return s.latest
}

// Latest returns the newest report.
func (s *Self) Latest() *wire.EntryReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// Drain has all further reports say that callers should go elsewhere.
func (s *Self) Drain() {
	s.draining.Store(true)
	s.Make()
}

// Draining reports whether Drain was called.
func (s *Self) Draining() bool { return s.draining.Load() }
