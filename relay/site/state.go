package site

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/rollout"
)

// Wanted is the version that the hosts of a model should use.
type Wanted struct {
	Model    string
	Version  uint64
	Revision uint64 // of the store, grows with the version; 0 where not declared
	Since    time.Time
}

// State is what a process knows. It is safe for concurrent use.
type State struct {
	clock  func() time.Time
	fleet  *fleet.Fleet
	fresh  *freshness.Tracker
	ledger *quarantine.Ledger

	catalog   atomic.Pointer[catalog.Catalog] // nil: none was read yet
	storeLost atomic.Bool

	mu       sync.Mutex
	revision uint64 // of the store, never falls
	entries  map[string]Entry
	expiring map[string]time.Time // entries whose registration ended, by when they are dropped
	wanted   map[string]Wanted
	history  map[string][]rollout.Declared // by model, newest last
	// early is what hosts reported of versions whose declaration is not known yet.
	undeclared map[string][]rollout.Declared
	graceUntil time.Time // registrations that end before it may be back
	changed    chan struct{}
}

// recoveryGrace is how long after the store came back a registration may be
// missing though its owner lives: owners write again within two seconds.
const recoveryGrace = 2200 * time.Millisecond

// maxHistory bounds the declarations remembered of one model: those still in
// their time are a few.
const maxHistory = 16

// NewState returns a State that knows nothing.
func NewState(clock func() time.Time, flt *fleet.Fleet, fresh *freshness.Tracker) *State {
	return &State{
		clock: clock, fleet: flt, fresh: fresh, ledger: quarantine.NewLedger(clock),
		entries: map[string]Entry{}, expiring: map[string]time.Time{}, wanted: map[string]Wanted{},
		history: map[string][]rollout.Declared{}, undeclared: map[string][]rollout.Declared{},
		changed: make(chan struct{}),
	}
}

// Catalog returns the newest catalog; nil before the first.
func (s *State) Catalog() *catalog.Catalog { return s.catalog.Load() }

// Fleet returns the endpoints.
func (s *State) Fleet() *fleet.Fleet { return s.fleet }

// Fresh returns the age of what is known.
func (s *State) Fresh() *freshness.Tracker { return s.fresh }

// Ledger returns under which requests endpoints ended.
func (s *State) Ledger() *quarantine.Ledger { return s.ledger }

// Revision returns the store's revision that is known.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changed returns a channel that is closed at the next change, reports of ends aside.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Entries returns the entries known, by id.
func (s *State) Entries() map[string]Entry {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	return maps.Clone(s.entries)
}

func (s *State) dropExpired(now time.Time) {
	for id, at := range s.expiring {
		if !now.Before(at) {
			delete(s.entries, id)
			delete(s.expiring, id)
		}
	}
}

// WantedOf returns the version wanted of a model; ok is false where none is
// declared.
func (s *State) WantedOf(model string) (Wanted, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	want, ok := s.wanted[model]
	return want, ok
}

// Floor returns the lowest version of a model that may be used where a newer one
// must be in use the bound after its declaration; 0 where any may.
func (s *State) Floor(model string, bound time.Duration) uint64 {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return rollout.Floor(s.history[model], now, bound)
}

// Ends returns the time until versions of a model before the one given may not be used
// any more, where a newer one must be in use the bound after its declaration; 0 where
// that is over or unknown.
func (s *State) Ends(model string, version uint64, bound time.Duration) time.Duration {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, decl := range s.history[model] {
		if decl.Version == version {
			return max(0, decl.At.Add(bound).Sub(now))
		}
	}
	return 0
}

// Lost notes that the store does not answer: registrations that lapse now may
// be back after it returns.
func (s *State) Lost() {
	s.storeLost.Store(true)
	s.extendGrace()
}

// Regained notes that the store answers again.
func (s *State) Regained() {
	s.storeLost.Store(false)
	s.extendGrace()
}

// StoreLost reports whether the store does not answer this process.
func (s *State) StoreLost() bool { return s.storeLost.Load() }

func (s *State) extendGrace() { s.SettleFor(recoveryGrace) }

