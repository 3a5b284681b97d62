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

// Wanted is the declared version of a model's weights, which its hosts should use.
type Wanted struct {
	Model    string
	Version  uint64
	Revision uint64 // of the store, grows with the version; 0 if not declared
	Since    time.Time
}

// State is one process's view of the deployment. It is safe for concurrent use.
type State struct {
	clock  func() time.Time
	fleet  *fleet.Fleet
	fresh  *freshness.Tracker
	ledger *quarantine.Ledger

	contact *Contact

	catalog   atomic.Pointer[catalog.Catalog] // nil before the first was read
	storeLost atomic.Bool

	mu       sync.Mutex
	revision uint64 // of the store, never decreases
	entries  map[string]Entry
	expiring map[string]time.Time // when to drop each entry whose registration ended
	peak     entryPeak
	wanted   map[string]Wanted
	history  map[string][]rollout.Declared // by model, newest last
	// undeclared holds, by model, the declaration times that hosts reported of versions
	// whose declaration was not read yet.
	undeclared map[string][]rollout.Declared
	// graceUntil is when other entries' grace period ends, in which registrations that end are
	// kept.
	graceUntil time.Time
	changed    chan struct{}
}

// maxHistory bounds the declarations kept per model. Only a few are recent enough to
// matter.
const maxHistory = 16

// NewState returns an empty State.
func NewState(clock func() time.Time, flt *fleet.Fleet, fresh *freshness.Tracker) *State {
	return &State{
		clock: clock, fleet: flt, fresh: fresh, ledger: quarantine.NewLedger(clock),
		contact: NewContact(fresh.Now),
		entries: map[string]Entry{}, expiring: map[string]time.Time{}, wanted: map[string]Wanted{},
		history: map[string][]rollout.Declared{}, undeclared: map[string][]rollout.Declared{},
		changed: make(chan struct{}),
	}
}

// Catalog returns the newest catalog, or nil before the first was read.
func (s *State) Catalog() *catalog.Catalog { return s.catalog.Load() }

// Fleet returns the endpoints.
func (s *State) Fleet() *fleet.Fleet { return s.fleet }

// Freshness returns the tracker of how old this view is.
func (s *State) Freshness() *freshness.Tracker { return s.fresh }

// Contact returns the record of the calls that the store answered.
func (s *State) Contact() *Contact { return s.contact }

// Ledger returns the record of the requests during which endpoints ended.
func (s *State) Ledger() *quarantine.Ledger { return s.ledger }

// Revision returns the newest known revision of the store.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Changed returns a channel that is closed at the next change other than a ReportRecord.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Entries returns the known entries by id.
func (s *State) Entries() map[string]Entry {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	return maps.Clone(s.entries)
}

// EntryCount returns the number of known entries, at least 1: this process is one.
func (s *State) EntryCount() int {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	return max(1, len(s.entries))
}

// PeakEntryCount returns the largest number of entries that were known at a time within
// peakMemory. An entry whose registration lapsed because the store refuses its calls may still send
// requests, so limits that all entries share are divided by this number.
func (s *State) PeakEntryCount() int {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	return max(1, s.peak.update(now, len(s.entries)))
}

// peakMemory is as long as a region may be without the store.
const peakMemory = time.Hour

// entryPeak is the largest number of entries that were known at a time.
type entryPeak struct {
	count  int
	seenAt time.Time // when count entries were last known
}

// update takes the present number of entries into account and returns the peak.
func (p *entryPeak) update(now time.Time, count int) int {
	if count >= p.count || now.Sub(p.seenAt) > peakMemory {
		p.count, p.seenAt = count, now
	}
	return p.count
}

// dropExpired drops the entries whose registration ended and whose grace period is over.
// The caller holds s.mu.
func (s *State) dropExpired(now time.Time) {
	s.peak.update(now, len(s.entries))
	for id, at := range s.expiring {
		if !now.Before(at) {
			delete(s.entries, id)
			delete(s.expiring, id)
		}
	}
}

// WantedOf returns the declared version of a model, and false if there is none.
func (s *State) WantedOf(model string) (Wanted, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	want, ok := s.wanted[model]
	return want, ok
}

// Floor returns the lowest version of a model that may still be used, or 0 if any may. A
// declared version must replace all older ones within the bound after its declaration.
func (s *State) Floor(model string, bound time.Duration) uint64 {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return rollout.Floor(s.history[model], now, bound)
}

