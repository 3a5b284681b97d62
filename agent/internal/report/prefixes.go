package report

import (
	"slices"

	"comfreyrelay.example/agent/internal/engine"
)

// maxPrefixes bounds the number of prefixes in a report.
const maxPrefixes = 64

// prefixes tracks the prompt prefixes in the engine's cache, newest first. The
// cache events that it is built from arrive late and with gaps, so an element
// may be wrong: it is only a hint.
type prefixes struct {
	hashes    []uint64 // at most maxPrefixes, without duplicates
	lastEvent uint64   // number of the last event read
}

func (p *prefixes) apply(events []engine.CacheEvent, next uint64) {
	for _, event := range events {
		hash, ok := event.Hash()
		if !ok {
			continue
		}
		p.hashes = slices.DeleteFunc(p.hashes, func(held uint64) bool { return held == hash })
		if event.Kind == engine.CacheStored {
			p.hashes = slices.Insert(p.hashes, 0, hash)
		}
	}
	p.hashes = p.hashes[:min(len(p.hashes), maxPrefixes)]
	p.lastEvent = next
}

// reset discards all state: new weights invalidate cached prefixes, and a
// restarted engine numbers its events from the start again.
func (p *prefixes) reset() { *p = prefixes{} }
