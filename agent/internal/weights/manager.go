// Package weights brings versions of weights onto the host: it fetches their
// chunks from peers and the origin, verifies them and passes them to the host's
// store through a bounded window of memory.
package weights

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/jonboulle/clockwork"
	"storj.io/drpc"

	"comfreyrelay.example/agent/internal/link"
	"comfreyrelay.example/relay/wire"
)

// Config holds what a Manager needs from its process.
type Config struct {
	Self  *wire.Node
	Clock clockwork.Clock
	Log   *slog.Logger
	// Peers returns the agents known now, in any order, without lost ones.
	Peers func() []*wire.Node
	// Dial returns a connection to the control address of a peer.
	Dial func(ctx context.Context, address string) drpc.Conn
	// OriginURL is the base address of the origin of weights.
	OriginURL string
	// HTTP is used for the origin alone; nil means a client of its own.
	HTTP *http.Client
	Link *wire.LinkSettings
	// WindowBytes bounds the chunks in memory; 0 means, and more is cut to,
	// 64 MiB.
	WindowBytes uint64
	// Strategy is one of the burst package's strategies; empty means swarm.
	Strategy string

	// PutChunk keeps verified bytes on the host under their hash.
	PutChunk func(ctx context.Context, hash, data []byte) error
	// GetChunk reads kept bytes back.
	GetChunk func(ctx context.Context, hash []byte) ([]byte, error)
	// DropChunk forgets kept bytes.
	DropChunk func(ctx context.Context, hash []byte) error
	// HeldChunks lists the hashes kept; their bytes are verified again before
	// a Manager trusts them.
	HeldChunks func(ctx context.Context) ([][]byte, error)
	// TokensSlow returns 0 to 1: how much live requests suffer; nil means
	// that they don't.
	TokensSlow func() float64
}

// Target is a version that should become whole on this host.
type Target struct {
	Version string
	// Larger is fetched first.
	Priority int
}

// Policy is how the document wants versions to be moved.
type Policy struct {
	// Objective is "time" or "originBytes".
	Objective string
	// OriginCopies bounds the copies that the origin may send with objective
	// time, 1 to 4.
	OriginCopies int
	// Keep lists versions whose chunks stay although they are no targets,
	// because the engine still uses them.
	Keep []string
}

// Phases of a version on one host, as wire.VersionState names them.
const (
	Absent   = "absent"
	Fetching = "fetching"
	Whole    = "whole"
	Failed   = "failed"
)

// State is how far the host is with one version.
type State struct {
	phase  string // Absent, Fetching, Whole or Failed
	have   int    // chunks verified and kept, at most total
	total  int    // 0 while the manifest is unknown
	holdUp string // why it stands still; empty otherwise
}

// Phase returns Absent, Fetching, Whole or Failed. Whole means that the
// manifest matched the version and every chunk was verified and kept.
func (s State) Phase() string { return s.phase }

// Have returns the chunks kept.
func (s State) Have() int { return s.have }

// Total returns the chunks of the version; 0 while its manifest is unknown.
func (s State) Total() int { return s.total }

// HoldUp returns why the version stands still; empty otherwise.
func (s State) HoldUp() string { return s.holdUp }

// Manager moves weights for one host. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	link    *link.Link
	changed chan struct{} // buffered by one: a change not yet seen
}

// New returns a Manager; Run makes it work.
func New(cfg Config) *Manager {
	return &Manager{
		cfg:     cfg,
		link:    link.New(cfg.Link, cfg.Clock),
		changed: make(chan struct{}, 1),
	}
}

// Link returns the pacing of the host's link, for the bytes of live requests.
func (m *Manager) Link() *link.Link { return m.link }

// SetTargets says which versions the host should hold. The newest call wins:
// chunks in common are kept, the others are dropped unless policy.Keep names
// their version.
func (m *Manager) SetTargets(targets []Target, policy Policy) {}

// Run moves weights until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// State returns how far the host is with the version.
func (m *Manager) State(version string) State { return State{phase: Absent} }

// Manifest returns the verified manifest of a target; nil while unknown.
func (m *Manager) Manifest(version string) *wire.Manifest { return nil }

// Changed receives after each change of a State; changes may fall together.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

// Counters returns the bytes of chunks received from the origin and from
// peers, and those sent to peers, since the start.
func (m *Manager) Counters() (originBytes, peerBytes, sentBytes uint64) { return 0, 0, 0 }

// Chunk sends one chunk to a peer: wire.Host's Chunk.
func (m *Manager) Chunk(req *wire.ChunkRequest, stream wire.DRPCHost_ChunkStream) error {
	return stream.Send(&wire.ChunkData{})
}

// Have swaps knowledge of held chunks with a peer: wire.Host's Have.
func (m *Manager) Have(ctx context.Context, req *wire.HaveRequest) (*wire.HaveReply, error) {
	return &wire.HaveReply{}, nil
}
