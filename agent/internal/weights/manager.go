// Package weights brings versions of weights onto the host: it fetches their
// chunks from peers and the origin, verifies them and passes them to the host's
// store through a bounded window of memory.
//
// One transfer a version: a goroutine that feeds a burst.Core with events and
// does what it decides. Filters of one chunk: fetch, verify, keep.
package weights

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/semaphore"
	"storj.io/drpc"

	"comfreyrelay.example/agent/internal/link"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/wire"
)

const (
	// maxWindowBytes bounds the chunks in memory at once.
	maxWindowBytes = 64 << 20
	// defaultWindowBytes is the window where the settings name none.
	defaultWindowBytes = 32 << 20
	// minWindowBytes lets one chunk come in while another goes out.
	minWindowBytes = 2 * manifest.MaxChunkBytes
	// slowInterval is how often the suffering of live requests is looked at.
	linkUpdateInterval = 250 * time.Millisecond
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
	// Source replaces the origin at OriginURL where its fields are set.
	Source Source
	// HTTP is used for the origin alone; nil means a client of its own.
	HTTP *http.Client
	Link *wire.LinkSettings
	// WindowBytes bounds the chunks in memory; 0 means 32 MiB; 4 to 64 MiB
	// are possible.
	WindowBytes uint64
	// Fetches returns the bound for the chunks of one version requested at once;
	// nil stands for 6. What is on its way waits before this host's link, and so
	// do the bytes of live requests behind it.
	Fetches func() int
	// DrawWindow is the chunks that the fleet draws at once; 0: as burst does.
	DrawWindow int
	// MaxBackoff bounds the pause after the origin failed; 0 stands for 15 s.
	MaxBackoff time.Duration
	// DearRegions keeps bytes between regions few.
	DearRegions bool
	// Strategy is one of the burst package's strategies; empty means swarm.
	Strategy string

	// PutChunk keeps verified bytes on the host under their hash.
	PutChunk func(ctx context.Context, hash, data []byte) error
	// GetChunk reads kept bytes back; an error of kind failure.NotFound says
	// that the host no longer has them.
	GetChunk func(ctx context.Context, hash []byte) ([]byte, error)
	// ReadBack is GetChunk as the host would use the bytes now, where GetChunk may
	// answer from elsewhere; nil stands for GetChunk.
	ReadBack func(ctx context.Context, hash []byte) ([]byte, error)
	// DropChunk forgets kept bytes.
	DropChunk func(ctx context.Context, hash []byte) error
	// HeldChunks lists the hashes kept; their bytes are verified again before
	// a Manager trusts them.
	HeldChunks func(ctx context.Context) ([][]byte, error)
	// TokensSlow returns 0 to 1: how much live requests suffer; nil means
	// that they don't.
	TokensSlow func() float64
	// LinkShares returns the parts of the link, up and down, that transfers may
	// take; it goes before TokensSlow.
	LinkShares func() (up, down float64)
	// Broken is called with an invariant that does not hold, once a rule and
	// version; nil logs it.
	OnInvariantViolation func(rule string)
}

// Source is another origin than the one at Config.OriginURL, and how its
// versions are named and checked. Either all fields are set or none.
type Source struct {
	// Manifest returns a version's encoded manifest, which Decode takes.
	Manifest func(ctx context.Context, version string) ([]byte, error)
	// Chunk returns a chunk of at most limit bytes. An error of kind
	// failure.Exhausted asks to come back later.
	Chunk func(ctx context.Context, version string, index, limit int) ([]byte, error)
	// Decode reads an encoded manifest if it is the version's.
	Decode func(encoded []byte, version string) (*wire.Manifest, error)
	// Verify reports whether the bytes are the chunk that the hash names.
	Verify func(chunk, hash []byte) bool
}

// Manager moves weights for one host. It is safe for concurrent use.
type Manager struct {
	cfg         Config
	link        *link.Link
	http        *http.Client
	store       *store
	uploads     *uploadQueue
	window      *semaphore.Weighted // bytes of chunks in memory
	windowBytes int64               // of the window, bytes
	changed     chan struct{}       // buffered by one: a change not yet seen
	wake        chan struct{}       // buffered by one: targets not yet applied

	mu              sync.RWMutex // guards the fields below
	targets         []Target
	policy          Policy
	transfers       map[string]*transfer // by version: targets and kept ones
	peerAddresses   map[string]string    // control address by peer id, as newly listed
	callerAddresses map[string]string    // the same as callers stated, at most maxAddresses

	originBytes, peerBytes, sentBytes atomic.Uint64
}

