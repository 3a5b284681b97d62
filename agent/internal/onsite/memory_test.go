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
func (m *memory) held() int {
	bytes := 0
	for _, data := range m.waiting {
		bytes += len(data)
	}
	for _, data := range m.copies {
		bytes += len(data)
	}
	return bytes
}

// TestMemoryKeepsItsBound: whatever comes and goes, the bytes kept are as counted and
// fit, and a chunk that waits is not lost to a copy.
func TestMemoryKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kept := newMemory(rapid.IntRange(0, 50).Draw(t, "room"))
		waits := map[digest]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			sum := digest{byte(rapid.IntRange(0, 9).Draw(t, "chunk"))}
			data := make([]byte, int(sum[0])+1)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				if kept.wait(sum, data) == nil {
					waits[sum] = true
				}
			case 1:
				kept.staged(sum, data)
				delete(waits, sum)
			case 2:
				kept.drop(sum)
				delete(waits, sum)
			}
			if got := kept.held(); got != kept.bytes || got > kept.room || len(kept.order) != len(kept.copies) {
				t.Fatalf("got %d bytes kept, %d counted, %d copies in %d places, want at most %d", got, kept.bytes, len(kept.copies), len(kept.order), kept.room)
			}
			for sum := range waits {
				if _, ok := kept.get(sum); !ok {
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
func TestChunkThatTurnedBadIsLaidAnewFromMemory(t *testing.T) {
	engine := platformtest.NewEngine(testModel, 1, nil)
	host := httptest.NewServer(engine)
	defer host.Close()
	chunks := platformtest.Chunks(2, 3, testSize)
	man := &wire.Manifest{}
	for _, chunk := range chunks {
		sum := sha256.Sum256(chunk)
		man.ChunkHashes = append(man.ChunkHashes, sum[:])
	}
	guidance := newGuide()
	guidance.receive(time.Now(), &wire.Guidance{Wanted: []*wire.WantedWeights{{Model: testModel, Version: 2}}})
	for _, room := range []int{0, 3 * testSize} {
		kept := newStage(platform.NewEngine(host.URL, host.Client()), guidance, room)
		kept.man = func() *wire.Manifest { return man }
		for i, hash := range man.ChunkHashes {
			if err := kept.put(t.Context(), hash, chunks[i]); err != nil {
				t.Fatal(err)
			}
		}
		engine.Spoil(1)
		data, err := kept.readBack(t.Context(), man.ChunkHashes[1])
		if err != nil {
			t.Fatal(err)
		}
		if got, want := bytes.Equal(data, chunks[1]), room > 0; got != want {
			t.Errorf("room for %d bytes: got the chunk whole %v, want %v", room, got, want)
		}
		if got, want := engine.Lies(chunks), room > 0; got != want {
			t.Errorf("room for %d bytes: got the version whole beside the engine %v, want %v", room, got, want)
		}
	}
}
