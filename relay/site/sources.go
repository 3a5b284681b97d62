package site

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
)

const (
	// maxDirectEntries is the number of entries in a region up to which each watches the
	// store itself: following one another would save few calls and make their data older.
	maxDirectEntries = 4
	// sourcesPerRegion is the number of entries of a larger region that watch the store.
	// If one is cut off from it or hangs, the other entries still have another.
	sourcesPerRegion = 2
	// trustMargin is the part of the bound on applying a change that is reserved for an
	// entry that finds its sources' data too old: a call to the store and its network delay.
	trustMargin = 600 * time.Millisecond
	// minTrust is the lower limit of MaxSourceAge.
	minTrust = 800 * time.Millisecond
	// watchMargin is the age that a source's data gains on its way to the other entries:
	// one request between two entries, and scheduling delays.
	watchMargin = 500 * time.Millisecond
	// directMargin is the part of the bound that is reserved for applying a change in an entry that
	// watches the store for itself alone.
	directMargin = 100 * time.Millisecond
	// minWatchWait is the lower limit of a watch timeout and so bounds the calls.
	minWatchWait = 300 * time.Millisecond
)

// Sources returns the entries that the entry self follows instead of the store, or nil if it
// watches the store itself. A configuration then crosses a link between regions once per source
// and not once per entry.
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

// Followed reports whether a region is so large that some of its entries follow others.
func Followed(region string, entries map[string]Entry) bool {
	return len(reachable(region, entries)) > maxDirectEntries
}

// reachable returns the ids of the region's entries that others can follow.
func reachable(region string, entries map[string]Entry) []string {
	var ids []string
	for id, entry := range entries {
		if entry.Region == region && entry.ControlAddress != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// MaxSourceAge returns the age up to which data from other entries is fresh enough, given the bound
// within which a change must apply.
func MaxSourceAge(apply time.Duration) time.Duration { return max(minTrust, apply-trustMargin) }

// MaxLostSourceAge is MaxSourceAge for an entry whose sources cannot reach the store. They will send
// nothing newer, and all their followers then read the store at the same moment, so that an answer
// takes longer over a link between regions.
func MaxLostSourceAge(apply time.Duration) time.Duration { return MaxSourceAge(apply) / 2 }

// WatchWait returns the timeout of a watch, given the bound within which a change must apply, the age of
// the data and the time that the answer may take. The data must be proven again before it is older than
// the bound. If other entries follow this one, the timeout is shorter.
func WatchWait(apply time.Duration, followed bool, age, answer time.Duration) time.Duration {
	limit := apply - directMargin
	if followed {
		limit = MaxSourceAge(apply) - watchMargin
	}
	return min(watchWait, max(minWatchWait, limit-age-answer))
}
