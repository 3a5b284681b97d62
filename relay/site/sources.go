package site

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
)

const (
	// maxDirectEntries is the entries of a region up to which each follows the store itself:
	// following one another would save few calls, and what is known would be older.
	maxDirectEntries = 4
	// sourcesPerRegion is the entries of a larger region that follow the store.
	// One may be cut off from it or stand still; the others still have one.
	sourcesPerRegion = 2
	// trustMargin is the part of the time for a change that is left to those who
	// find that the others' knowledge is old: a call of the store and its way.
	trustMargin = 600 * time.Millisecond
	// minTrust keeps the least of it.
	minTrust = 800 * time.Millisecond
	// watchMargin is what the age of a source's knowledge is on its way to the
	// others: a request's time between two, and turns at processors.
	watchMargin = 500 * time.Millisecond
	// minWatchWait bounds the calls of a source.
	minWatchWait = 300 * time.Millisecond
)

// Sources returns the entries that the entry follows in place of the store; none
// where it follows the store itself. A configuration then crosses a link between regions once for
// each source and not once for each entry.
func Sources(self, region string, entries map[string]Entry) []string {
	if !Followed(region, entries) {
		return nil
	}
	chosen := rendezvous.Top("store/"+region, reachable(region, entries), sourcesPerRegion)
	if slices.Contains(chosen, self) {
		return nil
	}
	return chosen
}

// Followed reports whether a region is large enough that some of its entries
// follow others.
func Followed(region string, entries map[string]Entry) bool {
	return len(reachable(region, entries)) > maxDirectEntries
}

// reachable returns the ids of a region's entries that can be followed.
func reachable(region string, entries map[string]Entry) []string {
	var ids []string
	for id, entry := range entries {
		if entry.Region == region && entry.ControlAddress != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// Trust returns the age up to which others' knowledge is enough where a change
// must be in force within the bound.
func Trust(apply time.Duration) time.Duration { return max(minTrust, apply-trustMargin) }

// TrustOfLost is Trust where those who follow the store for this entry lost it: nothing newer
// will come from them, and all to whom they send ask the store at the same moment, so that an
// answer takes longer over a link between regions.
func TrustOfLost(apply time.Duration) time.Duration { return Trust(apply) / 2 }

// WatchWait returns how long a watch waits where others may follow this entry.
func WatchWait(apply time.Duration, followed bool) time.Duration {
	if !followed {
		return watchWait
	}
	return min(watchWait, max(minWatchWait, Trust(apply)-watchMargin))
}
