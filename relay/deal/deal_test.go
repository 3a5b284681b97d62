package deal

import (
	"fmt"
	"testing"
)

// fleet is a set of entries and engines whose failure domains are also regions.
type fleet struct{ entries, engines []Place }

func newFleet(entries, engines map[string]int) fleet {
	f := fleet{}
	for _, domain := range []string{"north", "south", "west", "east", "mid"} {
		for i := range entries[domain] {
			f.entries = append(f.entries, Place{fmt.Sprintf("%s-%d", domain, i), domain, domain})
		}
		for i := range engines[domain] {
			f.engines = append(f.engines, Place{fmt.Sprintf("10.%d.0.%d:80", len(f.entries), i), domain, domain})
		}
	}
	return f
}

// evenFleet returns a fleet with the given entries and engines in each of five domains.
func evenFleet(entries, engines int) fleet {
	counts := func(n int) map[string]int {
		return map[string]int{"north": n, "south": n, "west": n, "east": n, "mid": n}
	}
	return newFleet(counts(entries), counts(engines))
}

// assignments returns each entry's assignments.
func (f fleet) assignments() map[string]map[string]Assignment {
	all := map[string]map[string]Assignment{}
	for _, self := range f.entries {
		all[self.ID] = New(self, f.entries).Assignments(f.engines)
	}
	return all
}

// assignmentCounts counts the entries assigned to one engine.
type assignmentCounts struct {
	home, near, far, guidanceSenders, localGuidanceSenders int
}

func (f fleet) countsByEngine() map[string]assignmentCounts {
	found := map[string]assignmentCounts{}
	domainByEntry := map[string]string{}
	for _, self := range f.entries {
		domainByEntry[self.ID] = self.FailureDomain
	}
	domainByEngine := map[string]string{}
	for _, eng := range f.engines {
		domainByEngine[eng.ID] = eng.FailureDomain
		found[eng.ID] = assignmentCounts{}
	}
	for id, parts := range f.assignments() {
		for address, part := range parts {
			counts := found[address]
			switch part.Reach {
			case Home:
				counts.home++
			case Near:
				counts.near++
			case Far:
				counts.far++
			}
			if part.SendsGuidance {
				counts.guidanceSenders++
				if domainByEntry[id] == domainByEngine[address] {
					counts.localGuidanceSenders++
				}
			}
			found[address] = counts
		}
	}
	return found
}

func maxAssignments(parts map[string]map[string]Assignment) int {
	count := 0
	for _, entryParts := range parts {
		count = max(count, len(entryParts))
	}
	return count
}

// Guards against entries and agents that spend more processor time on messages to each other than
// on requests: 98 entries and 138 engines needed more than their hosts' processors provide, because
// every entry followed every engine, so that what one entry follows grew with the whole fleet.
func TestAssignmentsPerEntryDoNotGrowWithFleet(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{6, 9}, {20, 28}, {60, 84}} {
		f := evenFleet(size.entries, size.engines)
		if got, bound := maxAssignments(f.assignments()), 2*(DefaultShares.Near+DefaultShares.Far); got > bound {
			t.Errorf("%d entries and %d engines per domain: an entry is assigned %d engines, want at most %d", size.entries, size.engines, got, bound)
		}
	}
}

// Guards against an engine that stays idle while others are full, because no entry sends to it.
func TestEveryEngineHasSendersAndOneHome(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{1, 4}, {3, 5}, {6, 9}, {20, 28}, {28, 7}} {
		for address, counts := range evenFleet(size.entries, size.engines).countsByEngine() {
			if counts.home != 1 {
				t.Errorf("%v: %s has %d home entries, want one", size, address, counts.home)
			}
			if got, want := counts.home+counts.near, min(DefaultShares.Senders, size.entries); got < want {
				t.Errorf("%v: %d entries of its domain send to %s, want %d", size, got, address, want)
			}
		}
	}
}

