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

// heldBytes returns the number of bytes in both maps, independently of usedBytes.
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

// TestMemoryStoreStaysWithinCapacity checks random sequences of operations: the bytes held
// match the count and fit the capacity, and a pending chunk is never evicted.
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
				t.Fatalf("got %d bytes held, %d counted, %d copies with %d entries in their order, want at most %d bytes", got, store.usedBytes, len(store.copies), len(store.copyOrder), store.capacity)
			}
			for sum := range pending {
				if _, ok := store.get(sum); !ok {
					t.Fatalf("got pending chunk %d lost, want it kept", sum[0])
				}
			}
		}
	})
}

// Guards against a host that fetches corrupted staged chunks again from peers, whose links
// are saturated, although it has copies in memory. It happened when 6 % of the staged chunks
// on a third of the hosts were corrupted during a rollout. The chunk read back must still
// come from the staging area, never from the copy.
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
		engine.CorruptChunk(1)
		data, err := stage.readBack(t.Context(), man.ChunkHashes[1])
		if err != nil {
			t.Fatal(err)
		}
		if got, want := bytes.Equal(data, chunks[1]), capacity > 0; got != want {
			t.Errorf("memory for %d bytes: got an intact chunk %v, want %v", capacity, got, want)
		}
		if got, want := engine.HasStaged(chunks), capacity > 0; got != want {
			t.Errorf("memory for %d bytes: got an intact version staged %v, want %v", capacity, got, want)
		}
	}
}
