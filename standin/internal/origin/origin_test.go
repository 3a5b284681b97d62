package origin

import (
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

func start(t *testing.T, opts Options) (*Service, string) {
	t.Helper()
	opts.Clock = clockwork.NewRealClock()
	service := New(opts)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	return service, server.URL
}

func fetch(t *testing.T, url string) ([]byte, int) {
	t.Helper()
	answer, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return body, answer.StatusCode
}

func publish(t *testing.T, service *Service, pub Publication) Published {
	t.Helper()
	published, err := service.Publish(pub)
	if err != nil {
		t.Fatal(err)
	}
	return published
}

func fetchManifest(t *testing.T, url, version string) *wire.Manifest {
	t.Helper()
	encoded, _ := fetch(t, url+"/manifests/"+version)
	man, err := manifest.Decode(encoded, version)
	if err != nil {
		t.Fatal(err)
	}
	return man
}

// TestVersions checks that chunks match the manifest, that equal publications give
// the same version, and that a version derived from another shares its unchanged
// chunks.
func TestVersions(t *testing.T) {
	service, url := start(t, Options{})
	pub := Publication{Model: "parcel", Mib: 1.1, ChunkKib: 128, Seed: 1}
	first := publish(t, service, pub)
	if again := publish(t, service, pub); again != first {
		t.Errorf("got %v for an equal publication, want %v", again, first)
	}
	man := fetchManifest(t, url, first.Version)
	for i, hash := range man.GetChunkHashes() {
		chunk, _ := fetch(t, url+"/chunks/"+hex.EncodeToString(hash))
		if !manifest.Verify(chunk, hash) || len(chunk) != manifest.ChunkSize(man, i) {
			t.Errorf("got %d bytes that do not verify, want chunk %d", len(chunk), i)
		}
	}
	next := publish(t, service, Publication{Model: "parcel", Seed: 2, FromVersion: first.Version, ChangeFraction: 0.2})
	shared := 0
	for i, hash := range fetchManifest(t, url, next.Version).GetChunkHashes() {
		if string(hash) == string(man.GetChunkHashes()[i]) {
			shared++
		}
	}
	if want := first.Chunks - 2; shared != want {
		t.Errorf("got %d chunks in common of %d, want %d", shared, first.Chunks, want)
	}
	if got := service.recorder.report(service.order).Versions[0].Copies; got != 1 {
		t.Errorf("got %v copies in the ledger, want 1", got)
	}
}

// TestFaults checks that each fault setting takes effect and that the ledger counts
// corrupted and refused calls.
func TestFaults(t *testing.T) {
	service, url := start(t, Options{})
	published := publish(t, service, Publication{Model: "parcel", Mib: 0.25, ChunkKib: 128, Seed: 1})
	hash := fetchManifest(t, url, published.Version).GetChunkHashes()[0]
	at := url + "/chunks/" + hex.EncodeToString(hash)

	service.faults.Set(Faults{CorruptFraction: 1})
	if chunk, _ := fetch(t, at); manifest.Verify(chunk, hash) {
		t.Error("got a whole chunk, want a corrupt one")
	}
	service.faults.Set(Faults{CorruptManifest: true})
	encoded, _ := fetch(t, url+"/manifests/"+published.Version)
	if _, err := manifest.Decode(encoded, published.Version); err == nil {
		t.Error("got a manifest that matches its version, want a corrupt one")
	}
	service.faults.Set(Faults{Down: true})
	if _, got := fetch(t, at); got != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want %d", got, http.StatusServiceUnavailable)
	}
	service.faults.Set(Faults{Refuse: true})
	if _, got := fetch(t, at); got != http.StatusTooManyRequests {
		t.Errorf("got status %d, want %d", got, http.StatusTooManyRequests)
	}
	ledger := service.recorder.report(service.order)
	if ledger.Corrupted != 1 || ledger.Refused != 1 {
		t.Errorf("got %d corrupted, %d refused, want 1 each", ledger.Corrupted, ledger.Refused)
	}
}
