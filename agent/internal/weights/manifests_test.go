package weights

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/rendezvous"
	"comfreyrelay.example/relay/wire"
)

// Guards against a host that answers that it has no manifest although it will have it
// shortly. All hosts learn of a version at once and two fetch its manifest from the origin;
// the others asked those two too early, then asked hosts without the manifest, and began
// to fetch the version a second late.
func TestAwaitManifestReturnsItOnArrival(t *testing.T) {
	clock := clockwork.NewFakeClock()
	trans := newTransfer(&Manager{cfg: Config{Clock: clock}}, "v", Policy{})
	got := make(chan []byte, 1)
	go func() { got <- trans.awaitManifest(context.Background()) }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	trans.mu.Lock()
	trans.encoded = []byte("manifest")
	close(trans.manifestKnown)
	trans.mu.Unlock()
	if text := string(<-got); text != "manifest" {
		t.Errorf("got %q, want the manifest that arrived meanwhile", text)
	}
}

func TestAwaitManifestTimesOut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	trans := newTransfer(&Manager{cfg: Config{Clock: clock}}, "v", Policy{})
	got := make(chan []byte, 1)
	go func() { got <- trans.awaitManifest(context.Background()) }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(manifestWaitTimeout)
	select {
	case text := <-got:
		if text != nil {
			t.Errorf("got %q, want nothing", text)
		}
	case <-time.After(10 * time.Second):
		t.Error("still waits after manifestWaitTimeout")
	}
}

// blockingHost counts concurrent requests for a manifest and answers them when released.
type blockingHost struct {
	wire.DRPCHostUnimplementedServer
	active    atomic.Int32
	requested chan int // requests waiting, including the new one
	release   chan struct{}
	encoded   []byte
}

func (h *blockingHost) Chunk(_ *wire.ChunkRequest, stream wire.DRPCHost_ChunkStream) error {
	defer h.active.Add(-1)
	h.requested <- int(h.active.Add(1))
	select {
	case <-h.release:
	case <-stream.Context().Done():
		return stream.Context().Err()
	}
	return stream.Send(&wire.ChunkData{Size: uint32(len(h.encoded)), Data: h.encoded})
}

// Guards against requesting the manifest from one peer at a time. After a power loss 88
// hosts started together and three fetched the manifest from the origin. Each of the others
// asked one host, waited there in vain and reached a host with the manifest only at the
// third or fourth request, so that engines got weights already stored on their own host
// 1.5 to 3.4 s after the first few engines.
func TestManifestIsRequestedFromSeveralPeersInParallel(t *testing.T) {
	fleet := newTestFleet(t, 0)
	version := fleet.origin.publish(t, randomData(1, 4))
	blocking := &blockingHost{requested: make(chan int, 64), release: make(chan struct{}), encoded: fleet.origin.objects["/manifests/"+version]}
	// The origin refuses all requests, and the new host is not an owner of the manifest.
	fleet.origin.setFault(func(_ string, writer http.ResponseWriter) bool {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	mux := drpcmux.New()
	if err := wire.DRPCRegisterHost(mux, blocking); err != nil {
		t.Fatal(err)
	}
	for i := range 2 * manifestOwnerCount {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = peer.Serve(t.Context(), lis, nil, mux, slog.New(slog.DiscardHandler)) }()
		fleet.listed = append(fleet.listed, &wire.Node{
			Id: fmt.Sprint("slow-", i), Role: peer.RoleAgent, Region: "zona-uno", ControlAddress: lis.Addr().String(),
		})
	}
	var ids []string
	for _, node := range fleet.listed {
		ids = append(ids, node.GetId())
	}
	id := "host"
	for rendezvous.Rank("manifest/"+version, id, ids) < manifestOwnerCount {
		id += "x"
	}
	host := fleet.add(id, &memoryStore{chunks: map[string][]byte{}}, nil)
	host.setTargets(version)
	maxActive := 0
	for range parallelManifestRequests {
		maxActive = max(maxActive, <-blocking.requested)
	}
	close(blocking.release)
	if got, want := maxActive, parallelManifestRequests; got != want {
		t.Errorf("got %d peers asked at once, want %d", got, want)
	}
	await(t, "the manifest is known", func() bool { return host.mgr.Manifest(version) != nil })
}
