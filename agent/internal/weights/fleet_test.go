package weights

import (
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

const testChunkBytes = 16 << 10

// testOrigin serves manifests and chunks over HTTP and counts the bytes sent.
type testOrigin struct {
	mu      sync.Mutex
	objects map[string][]byte // by path
	sent    map[string]int    // bytes by path
	fault   func(path string, writer http.ResponseWriter) bool
	server  *httptest.Server
}

func newTestOrigin(t *testing.T) *testOrigin {
	origin := &testOrigin{objects: map[string][]byte{}, sent: map[string]int{}}
	origin.server = httptest.NewServer(origin)
	t.Cleanup(origin.server.Close)
	return origin
}

func (o *testOrigin) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	o.mu.Lock()
	data, ok := o.objects[req.URL.Path]
	fault := o.fault
	o.mu.Unlock()
	if fault != nil && fault(req.URL.Path, writer) {
		return
	}
	if !ok {
		http.NotFound(writer, req)
		return
	}
	n, _ := writer.Write(data)
	o.mu.Lock()
	o.sent[req.URL.Path] += n
	o.mu.Unlock()
}

// setFault sets a handler that runs before each answer and returns whether it has
// answered the request; nil removes it.
func (o *testOrigin) setFault(fault func(path string, writer http.ResponseWriter) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fault = fault
}

// publish makes the origin serve the data as a version and returns the version's name.
func (o *testOrigin) publish(t *testing.T, data []byte) string {
	t.Helper()
	man := manifest.Build("parcel", manifest.KindBase, "", testChunkBytes, data)
	encoded, err := manifest.Encode(man)
	if err != nil {
		t.Fatal(err)
	}
	version := manifest.Version(encoded)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects["/manifests/"+version] = encoded
	for i, hash := range man.GetChunkHashes() {
		start := i * testChunkBytes
		o.objects["/chunks/"+hex.EncodeToString(hash)] = data[start : start+manifest.ChunkSize(man, i)]
	}
	return version
}

// chunkBytesSent returns how many bytes of chunks the origin has sent.
func (o *testOrigin) chunkBytesSent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for path, n := range o.sent {
		if strings.HasPrefix(path, "/chunks/") {
			total += n
		}
	}
	return total
}

// memoryStore is a host's chunk store in memory.
type memoryStore struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

func (s *memoryStore) put(_ context.Context, hash, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunks[string(hash)] = bytes.Clone(data)
	return nil
}

func (s *memoryStore) get(_ context.Context, hash []byte) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.chunks[string(hash)]
	if !ok {
		return nil, failure.New(failure.NotFound, "no such chunk", "fetch it")
	}
	return bytes.Clone(data), nil
}

func (s *memoryStore) drop(_ context.Context, hash []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.chunks, string(hash))
	return nil
}

func (s *memoryStore) held(context.Context) ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all [][]byte
	for hash := range s.chunks {
		all = append(all, []byte(hash))
	}
	return all, nil
}

// requireData fails the test unless the store holds all chunks of the data.
func (s *memoryStore) requireData(t *testing.T, data []byte) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	man := manifest.Build("parcel", manifest.KindBase, "", testChunkBytes, data)
	for i, hash := range man.GetChunkHashes() {
		want := data[i*testChunkBytes : i*testChunkBytes+manifest.ChunkSize(man, i)]
		if got := s.chunks[string(hash)]; !bytes.Equal(got, want) {
			t.Fatalf("chunk %d: got %d bytes that differ, want the published ones", i, len(got))
		}
	}
}

// testHost is a Manager behind a DRPC listener.
type testHost struct {
	wire.DRPCHostUnimplementedServer
	node  *wire.Node
	mgr   *Manager
	store *memoryStore
	// tamper modifies the chunks that the host sends; nil leaves them unchanged.
	tamper func(data *wire.ChunkData)
	// stalled makes the host accept requests for chunks and answer none.
	stalled atomic.Bool
	stop    context.CancelFunc
}

