package report

import (
	"slices"
	"strconv"
	"testing"

	"comfreyrelay.example/agent/internal/engine"
)

// Guards against a report that grows without bound or names evicted prefixes.
// Events arrive duplicated, late and with gaps, so the list must not only append.
func TestPrefixes(t *testing.T) {
	var held prefixes
	event := func(hash uint64, kind string) engine.CacheEvent {
		return engine.CacheEvent{Prefix: strconv.FormatUint(hash, 10), Kind: kind}
	}
	held.apply([]engine.CacheEvent{
		event(1, engine.CacheStored), event(2, engine.CacheStored), event(1, engine.CacheStored),
		event(3, engine.CacheEvicted), event(2, engine.CacheEvicted), {Prefix: "nonsense", Kind: engine.CacheStored},
	}, 9)
	if got, want := held.hashes, []uint64{1}; !slices.Equal(got, want) || held.lastEvent != 9 {
		t.Errorf("got %v after %d, want %v after 9", got, held.lastEvent, want)
	}
	for i := range uint64(200) {
		held.apply([]engine.CacheEvent{event(i, engine.CacheStored)}, i)
	}
	if got, want := len(held.hashes), maxPrefixes; got != want || held.hashes[0] != 199 {
		t.Errorf("got %d prefixes, newest %d, want %d, newest 199", got, held.hashes[0], want)
	}
}