// With few engines per domain, all its entries send to each of them.
func TestSmallFleetIsSharedByAllEntries(t *testing.T) {
	for address, counts := range evenFleet(3, 5).countsByEngine() {
		if counts.home+counts.near != 3 || counts.far != 4 {
			t.Errorf("%s: got %+v, want all three entries of its domain and one of each other domain", address, counts)
		}
	}
}

func TestHomesAreAssignedEvenly(t *testing.T) {
	f := evenFleet(20, 28)
	for id, parts := range f.assignments() {
		homes := 0
		for _, part := range parts {
			if part.Reach == Home {
				homes++
			}
		}
		if homes > 2 {
			t.Errorf("%s is home to %d engines, want at most 2 with 28 engines and 20 entries", id, homes)
		}
	}
}

// Guards against host lists that fill each host's link and the links between regions while hosts
// are added, so that new hosts get weights a second later. When an endpoint registers, every entry
// sends every host the new list: what one host receives grows with entries times hosts.
func TestGuidanceSendersPerHostAreBounded(t *testing.T) {
	for _, size := range []int{3, 11, 270} {
		for address, counts := range evenFleet(size, 2).countsByEngine() {
			if got, want := counts.guidanceSenders, localGuidanceSenders+remoteGuidanceSenders; got != want {
				t.Errorf("%d entries per domain: %s has %d guidance senders, want %d", size, address, got, want)
			}
			if got := counts.localGuidanceSenders; got != localGuidanceSenders {
				t.Errorf("%d entries per domain: %s has %d guidance senders of its domain, want %d", size, address, got, localGuidanceSenders)
			}
		}
	}
}

// Guards against hosts of a region that never learn of a version. All entries of the region are
// lost, and those of other regions do not send guidance in their place. A host whose region has too
// few entries needs others instead.
func TestHostWithFewLocalEntriesGetsRemoteGuidance(t *testing.T) {
	for _, local := range []int{0, 1, 2} {
		f := newFleet(map[string]int{"north": local, "south": 4}, map[string]int{"north": 1})
		for address, counts := range f.countsByEngine() {
			if got, want := counts.guidanceSenders, min(localGuidanceSenders+remoteGuidanceSenders, local+4); got != want {
				t.Errorf("%d local entries: %s has %d guidance senders, want %d", local, address, got, want)
			}
		}
	}
	f := newFleet(map[string]int{"south": 1}, map[string]int{"north": 1})
	for address, counts := range f.countsByEngine() {
		if counts.guidanceSenders != 1 || counts.far != 1 {
			t.Errorf("one entry: %s has %+v, want guidance and requests from it", address, counts)
		}
	}
}

// Checks that guidance also comes from another region if a host's own region has several failure
// domains.
func TestGuidanceComesFromAnotherRegion(t *testing.T) {
	var entries []Place
	for i := range 12 {
		region := "north"
		if i%3 == 2 {
			region = "south"
		}
		entries = append(entries, Place{fmt.Sprintf("e-%d", i), region, fmt.Sprintf("%s-%d", region, i%3)})
	}
	f := fleet{entries: entries, engines: []Place{{"10.0.0.1:80", "north", "north-0"}}}
	remote := 0
	for _, self := range entries {
		if New(self, entries).Assignments(f.engines)["10.0.0.1:80"].SendsGuidance && self.Region == "south" {
			remote++
		}
	}
	if remote < 1 {
		t.Errorf("got no guidance sender of another region, want at least one")
	}
}

func TestRemovedEntryChangesFewAssignments(t *testing.T) {
	f := evenFleet(20, 28)
	before := f.assignments()
	removed := f.entries[0]
	f.entries = f.entries[1:]
	changed, total := 0, 0
	for id, parts := range f.assignments() {
		for address, part := range before[id] {
			total++
			if part != parts[address] {
				changed++
			}
		}
	}
	if got, bound := changed, total/10; got > bound {
		t.Errorf("%d of %d assignments changed when %s was removed, want at most %d", got, total, removed.ID, bound)
	}
}
