package onsite

import (
	"sort"
	"time"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/site"
)

const (
	// minLocalEntries is how many entries a caller's failure domain must have for an answer that
	// lists only these: with a single entry, its failure would affect all callers of the domain.
	minLocalEntries = 2
	// maxAddresses limits the number of addresses in an answer.
	maxAddresses = 64
)

// directory selects the entries that a caller should use.
type directory struct {
	state *site.State
	self  site.Entry
	id    string
	// acceptsCallers reports whether this entry itself accepts callers.
	acceptsCallers func() bool
	// ttl returns how long callers may cache an answer.
	ttl func() time.Duration
}

// selectAddresses returns the entries in the caller's failure domain, or all entries if the
// domain has too few, and how long the answer may be cached.
func (d *directory) selectAddresses(place platform.CallerLocation) ([]string, time.Duration) {
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
