package site

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// regionEntries returns entries of one region that others can follow, by id.
func regionEntries(region string, count int) map[string]Entry {
	entries := map[string]Entry{}
	for i := range count {
		id := fmt.Sprintf("%s-%d", region, i)
		entries[id] = Entry{Region: region, ControlAddress: id + ":1"}
	}
	return entries
}

// Guards against configurations that arrive seconds late because the traffic between
// regions grows with the number of entries. With 12 configurations of 53 KB a second, read
// by each of 34 entries over one link of 25 Mbit/s, a route added 3.2 s earlier got a 404.
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
			t.Errorf("%d entries: %d watch the store, want %d", size, direct, sourcesPerRegion)
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
			t.Errorf("%s follows %v, want none", id, got)
		}
	}
	if Followed("north", entries) || !Followed("south", entries) {
		t.Error("got the wrong regions followed, want only the large one")
	}
}

// A change must apply within its bound even if all sources of a region fail right after
// they last proved their data fresh: the age at which an entry reads the store itself plus
// one call must fit into the bound. Healthy sources must not cause such reads.
func TestTrustLeavesTimeToReadTheStore(t *testing.T) {
	for _, apply := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 9 * time.Second} {
		if got, most := MaxSourceAge(apply), apply-500*time.Millisecond; got > most {
			t.Errorf("bound %v: trust %v, want at most %v", apply, got, most)
		}
		if got, most := WatchWait(apply, true, 0, 0), MaxSourceAge(apply)-400*time.Millisecond; got > most {
			t.Errorf("bound %v: a source waits %v, want at most %v", apply, got, most)
		}
	}
}

// Guards against requests that are refused for a moment at each change, because the watch was so long
// that the change could not be read any more before the bound.
func TestWatchLeavesTimeForItsAnswer(t *testing.T) {
	for _, followed := range []bool{false, true} {
		for _, apply := range []time.Duration{2 * time.Second, 3 * time.Second, 9 * time.Second} {
			for _, needed := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
				for _, got := range []time.Duration{WatchWait(apply, followed, needed, 0), WatchWait(apply, followed, 0, needed)} {
					if got+needed >= apply && got > minWatchWait {
						t.Errorf("bound %v, followed %t: got a watch of %v, want less than %v", apply, followed, got, apply-needed)
					}
				}
			}
		}
	}
	if got, want := WatchWait(2*time.Second, false, 0, 0), watchWait; got != want {
		t.Errorf("got a watch of %v where answers take no time, want %v", got, want)
	}
}
