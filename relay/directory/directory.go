// Package directory answers callers who ask which entry to use.
package directory

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Spares is how many further entries an answer names.
const Spares = 2

// Nearness weighs an entry by its distance from the one that answers: a caller
// reaches the near one in a millisecond and is likely to have asked there.
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

// Choice is an answer.
type Choice struct {
	Use    Entry
	Spares []Entry
}

// Choose picks among the entries for the caller by weighted rendezvous hash:
// the same caller gets the same entry while the weights stand, different
// callers spread by weight, and when an entry goes only its callers move.
// Entries that drain or are lost must not be passed in. found is false where
// there is none.
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

// loadWeight falls from 2 for an idle entry over 1 for an average one towards 0.
func loadWeight(entry Entry, mean float64) float64 {
	return 2 / (1 + (float64(entry.InFlight)+1)/(mean+1))
}

// rendezvous returns the weighted score of Schindelhauer and Schomaker (2005):
// the highest of the entries' scores is each one's with a probability
// proportional to its weight.
func rendezvous(caller, entry string, weight float64) float64 {
	hash := xxhash.Sum64String(caller + "\x00" + entry)
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
