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

// Guards against loading a corrupted chunk (rule WHOLE of the platform): an endpoint sends the answer
// to an earlier read of the chunk once more, and the verification before a load takes it for its own.
func TestVerificationIgnoresLeftoverAnswer(t *testing.T) {
	engine := platformtest.NewEngine(testModel, 1, nil)
	extra := platformtest.NewExtraAnswers(1)
	server := httptest.NewUnstartedServer(extra.Handler(engine))
	server.Listener, server.Config.ConnContext = extra.Listen(server.Listener), extra.ConnContext
	server.Start()
	defer server.Close()
	chunk := platformtest.Chunks(2, 1, testSize)[0]
	sum := sha256.Sum256(chunk)
	guidance := newGuidanceStore()
	guidance.receive(time.Now(), &wire.Guidance{Wanted: []*wire.WantedWeights{{Model: testModel, Version: 2}}})
	const noMemory = 0
	stage := newStage(platform.NewEngine(server.URL, newEngineHTTPClient()), guidance, noMemory)
	stage.verifier = platform.NewEngine(server.URL, newEngineHTTPClient())
	stage.manifest = func() *wire.Manifest { return &wire.Manifest{ChunkHashes: [][]byte{sum[:]}} }
	if err := stage.put(t.Context(), sum[:], chunk); err != nil {
		t.Fatal(err)
	}
	for _, read := range []func() ([]byte, error){
		func() ([]byte, error) { return stage.get(t.Context(), sum[:]) },
		func() ([]byte, error) { return stage.readBack(t.Context(), sum[:]) },
	} {
		if data, err := read(); err != nil || !bytes.Equal(data, chunk) {
			t.Fatalf("got %d bytes and error %v, want the chunk", len(data), err)
		}
	}
	engine.CorruptChunk(0)
	extra.Set(1, platformtest.ExtraNamed)
	stage.beginVerification()
	if data, err := stage.readBack(t.Context(), sum[:]); err == nil && bytes.Equal(data, chunk) {
		t.Error("got the chunk as it was, want it as it is staged now")
	}
}
