package site

import (
	"fmt"
	"slices"
	"testing"
)

// regions returns entries by region, so many each.
func entriesOf(counts map[string]int) map[string]Entry {
	entries := map[string]Entry{}
	for region, count := range counts {
		for i := range count {
			entries[fmt.Sprintf("%s-%d", region, i)] = Entry{Region: region}
		}
	}
	return entries
}

func countIn(entries map[string]Entry, ids []string, region string) int {
	count := 0
	for _, id := range ids {
		if entries[id].Region == region {
			count++
		}
	}
	return count
}

// Symptom: while hosts are added, each host's link and the links between regions
// are busy with lists of hosts, and new hosts get weights a second later.
// Sequence: an endpoint registers; every entry tells every host the new list.
// Cause: what one host is told grew with entries times hosts.
func TestHostHearsFromFewEntriesHoweverManyThereAre(t *testing.T) {
	for _, size := range []int{3, 11, 270} {
		entries := entriesOf(map[string]int{"north": size, "south": size, "west": size})
		guides := Guides("10.0.0.1:80", "north", entries)
		if got, want := len(guides), nearGuides+farGuides; got != want {
			t.Errorf("%d entries a region: %d guides, want %d", size, got, want)
		}
		if got := countIn(entries, guides, "north"); got != nearGuides {
			t.Errorf("%d entries a region: %d guides of the host's own, want %d", size, got, nearGuides)
		}
	}
}

// Symptom: hosts of a region never hear of a version.
// Sequence: all entries of the region are lost; those of other regions think it
// is not their turn.
// Cause: a host whose region has too few entries needs others in their place.
func TestHostWithoutEntriesNearHearsFromFar(t *testing.T) {
	for _, near := range []int{0, 1, 2} {
		entries := entriesOf(map[string]int{"north": near, "south": 4})
		guides := Guides("10.0.0.1:80", "north", entries)
		if got, want := len(guides), min(nearGuides+farGuides, near+4); got != want {
			t.Errorf("%d entries near: %d guides, want %d", near, got, want)
		}
	}
	if got := Guides("10.0.0.1:80", "north", map[string]Entry{"only": {Region: "north"}}); !slices.Equal(got, []string{"only"}) {
		t.Errorf("one entry: guides are %v, want it alone", got)
	}
}

func TestEntryThatGoesChangesOnlyItsOwnHosts(t *testing.T) {
	entries := entriesOf(map[string]int{"north": 6, "south": 6})
	before := map[string][]string{}
	for i := range 50 {
		host := fmt.Sprintf("10.0.0.%d:80", i)
		before[host] = Guides(host, "north", entries)
	}
	delete(entries, "north-0")
	for host, guides := range before {
		if slices.Contains(guides, "north-0") {
			continue
		}
		if got := Guides(host, "north", entries); !slices.Equal(got, guides) {
			t.Errorf("guides of %s are %v after another's entry went, want %v", host, got, guides)
		}
	}
}