// SettleFor keeps registrations that end for so long at least: another entry
// found that the store was away.
func (s *State) SettleFor(wait time.Duration) {
	until := s.clock().Add(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceUntil = laterOf(s.graceUntil, until)
}

// Settling returns for how long registrations that end are still kept.
func (s *State) Settling() time.Duration {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, s.graceUntil.Sub(now))
}

// Apply takes over changes of the store up to a revision. What is older than
// what is known is left out, so that nothing falls back.
func (s *State) Apply(records []Record, revision uint64) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	s.dropExpired(now)
	stateChanged := false // something that others plan by changed
	for _, rec := range records {
		s.apply(now, rec, revision)
		stateChanged = stateChanged || rec.Kind != ReportRecord
	}
	if stateChanged {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *State) apply(now time.Time, rec Record, revision uint64) {
	switch rec.Kind {
	case CatalogRecord:
		if old := s.catalog.Load(); old == nil || rec.Catalog.Version() > old.Version() {
			s.catalog.Store(rec.Catalog)
			s.fleet.Declare(rec.Catalog)
		}
	case WeightsRecord:
		if rec.Weights > s.wanted[rec.ID].Version {
			s.recordDeclaration(rec, now.Add(-rec.Late), revision)
		}
	case EndpointRecord:
		if rec.Gone {
			s.fleet.Remove(rec.ID, s.removalTime(now, rec))
			return
		}
		s.fleet.Register(rec.Endpoint)
	case EntryRecord:
		if rec.Gone {
			s.expiring[rec.ID] = s.removalTime(now, rec)
			return
		}
		delete(s.expiring, rec.ID)
		s.entries[rec.ID] = rec.Entry
	case ReportRecord:
		// A report that lapses is forgotten by its age.
		for _, report := range rec.Reports {
			s.ledger.Observe(report.Report)
			s.fleet.LiftLimit(report.Lifted)
			s.fleet.ObserveLimit(report.Limited)
		}
	}
}

// removalTime returns from when on a registration that ended is not used: one that
// lapsed may be back until the store's return is settled.
func (s *State) removalTime(now time.Time, rec Record) time.Time {
	if rec.Withdrawn {
		return now
	}
	return laterOf(now, s.graceUntil)
}

// declare notes a newer version; s.mu is held. Its fencing number is the revision
// of the declaration, the same for all who learn of it.
func (s *State) recordDeclaration(rec Record, since time.Time, revision uint64) {
	if rec.Revision > 0 {
		revision = rec.Revision
	}
	list := s.history[rec.ID]
	for _, declared := range s.undeclared[rec.ID] {
		switch {
		case declared.Version < rec.Weights:
			list = append(list, declared)
		case declared.Version == rec.Weights && declared.At.Before(since):
			since = declared.At
		}
	}
	s.undeclared[rec.ID] = slices.DeleteFunc(s.undeclared[rec.ID], func(declared rollout.Declared) bool { return declared.Version <= rec.Weights })
	list = append(list, rollout.Declared{Version: rec.Weights, At: since})
	s.history[rec.ID] = list[max(0, len(list)-maxHistory):]
	s.wanted[rec.ID] = Wanted{Model: rec.ID, Version: rec.Weights, Revision: revision, Since: since}
}

// DeclaredFor takes over for how long a host has known that a version was declared: an entry
// that started since then would count its time from the start on.
func (s *State) DeclaredFor(model string, version uint64, age time.Duration) {
	at := s.clock().Add(-age)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, known := range s.history[model] {
		if known.Version != version {
			continue
		}
		if !at.Before(known.At) {
			return
		}
		s.history[model][i].At = at
		if want := s.wanted[model]; want.Version == version {
			want.Since = at
			s.wanted[model] = want
		}
		close(s.changed)
		s.changed = make(chan struct{})
		return
	}
	declared := rollout.Declared{Version: version, At: at}
	switch want, known := s.wanted[model]; {
	case known && version < want.Version:
		// The store holds the newest declaration alone, and the time of the versions before
		// this one ends sooner than by that.
		if len(s.history[model]) < maxHistory {
			s.history[model] = slices.Insert(s.history[model], 0, declared)
		}
	case len(s.undeclared[model]) < maxHistory:
		s.undeclared[model] = append(s.undeclared[model], declared)
	}
}

func laterOf(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}
