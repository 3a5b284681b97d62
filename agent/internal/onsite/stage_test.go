package onsite

import (
	"bytes"
	"crypto/sha256"
	"net/http/httptest"
	"testing"
	"time"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/wire"
)

// Guards against an engine that loads a mixture of two versions: version 3 is fetched while
// version 2 is staged and waits for its turn to load. The staging area holds one version, and
// chunks of the next one would overwrite it at the same indexes.
func TestNextVersionStaysInMemory(t *testing.T) {
	engine := platformtest.NewEngine(testModel, 1, nil)
	server := httptest.NewServer(engine)
	defer server.Close()
	chunks := map[uint64][][]byte{2: platformtest.Chunks(2, 3, testSize), 3: platformtest.Chunks(3, 3, testSize)}
	manifests := map[uint64]*wire.Manifest{2: {}, 3: {}}
	for version, list := range chunks {
		for _, chunk := range list {
			sum := sha256.Sum256(chunk)
			manifests[version].ChunkHashes = append(manifests[version].ChunkHashes, sum[:])
		}
	}
	guidance := newGuidanceStore()
	guidance.receive(time.Now(), &wire.Guidance{Wanted: []*wire.WantedWeights{{Model: testModel, Version: 3}}})
	stage := newStage(platform.NewEngine(server.URL, server.Client()), guidance, 2*testSize)
	wanted := uint64(2)
	stage.manifest = func() *wire.Manifest { return manifests[wanted] }
	put := func(version uint64, i int) error {
		return stage.put(t.Context(), manifests[version].ChunkHashes[i], chunks[version][i])
	}
	for _, test := range []struct {
		version uint64
		index   int
		fits    bool
	}{{2, 0, true}, {3, 0, true}, {2, 1, true}, {3, 1, true}, {2, 2, true}, {3, 2, false}} {
		if err := put(test.version, test.index); (err == nil) != test.fits {
			t.Errorf("version %d, chunk %d: got error %v, want it accepted: %v", test.version, test.index, err, test.fits)
		}
	}
	if !engine.HasStaged(chunks[2]) {
		t.Error("got other chunks staged than those of version 2")
	}
	if data, err := stage.get(t.Context(), manifests[3].ChunkHashes[1]); err != nil || !bytes.Equal(data, chunks[3][1]) {
		t.Errorf("got %d bytes and error %v, want the chunk that is pending in memory", len(data), err)
	}
	wanted = 3
	if err := stage.flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := put(3, 2); err != nil {
		t.Fatal(err)
	}
	if !engine.HasStaged(chunks[3]) {
		t.Error("got other chunks staged than those of version 3")
	}
	if got := len(stage.memory.pending); got != 0 {
		t.Errorf("got %d chunks pending in memory, want none", got)
	}
	if got := stage.memory.heldBytes(); got > 2*testSize || got != stage.memory.usedBytes {
		t.Errorf("got %d bytes in memory, %d counted, want these equal and within the capacity", got, stage.memory.usedBytes)
	}
}

// Guards against all engines loading the second of two versions at the same time, which made
// a third of all answers late. When two versions are declared in quick succession, hosts load
// the first one in turns. If only one version is fetched at a time, they begin to fetch the
// second one after their turn, and the hosts that should download its chunks from the origin
// come last.
func TestSecondVersionIsFetchedWhileTheFirstAwaitsLoading(t *testing.T) {
	s := newTestSite(t, 1, 1, 1, 1)
	for version := uint64(2); version <= 3; version++ {
		s.origin.Add(version, platformtest.Chunks(version, testChunks, testSize))
	}
	s.sendGuidance(2, 2)
	s.awaitFirstLoad(t)
	s.sendGuidance(3, 3)
	s.awaitVersion(t, 3)
	s.checkLoads(t)
	both := 0
	for _, engine := range s.engines {
		if len(engine.Loads()) > 1 {
			both++
		}
	}
	if both == 0 {
		t.Error("got no engine that loaded both versions, so the test is inconclusive")
	}
}

// Guards against a host that goes back to the version before the newest, offers its peers
// chunks that it no longer has, and counts itself as nearly complete. Chunks of version 3
// overwrite those of version 2, then version 3 becomes unavailable and version 2 is fetched
// again. Nothing reported the chunks that were overwritten.
func TestOverwrittenChunkIsReportedLost(t *testing.T) {
	engine := platformtest.NewEngine(testModel, 1, nil)
	server := httptest.NewServer(engine)
	defer server.Close()
	chunks := map[uint64][][]byte{2: platformtest.Chunks(2, 3, testSize), 3: platformtest.Chunks(3, 3, testSize)}
	manifests := map[uint64]*wire.Manifest{2: {}, 3: {}}
	for version, list := range chunks {
		for _, chunk := range list {
			sum := sha256.Sum256(chunk)
			manifests[version].ChunkHashes = append(manifests[version].ChunkHashes, sum[:])
		}
	}
	guidance := newGuidanceStore()
	guidance.receive(time.Now(), &wire.Guidance{Wanted: []*wire.WantedWeights{{Model: testModel, Version: 3}}})
	stage := newStage(platform.NewEngine(server.URL, server.Client()), guidance, 0)
	wanted := uint64(2)
	stage.manifest = func() *wire.Manifest { return manifests[wanted] }
	var lost [][]byte
	stage.onLost = func(hash []byte) { lost = append(lost, hash) }
	put := func(version uint64, i int) {
		wanted = version
		if err := stage.put(t.Context(), manifests[version].ChunkHashes[i], chunks[version][i]); err != nil {
			t.Fatal(err)
		}
	}
	put(2, 0)
	put(2, 1)
	put(2, 1)
	if len(lost) != 0 {
		t.Errorf("got %d chunks lost while one version was staged, want none", len(lost))
	}
	put(3, 1)
	if len(lost) != 1 || !bytes.Equal(lost[0], manifests[2].ChunkHashes[1]) {
		t.Errorf("got chunks %x lost, want only the overwritten one", lost)
	}
}