func (h *testHost) Chunk(req *wire.ChunkRequest, stream wire.DRPCHost_ChunkStream) error {
	if h.stalled.Load() {
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	if h.tamper != nil && req.GetIndex() != manifestIndex {
		stream = tamperingStream{DRPCHost_ChunkStream: stream, tamper: h.tamper}
	}
	return h.mgr.Chunk(req, stream)
}

func (h *testHost) Have(ctx context.Context, req *wire.HaveRequest) (*wire.HaveReply, error) {
	return h.mgr.Have(ctx, req)
}

// tamperingStream modifies each message before it is sent.
type tamperingStream struct {
	wire.DRPCHost_ChunkStream
	tamper func(data *wire.ChunkData)
}

func (s tamperingStream) Send(data *wire.ChunkData) error {
	copied := &wire.ChunkData{Size: data.GetSize(), Data: bytes.Clone(data.GetData()), RetryAfterMillis: data.GetRetryAfterMillis()}
	s.tamper(copied)
	return s.DRPCHost_ChunkStream.Send(copied)
}

// testFleet is a set of test hosts with one origin.
type testFleet struct {
	t      *testing.T
	origin *testOrigin
	mu     sync.Mutex
	hosts  []*testHost
	listed []*wire.Node // nodes in the list of peers
}

func newTestFleet(t *testing.T, hosts int) *testFleet {
	fleet := &testFleet{t: t, origin: newTestOrigin(t)}
	for i := range hosts {
		fleet.add(fmt.Sprintf("host-%02d", i), &memoryStore{chunks: map[string][]byte{}}, nil)
	}
	return fleet
}

func (f *testFleet) peers() []*wire.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*wire.Node(nil), f.listed...)
}

// add starts a host and adds it to the list of peers.
func (f *testFleet) add(id string, store *memoryStore, tamper func(*wire.ChunkData)) *testHost {
	f.t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	node := &wire.Node{
		Id: id, Incarnation: fmt.Sprint(rand.Uint64()), Role: peer.RoleAgent,
		Region: "zona-uno", FailureDomain: "zona-uno-1", ControlAddress: lis.Addr().String(),
	}
	log := slog.New(slog.DiscardHandler)
	pool := peer.NewPool(nil)
	host := &testHost{node: node, store: store, tamper: tamper}
	host.mgr = New(Config{
		Self: node, Clock: clockwork.NewRealClock(), Log: log, Peers: f.peers,
		Dial:      func(ctx context.Context, address string) drpc.Conn { return pool.Conn(ctx, address) },
		OriginURL: f.origin.server.URL, Link: &wire.LinkSettings{Up: 8 << 20, Down: 8 << 20},
		PutChunk: store.put, GetChunk: store.get, DropChunk: store.drop, HeldChunks: store.held,
		OnInvariantViolation: func(rule string) { panic(rule) },
	})
	mux := drpcmux.New()
	if err := wire.DRPCRegisterHost(mux, host); err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { _ = peer.Serve(ctx, lis, nil, mux, log) })
	work.Go(func() { _ = host.mgr.Run(ctx) })
	host.stop = sync.OnceFunc(func() {
		cancel()
		work.Wait()
		_ = pool.Close()
	})
	f.t.Cleanup(host.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, host)
	f.listed = append(f.listed, node)
	return host
}

func (f *testFleet) setTargets(versions ...string) {
	for _, host := range f.hosts {
		host.setTargets(versions...)
	}
}

func (h *testHost) setTargets(versions ...string) {
	var targets []Target
	for i, version := range versions {
		targets = append(targets, Target{Version: version, Priority: len(versions) - i})
	}
	h.mgr.SetTargets(targets, Policy{Objective: "time", OriginCopies: 1})
}

// await polls until the condition holds. The limit of 30 s only ends a broken test; it is
// not a bound on the speed of transfers.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.Now().Add(30 * time.Second)
	for !holds() {
		if time.Now().After(limit) {
			t.Fatalf("timeout while waiting for: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *testFleet) awaitWhole(version string) {
	f.t.Helper()
	for _, host := range f.hosts {
		await(f.t, host.node.GetId()+" whole", func() bool { return host.mgr.State(version).Phase() == Whole })
	}
}

func randomData(seed uint64, chunks int) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	data := make([]byte, chunks*testChunkBytes-100)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	return data
}
