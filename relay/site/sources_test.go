package site

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func regionEntries(region string, count int) map[string]Entry {
	entries := map[string]Entry{}
	for i := range count {
		id := fmt.Sprintf("%s-%d", region, i)
		entries[id] = Entry{Region: region, ControlAddress: id + ":1"}
	}
	return entries
}

// Symptom: a 404 for a route that was added 3.2 s ago. Sequence: configurations of
// 53 KB come 12 a second; each of 34 entries reads each of them over a link of 25
// Mbit/s between regions; they come seconds late. Cause: what crosses that link
// grew with the entries.
func TestFewEntriesOfALargeRegionWatchTheStore(t *testing.T) {
	for _, size := range []int{5, 11, 75} {
		entries := regionEntries("north", size)
		direct := 0
		for id := range entries {
			if sources := Sources(id, "north", entries); sources == nil {
				direct++
			} else if slices.Contains(sources, id) || len(sources) != sourcesPerRegion {
				t.Errorf("%s follows %v, want %d others", id, sources, sourcesPerRegion)
			}
		}
		if direct != sourcesPerRegion {
			t.Errorf("%d entries: %d ask the store, want %d", size, direct, sourcesPerRegion)
		}
	}
}

func TestEntriesOfASmallRegionHaveNoSources(t *testing.T) {
	entries := regionEntries("north", maxDirectEntries)
	for id, entry := range regionEntries("south", 20) {
		entries[id] = entry
	}
	for id := range regionEntries("north", maxDirectEntries) {
		if got := Sources(id, "north", entries); got != nil {
			t.Errorf("%s follows %v, want nobody", id, got)
		}
	}
	if Followed("north", entries) || !Followed("south", entries) {
		t.Error("got the wrong regions followed, want the large one")
	}
}

// A change must be in force within its bound although all sources of a region
// fail right after their last proof: the age at which an entry asks the store
// itself, and a call, fit in. And no source in health makes the others do so.
func TestTrustLeavesTimeToReadTheStore(t *testing.T) {
	for _, apply := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 9 * time.Second} {
		if got, most := Trust(apply), apply-500*time.Millisecond; got > most {
			t.Errorf("bound %v: trust %v, want at most %v", apply, got, most)
		}
		if got, most := WatchWait(apply, true), Trust(apply)-400*time.Millisecond; got > most {
			t.Errorf("bound %v: a source waits %v, want at most %v", apply, got, most)
		}
	}
}
