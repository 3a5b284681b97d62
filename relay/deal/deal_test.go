package deal

import (
	"fmt"
	"testing"
)

// fleet is entries and engines in failure domains that are regions too.
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

// even is a fleet with so many entries and engines in each of five domains.
func even(entries, engines int) fleet {
	counts := func(n int) map[string]int {
		return map[string]int{"north": n, "south": n, "west": n, "east": n, "mid": n}
	}
	return newFleet(counts(entries), counts(engines))
}

// parts returns each entry's parts.
func (f fleet) parts() map[string]map[string]Part {
	all := map[string]map[string]Part{}
	for _, self := range f.entries {
		all[self.ID] = New(self, f.entries).Parts(f.engines)
	}
	return all
}

// tally is who has a part in one engine.
type tally struct {
	homes, near, far, guides, guidesNear int
}

func (f fleet) tallies() map[string]tally {
	found := map[string]tally{}
	where := map[string]string{}
	for _, self := range f.entries {
		where[self.ID] = self.FailureDomain
	}
	domains := map[string]string{}
	for _, eng := range f.engines {
		domains[eng.ID] = eng.FailureDomain
		found[eng.ID] = tally{}
	}
	for id, parts := range f.parts() {
		for address, part := range parts {
			one := found[address]
			switch part.Reach {
			case Home:
				one.homes++
			case Near:
				one.near++
			case Far:
				one.far++
			}
			if part.Guide {
				one.guides++
				if where[id] == domains[address] {
					one.guidesNear++
				}
			}
			found[address] = one
		}
	}
	return found
}

func most(parts map[string]map[string]Part) int {
	count := 0
	for _, one := range parts {
		count = max(count, len(one))
	}
	return count
}

// Symptom: a day of 98 entries and 138 engines takes more than the processors of the
// hosts give; entries and agents spend more on what they send one another than on
// requests. Sequence: each entry follows each engine. Cause: what one entry follows
// grew with the engines of the whole fleet.
func TestWhatAnEntryFollowsDoesNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{6, 9}, {20, 28}, {60, 84}} {
		f := even(size.entries, size.engines)
		if got, bound := most(f.parts()), 2*(Usual.Near+Usual.Far); got > bound {
			t.Errorf("%d entries and %d engines a domain: an entry has part in %d engines, want at most %d", size.entries, size.engines, got, bound)
		}
	}
}

// Symptom: an engine stands idle while others are full. Cause: no entry sends to it.
func TestEveryEngineHasSendersAndOneHome(t *testing.T) {
	for _, size := range []struct{ entries, engines int }{{1, 4}, {3, 5}, {6, 9}, {20, 28}, {28, 7}} {
		for address, one := range even(size.entries, size.engines).tallies() {
			if one.homes != 1 {
				t.Errorf("%v: %s is home to %d entries, want one", size, address, one.homes)
			}
			if got, want := one.homes+one.near, min(Usual.Senders, size.entries); got < want {
				t.Errorf("%v: %d entries of its domain send to %s, want %d", size, got, address, want)
			}
		}
	}
}

// With few engines a domain all its entries send to each of them.
func TestSmallFleetIsSharedByAll(t *testing.T) {
	for address, one := range even(3, 5).tallies() {
		if one.homes+one.near != 3 || one.far != 4 {
			t.Errorf("%s: got %+v, want all three of its domain and one of each other", address, one)
		}
	}
}

func TestHomesAreDealtEvenly(t *testing.T) {
	f := even(20, 28)
	for id, parts := range f.parts() {
		homes := 0
		for _, part := range parts {
			if part.Reach == Home {
				homes++
			}
		}
		if homes > 2 {
			t.Errorf("%s has %d homes, want at most 2 of 28 among 20", id, homes)
		}
	}
}

// Symptom: while hosts are added, each host's link and the links between regions
// are busy with lists of hosts, and new hosts get weights a second later.
// Sequence: an endpoint registers; every entry sends every host the new list.
// Cause: what is sent to one host grew with entries times hosts.
func TestHostHearsFromFewEntriesHoweverManyThereAre(t *testing.T) {
	for _, size := range []int{3, 11, 270} {
		for address, one := range even(size, 2).tallies() {
			if got, want := one.guides, nearGuides+farGuides; got != want {
				t.Errorf("%d entries a domain: %s has %d guides, want %d", size, address, got, want)
			}
			if got := one.guidesNear; got != nearGuides {
				t.Errorf("%d entries a domain: %s has %d guides of its own, want %d", size, address, got, nearGuides)
			}
		}
	}
}

// Symptom: hosts of a region never learn of a version.
// Sequence: all entries of the region are lost; those of other regions think it
// is not their turn.
// Cause: a host whose region has too few entries needs others in their place.
func TestHostWithoutEntriesNearHearsFromFar(t *testing.T) {
	for _, near := range []int{0, 1, 2} {
		f := newFleet(map[string]int{"north": near, "south": 4}, map[string]int{"north": 1})
		for address, one := range f.tallies() {
			if got, want := one.guides, min(nearGuides+farGuides, near+4); got != want {
				t.Errorf("%d entries near: %s has %d guides, want %d", near, address, got, want)
			}
		}
	}
	f := newFleet(map[string]int{"south": 1}, map[string]int{"north": 1})
	for address, one := range f.tallies() {
		if one.guides != 1 || one.far != 1 {
			t.Errorf("one entry: %s has %+v, want its guidance and its requests", address, one)
		}
	}
}

// Two entries of other regions guide a host even where its region has several
// failure domains.
func TestGuidesStandInAnotherRegion(t *testing.T) {
	var entries []Place
	for i := range 12 {
		region := "north"
		if i%3 == 2 {
			region = "south"
		}
		entries = append(entries, Place{fmt.Sprintf("e-%d", i), region, fmt.Sprintf("%s-%d", region, i%3)})
	}
	f := fleet{entries: entries, engines: []Place{{"10.0.0.1:80", "north", "north-0"}}}
	far := 0
	for _, self := range entries {
		if New(self, entries).Parts(f.engines)["10.0.0.1:80"].Guide && self.Region == "south" {
			far++
		}
	}
	if far < 1 {
		t.Errorf("got no guide of another region, want one at least")
	}
}

func TestEntryThatGoesChangesFewEngines(t *testing.T) {
	f := even(20, 28)
	before := f.parts()
	gone := f.entries[0]
	f.entries = f.entries[1:]
	changed, all := 0, 0
	for id, parts := range f.parts() {
		for address, part := range before[id] {
			all++
			if part != parts[address] {
				changed++
			}
		}
	}
	if got, bound := changed, all/10; got > bound {
		t.Errorf("%d of %d parts changed as %s went, want at most %d", got, all, gone.ID, bound)
	}
}
