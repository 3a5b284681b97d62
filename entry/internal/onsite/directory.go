package onsite

import (
	"sort"
	"time"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/site"
)

const (
	// nearEnough is the entries of a caller's own failure domain that are
	// enough for it: with one alone its loss would hit all of them.
	minLocalEntries = 2
	// maxAddresses bounds an answer.
	maxAddresses = 64
)

// directory answers which entries a caller should use.
type directory struct {
	state *site.State
	self  site.Entry
	id    string
	// open reports whether this entry itself takes callers.
	acceptsCallers func() bool
	// keep returns how long callers should keep an answer.
	ttl func() time.Duration
}

// choose returns the entries near the caller, or all where too few are near.
func (d *directory) selectAddresses(place platform.Place) ([]string, time.Duration) {
	entries := d.state.Entries()
	delete(entries, d.id)
	if d.acceptsCallers() {
		entries[d.id] = d.self
	}
	var local, all []string
	for _, entry := range entries {
		all = append(all, entry.CallersAddress)
		if entry.FailureDomain == place.FailureDomain {
			local = append(local, entry.CallersAddress)
		}
	}
	selected := all
	if len(local) >= minLocalEntries {
		selected = local
	}
	sort.Strings(selected)
	return selected[:min(maxAddresses, len(selected))], d.ttl()
}
