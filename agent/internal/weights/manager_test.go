package weights

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

func TestFleetFetchesWholeVersion(t *testing.T) {
	fleet := newTestFleet(t, 8)
	data := randomData(1, 64)
	version := fleet.origin.publish(t, data)
	fleet.setTargets(version)
	fleet.awaitWhole(version)
	for _, host := range fleet.hosts {
		host.store.requireData(t, data)
	}
	got := float64(fleet.origin.chunkBytesSent()) / float64(len(data))
	t.Logf("copies=%.3f", got)
	if want := 1.3; got > want {
		t.Errorf("got %.3f copies from the origin, want at most %.2f", got, want)
	}
}

// Guards against chunks stored by version instead of by hash: then the fleet fetches a
// version completely from the origin although it shares half of its chunks with the
// version that the hosts already have.
func TestSharedChunksAreReused(t *testing.T) {
	fleet := newTestFleet(t, 3)
	firstData := randomData(1, 32)
	secondData := append(append([]byte(nil), firstData[:16*testChunkBytes]...), randomData(2, 16)...)
	firstVersion, secondVersion := fleet.origin.publish(t, firstData), fleet.origin.publish(t, secondData)
	fleet.setTargets(firstVersion)
	fleet.awaitWhole(firstVersion)
	before := fleet.origin.chunkBytesSent()
	fleet.setTargets(secondVersion)
	fleet.awaitWhole(secondVersion)
	fetched := fleet.origin.chunkBytesSent() - before
	if want := 20 * testChunkBytes; fetched > want {
		t.Errorf("got %d bytes from the origin for the second version, want at most %d", fetched, want)
	}
	for _, host := range fleet.hosts {
		host.store.requireData(t, secondData)
		await(t, "drop of unneeded chunks", func() bool {
			held, _ := host.store.held(t.Context())
			return len(held) == 32
		})
		if got := host.mgr.State(firstVersion).Phase(); got != Absent {
			t.Errorf("got %s for the version that is not a target any more, want %s", got, Absent)
		}
	}
}

func TestKeptVersionStaysWhole(t *testing.T) {
	fleet := newTestFleet(t, 2)
	firstData, secondData := randomData(1, 16), randomData(2, 16)
	firstVersion, secondVersion := fleet.origin.publish(t, firstData), fleet.origin.publish(t, secondData)
	fleet.setTargets(firstVersion)
	fleet.awaitWhole(firstVersion)
	for _, host := range fleet.hosts {
		host.mgr.SetTargets([]Target{{Version: secondVersion}}, Policy{Keep: []string{firstVersion}})
	}
	fleet.awaitWhole(secondVersion)
	for _, host := range fleet.hosts {
		host.store.requireData(t, firstData)
		host.store.requireData(t, secondData)
		if got := host.mgr.State(firstVersion).Phase(); got != Whole {
			t.Errorf("got %s for the kept version, want %s", got, Whole)
		}
	}
}

// Guards against a manifest that is accepted without a check of its hash, so that a host
// serves weights that were never published. The origin first answers with another manifest
// under the version's name, later with the right one.
func TestMismatchedManifestFailsUntilOriginServesRightOne(t *testing.T) {
	fleet := newTestFleet(t, 2)
	data := randomData(1, 8)
	version := fleet.origin.publish(t, data)
	fleet.origin.setFault(func(path string, writer http.ResponseWriter) bool {
		if !strings.HasPrefix(path, "/manifests/") {
			return false
		}
		encoded, _ := manifest.Encode(manifest.Build("other", manifest.KindBase, "", testChunkBytes, data))
		_, _ = writer.Write(encoded)
		return true
	})
	fleet.setTargets(version)
	for _, host := range fleet.hosts {
		await(t, "failed state", func() bool { return host.mgr.State(version).Phase() == Failed })
		if got := host.mgr.State(version).StallReason(); !strings.Contains(got, "does not match") {
			t.Errorf("got reason %q, want the mismatch", got)
		}
	}
	fleet.origin.setFault(nil)
	fleet.awaitWhole(version)
}

// Guards against stored chunks of an earlier process that are used without verification,
// so that a host has corrupt weights after a restart of its agent. One chunk in the host's
// memory is corrupted between the stop and the start of the agent.
func TestRestartVerifiesStoredChunks(t *testing.T) {
	fleet := newTestFleet(t, 2)
	data := randomData(1, 16)
	version := fleet.origin.publish(t, data)
	fleet.setTargets(version)
	fleet.awaitWhole(version)
	oldHost := fleet.hosts[0]
	oldHost.stop()
	fleet.hosts, fleet.listed = fleet.hosts[1:], fleet.listed[1:]
	for hash := range oldHost.store.chunks {
		oldHost.store.chunks[hash][0] ^= 1
		break
	}
	host := fleet.add(oldHost.node.GetId(), oldHost.store, nil)
	host.setTargets(version)
	fleet.awaitWhole(version)
	host.store.requireData(t, data)
	origin, peers, _ := host.mgr.Counters()
	if got, want := int(origin+peers), 3*testChunkBytes; got > want {
		t.Errorf("got %d bytes fetched after the restart, want at most %d", got, want)
	}
}

// Guards against bytes that are stored or passed on before they are verified, and against
// endless requests to a corrupt source, which stall the fleet. One host corrupts every
// chunk that it sends.
func TestFleetCompletesDespiteCorruptingPeer(t *testing.T) {
	fleet := newTestFleet(t, 4)
	fleet.add("host-corrupt", &memoryStore{chunks: map[string][]byte{}}, func(piece *wire.ChunkData) {
		if len(piece.Data) > 0 {
			piece.Data[0] ^= 1
		}
	})
	data := randomData(1, 48)
	version := fleet.origin.publish(t, data)
	fleet.setTargets(version)
	fleet.awaitWhole(version)
	for _, host := range fleet.hosts {
		host.store.requireData(t, data)
	}
}

// Guards against retries that ignore Retry-After, which overload an origin that has just
// recovered. The origin answers the first requests with 429, later ones normally.
func TestFleetCompletesAfterOriginRateLimit(t *testing.T) {
	fleet := newTestFleet(t, 3)
	data := randomData(1, 16)
	version := fleet.origin.publish(t, data)
	var refused atomic.Int32
	fleet.origin.setFault(func(path string, writer http.ResponseWriter) bool {
		if refused.Load() >= 6 || !strings.HasPrefix(path, "/chunks/") {
			return false
		}
		refused.Add(1)
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusTooManyRequests)
		return true
	})
	fleet.setTargets(version)
	fleet.awaitWhole(version)
	for _, host := range fleet.hosts {
		host.store.requireData(t, data)
	}
}
