package onsite

import (
	"bytes"
	"crypto/sha256"
	"net/http/httptest"
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/wire"
)

// held returns the bytes that are really kept.
func (m *memoryStore) heldBytes() int {
	bytes := 0
	for _, data := range m.pending {
		bytes += len(data)
	}
	for _, data := range m.copies {
		bytes += len(data)
	}
	return bytes
}

// TestMemoryKeepsItsBound: whatever comes and goes, the bytes kept are as counted and
// fit, and a chunk that waits is not lost to a copy.
func TestMemoryStoreStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore(rapid.IntRange(0, 50).Draw(t, "room"))
		pending := map[digest]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sum := digest{byte(rapid.IntRange(0, 9).Draw(t, "chunk"))}
			data := make([]byte, int(sum[0])+1)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if store.addPending(sum, data) == nil {
					pending[sum] = true
				}
			case 1:
				store.markStaged(sum, data)
				delete(pending, sum)
			case 2:
				store.drop(sum)
				delete(pending, sum)
			}
			if got := store.heldBytes(); got != store.usedBytes || got > store.capacity || len(store.copyOrder) != len(store.copies) {
				t.Fatalf("got %d bytes kept, %d counted, %d copies in %d places, want at most %d", got, store.usedBytes, len(store.copies), len(store.copyOrder), store.capacity)
			}
			for sum := range pending {
				if _, ok := store.get(sum); !ok {
					t.Fatalf("got chunk %d lost that waits", sum[0])
				}
			}
		}
	})
}

// Symptom: a host whose staged weights turned bad draws them again from others, whose
// links are full. Sequence: six in a hundred staged chunks of a third of the hosts turn
// bad while a version rolls out. Cause: what this process had in memory was not asked.
// What is read back is what lies beside the engine, never the copy.
func TestCorruptedStagedChunkIsRestagedFromMemory(t *testing.T) {
	engine := platformtest.NewEngine(testModel, 1, nil)
	server := httptest.NewServer(engine)
	defer server.Close()
	chunks := platformtest.Chunks(2, 3, testSize)
	man := &wire.Manifest{}
	for _, chunk := range chunks {
		sum := sha256.Sum256(chunk)
		man.ChunkHashes = append(man.ChunkHashes, sum[:])
	}
	guidance := newGuidanceStore()
	guidance.receive(time.Now(), &wire.Guidance{Wanted: []*wire.WantedWeights{{Model: testModel, Version: 2}}})
	for _, capacity := range []int{0, 3 * testSize} {
		stage := newStage(platform.NewEngine(server.URL, server.Client()), guidance, capacity)
		stage.manifest = func() *wire.Manifest { return man }
		for i, hash := range man.ChunkHashes {
			if err := stage.put(t.Context(), hash, chunks[i]); err != nil {
				t.Fatal(err)
			}
		}
		engine.Spoil(1)
		data, err := stage.readBack(t.Context(), man.ChunkHashes[1])
		if err != nil {
			t.Fatal(err)
		}
		if got, want := bytes.Equal(data, chunks[1]), capacity > 0; got != want {
			t.Errorf("room for %d bytes: got the chunk whole %v, want %v", capacity, got, want)
		}
		if got, want := engine.Lies(chunks), capacity > 0; got != want {
			t.Errorf("room for %d bytes: got the version whole beside the engine %v, want %v", capacity, got, want)
		}
	}
}
