// Package directory selects the entry that a caller should use.
package directory

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Spares is the maximum number of alternative entries in a Choice.
const Spares = 2

// Weights of an entry by its distance from the entry that answers. A caller
// reaches a nearby entry in a millisecond, and has probably asked a nearby one.
const (
	weightSameDomain  = 2.0
	weightSameRegion  = 1.5
	weightOtherRegion = 1.0
)

// Entry is one entry that callers may be sent to.
type Entry struct {
	ID            string
	Incarnation   string
	Address       string // for callers, "ip:port"
	Region        string
	FailureDomain string
	InFlight      int // requests in progress
}

// Choice holds the entry to use and alternatives, best first.
type Choice struct {
	Use    Entry
	Spares []Entry
}

// Choose selects entries for caller by weighted rendezvous hashing: a caller gets
// the same entry while the weights are unchanged, callers are distributed by
// weight, and when an entry is removed only its callers move. Entries that are
// draining or lost must not be passed in. found is false if entries is empty.
func Choose(self Entry, caller string, entries []Entry) (choice Choice, found bool) {
	if len(entries) == 0 {
		return Choice{}, false
	}
	mean := meanInFlight(entries)
	type scored struct {
		entry Entry
		score float64
	}
	ranked := make([]scored, 0, len(entries))
	for _, entry := range entries {
		weight := distanceWeight(self, entry) * loadWeight(entry, mean)
		ranked = append(ranked, scored{entry, rendezvous(caller, entry.ID, weight)})
	}
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].score != ranked[j].score {
			return ranked[i].score > ranked[j].score
		}
		return ranked[i].entry.ID < ranked[j].entry.ID
	})
	choice.Use = ranked[0].entry
	for _, next := range ranked[1:min(len(ranked), 1+Spares)] {
		choice.Spares = append(choice.Spares, next.entry)
	}
	return choice, true
}

func meanInFlight(entries []Entry) float64 {
	total := 0
	for _, entry := range entries {
		total += entry.InFlight
	}
	return float64(total) / float64(len(entries))
}

// distanceWeight returns the weight of entry by its distance from self.
func distanceWeight(self, entry Entry) float64 {
	switch {
	case entry.FailureDomain == self.FailureDomain:
		return weightSameDomain
	case entry.Region == self.Region:
		return weightSameRegion
	default:
		return weightOtherRegion
	}
}

// loadWeight returns the weight of entry by its load: it falls towards 0 as the
// load grows, is 1 at the mean and below 2 for an idle entry.
func loadWeight(entry Entry, mean float64) float64 {
	return 2 / (1 + (float64(entry.InFlight)+1)/(mean+1))
}

// rendezvous returns the weighted score of Schindelhauer and Schomaker (2005):
// each entry has the highest score with a probability proportional to its weight.
func rendezvous(caller, entry string, weight float64) float64 {
	hash := xxhash.Sum64String(caller + "\x00" + entry)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