// OlderVersionsEndIn returns for how long versions of a model older than the given one may still be used,
// which is until the bound after its declaration. It returns 0 if that time is over or unknown.
func (s *State) OlderVersionsEndIn(model string, version uint64, bound time.Duration) time.Duration {
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

// MarkStoreLost records that the store does not answer.
func (s *State) MarkStoreLost() { s.storeLost.Store(true) }

// MarkStoreRegained records that the store answers again.
func (s *State) MarkStoreRegained() { s.storeLost.Store(false) }

// StoreLost reports whether the store does not answer this process.
func (s *State) StoreLost() bool { return s.storeLost.Load() }

// KeepRegistrationsFor keeps registrations that end within the given time from now at least until it
// is over. It is called when another entry found that the store was unreachable.
func (s *State) KeepRegistrationsFor(wait time.Duration) {
	until := s.clock().Add(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceUntil = laterOf(s.graceUntil, until)
}

// GraceLeft returns the rest of the grace period for registrations that end.
func (s *State) GraceLeft() time.Duration {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.graceEnd(now).Sub(now)
}

// graceEnd returns until when registrations that end now are kept. The caller holds s.mu.
func (s *State) graceEnd(now time.Time) time.Time {
	return laterOf(now.Add(s.contact.GraceLeft()), s.graceUntil)
}

// Apply applies changes of the store up to a revision. It ignores catalogs and weight
// versions that are not newer than the known ones, so that neither ever goes back.
func (s *State) Apply(records []Record, revision uint64) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = max(s.revision, revision)
	s.dropExpired(now)
	stateChanged := false // something other than a report changed
	for _, rec := range records {
		s.apply(now, rec, revision)
		stateChanged = stateChanged || rec.Kind != ReportRecord
	}
	if stateChanged {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// apply applies one record. The caller holds s.mu.
func (s *State) apply(now time.Time, rec Record, revision uint64) {
	switch rec.Kind {
	case CatalogRecord:
		if old := s.catalog.Load(); old == nil || rec.Catalog.Version() > old.Version() {
			s.catalog.Store(rec.Catalog)
			s.fleet.Configure(rec.Catalog)
		}
	case WeightsRecord:
		if rec.Weights > s.wanted[rec.ID].Version {
			s.recordDeclaration(rec, now.Add(-rec.MaxDelay), revision)
		}
	case EndpointRecord:
		if rec.Removed {
			s.fleet.Remove(rec.ID, s.removalTime(now, rec))
			return
		}
		s.fleet.Register(rec.Endpoint)
	case EntryRecord:
		if rec.Removed {
			s.expiring[rec.ID] = s.removalTime(now, rec)
			return
		}
		delete(s.expiring, rec.ID)
		s.entries[rec.ID] = rec.Entry
	case ReportRecord:
		// The deletion of a report needs no action: the ledger drops reports by age.
		for _, report := range rec.Reports {
			s.ledger.Observe(report.Report)
			s.fleet.RemoveLimit(report.Lifted)
			s.fleet.ObserveLimit(report.Limited)
		}
	}
}

// removalTime returns when a registration that ended is dropped: at once if it was
// withdrawn, otherwise after the grace period, during which its owner may register again.
func (s *State) removalTime(now time.Time, rec Record) time.Time {
	if rec.Withdrawn {
		return now
	}
	return s.graceEnd(now)
}

// recordDeclaration records a newer version. Its fencing number is the revision of the
// declaration, which is the same for every process that reads it. The caller holds s.mu.
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

// maxDeclarationAge is the upper limit of the ages that Declarations returns.
const maxDeclarationAge = time.Hour

// Declaration is a declared version of a model's weights and the time since its declaration.
type Declaration struct {
	Model   string
	Version uint64
	Age     time.Duration
}

// Declarations returns all known declarations, sorted by model, oldest first.
func (s *State) Declarations() []Declaration {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Declaration
	for _, model := range slices.Sorted(maps.Keys(s.history)) {
		for _, known := range s.history[model] {
			found = append(found, Declaration{Model: model, Version: known.Version, Age: min(now.Sub(known.At), maxDeclarationAge)})
		}
	}
	return found
}

// RecordDeclarationAge records for how long a host or another entry has known that a version was declared.
// Without it, an entry that started or received the version later would count its age from then.
func (s *State) RecordDeclarationAge(model string, version uint64, age time.Duration) {
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
		// The store holds only the newest declaration. The versions before this one must
		// go out of use earlier than the newest declaration alone would require.
		if len(s.history[model]) < maxHistory {
			s.history[model] = slices.Insert(s.history[model], 0, declared)
		}
	case len(s.undeclared[model]) < maxHistory:
		s.undeclared[model] = append(s.undeclared[model], declared)
	}
}

// laterOf returns the later of two times.
func laterOf(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}
