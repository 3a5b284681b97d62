package control

import (
	"sync"
	"sync/atomic"

	"comfreyrelay.example/relay/wire"
)

// Self creates this entry's reports on itself.
type Self struct {
	node *wire.Node
	// inFlight and demand return the load of the callers' API; tests pass stubs.
	inFlight func() int
	demand   func() []*wire.Demand
	known    func() *wire.Known
	// homeRevision returns the lowest revision in force on the hosts that report here.
	homeRevision func() uint32
	draining     atomic.Bool

	mu     sync.Mutex
	latest *wire.EntryReport // each report increments the sequence
}

// NewSelf returns a Self that has already made its first report.
func NewSelf(node *wire.Node, inFlight func() int, demand func() []*wire.Demand, known func() *wire.Known, homeRevision func() uint32) *Self {
	self := &Self{node: node, inFlight: inFlight, demand: demand, known: known, homeRevision: homeRevision}
	self.Make()
	return self
}

// Make creates a report from the current state, stores it as the latest and returns it.
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

// Drain marks this and all further reports as draining, so that callers go to
// other entries.
func (s *Self) Drain() {
	s.draining.Store(true)
	s.Make()
}

// Draining reports whether Drain was called.
func (s *Self) Draining() bool { return s.draining.Load() }
