package report

import (
	"slices"

	"comfreyrelay.example/agent/internal/engine"
)

// maxPrefixes bounds the prefixes of one report.
const maxPrefixes = 64

// prefixes is what the engine's cache events say of its prompt prefixes, newest
// first. Events come late and with gaps, so an entry may be wrong: it is a hint.
type prefixes struct {
	hashes    []uint64 // at most maxPrefixes, without doubles
	lastEvent uint64   // number of the last event seen
}

func (p *prefixes) apply(events []engine.CacheEvent, next uint64) {
	for _, event := range events {
		hash, ok := event.Hash()
		if !ok {
			continue
		}
		p.hashes = slices.DeleteFunc(p.hashes, func(held uint64) bool { return held == hash })
		if event.Kind == engine.Stored {
			p.hashes = slices.Insert(p.hashes, 0, hash)
		}
	}
	p.hashes = p.hashes[:min(len(p.hashes), maxPrefixes)]
	p.lastEvent = next
}

// reset forgets everything: new weights make cached prefixes worthless, and an
// engine that restarted counts its events from the start.
func (p *prefixes) reset() { *p = prefixes{} }