// New returns a Manager; Run makes it work.
func New(cfg Config) *Manager {
	window := int64(min(cfg.WindowBytes, maxWindowBytes))
	if window == 0 {
		window = defaultWindowBytes
	}
	window = max(window, minWindowBytes)
	client := cfg.HTTP
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}}
	}
	if cfg.Fetches == nil {
		cfg.Fetches = func() int { return defaultMaxFetches }
	}
	if cfg.MaxBackoff <= 0 {
		cfg.MaxBackoff = maxOriginBackoff
	}
	if cfg.ReadBack == nil {
		cfg.ReadBack = cfg.GetChunk
	}
	if cfg.Source.Verify == nil {
		cfg.Source.Decode, cfg.Source.Verify = manifest.Decode, manifest.Verify
	}
	return &Manager{
		cfg:             cfg,
		link:            link.New(cfg.Link, cfg.Clock),
		http:            client,
		store:           newStore(cfg),
		uploads:         newUploadQueue(),
		window:          semaphore.NewWeighted(window),
		windowBytes:     window,
		changed:         make(chan struct{}, 1),
		wake:            make(chan struct{}, 1),
		transfers:       map[string]*transfer{},
		callerAddresses: map[string]string{},
	}
}

// broken reports an invariant of a version's core that does not hold.
func (m *Manager) reportViolation(version, rule string) {
	m.cfg.Log.Error("invariant broke", "rule", rule, "version", version)
	if m.cfg.OnInvariantViolation != nil {
		m.cfg.OnInvariantViolation(rule)
	}
}

// Link returns the pacing of the host's link, for the bytes of live requests.
func (m *Manager) Link() *link.Link { return m.link }

// Run moves weights until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	if err := m.registerStoredChunks(ctx); err != nil {
		return err
	}
	go m.updateLinkShares(ctx)
	for {
		m.applyTargets(ctx)
		m.dropUnneeded(ctx)
		select {
		case <-ctx.Done():
			m.stopAll()
			return ctx.Err()
		case <-m.wake:
		}
	}
}

// loadStore asks the host what it kept, until it answers.
func (m *Manager) registerStoredChunks(ctx context.Context) error {
	for {
		err := m.store.registerStored(ctx)
		if err == nil {
			return nil
		}
		m.cfg.Log.Warn("the host's store does not answer", "error", err)
		if err := m.sleep(ctx, storeRetryDelay); err != nil {
			return err
		}
	}
}

// followTokens makes transfers shrink while live requests suffer.
func (m *Manager) updateLinkShares(ctx context.Context) {
	if m.cfg.TokensSlow == nil && m.cfg.LinkShares == nil {
		return
	}
	for m.sleep(ctx, linkUpdateInterval) == nil {
		if m.cfg.LinkShares == nil {
			m.link.SetSlow(m.cfg.TokensSlow())
			continue
		}
		up, down := m.cfg.LinkShares()
		m.link.SetShare(link.Up, up)
		m.link.SetShare(link.Down, down)
	}
}

func (m *Manager) sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-m.cfg.Clock.After(wait):
		return nil
	}
}

// State returns how far the host is with the version.
func (m *Manager) State(version string) State {
	trans := m.transfer(version)
	if trans == nil {
		return State{phase: Absent}
	}
	return trans.state()
}

// Manifest returns the verified manifest of a target; nil while unknown.
func (m *Manager) Manifest(version string) *wire.Manifest {
	trans := m.transfer(version)
	if trans == nil {
		return nil
	}
	return trans.manifest()
}

func (m *Manager) transfer(version string) *transfer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.transfers[version]
}

// Changed receives after each change of a State; changes may fall together.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

func (m *Manager) notifyChange() { signal(m.changed) }

// signal fills a channel that is buffered by one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Counters returns the bytes of chunks received from the origin and from
// peers, and those sent to peers, since the start.
func (m *Manager) Counters() (originBytes, peerBytes, sentBytes uint64) {
	return m.originBytes.Load(), m.peerBytes.Load(), m.sentBytes.Load()
}

// Recheck reads back every kept chunk of a version and returns how many were
// not what their hash names; those are fetched again.
func (m *Manager) Recheck(ctx context.Context, version string) (bad int, err error) {
	for _, hash := range m.Manifest(version).GetChunkHashes() {
		if _, err := m.store.readBack(ctx, chunkHash(hash)); err == nil {
			continue
		} else if kind := failure.KindOf(err); kind != failure.Corrupt && kind != failure.NotFound {
			return bad, err
		}
		bad++
		m.markLostInAll(chunkHash(hash))
	}
	return bad, nil
}
