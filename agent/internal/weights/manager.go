// Package weights downloads versions of model weights to the host: it fetches
// their chunks from peers and the origin, verifies them and writes them to the
// host's store. The bytes of chunks in memory are bounded.
//
// Each version has one transfer: a goroutine that passes events to a burst.Core
// and performs the actions that it decides on. Each chunk is fetched, verified
// and then stored.
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
	// maxWindowBytes bounds the bytes of chunks in memory at once.
	maxWindowBytes = 64 << 20
	// defaultWindowBytes is the window size if the settings give none.
	defaultWindowBytes = 32 << 20
	// minWindowBytes lets the host receive one chunk while it sends another.
	minWindowBytes = 2 * manifest.MaxChunkBytes
	// linkUpdateInterval is how often the link's shares are adapted to how much
	// live requests are slowed down.
	linkUpdateInterval = 250 * time.Millisecond
)

// Config holds the settings and dependencies of a Manager.
type Config struct {
	Self  *wire.Node
	Clock clockwork.Clock
	Log   *slog.Logger
	// Peers returns the agents known at present, in any order, without those
	// that are considered lost.
	Peers func() []*wire.Node
	// Dial returns a connection to a peer's control address.
	Dial func(ctx context.Context, address string) drpc.Conn
	// OriginURL is the base URL of the server that publishes the weights.
	OriginURL string
	// Source replaces the origin at OriginURL where its fields are set.
	Source Source
	// HTTP is used for requests to the origin only; nil means a new client.
	HTTP *http.Client
	Link *wire.LinkSettings
	// WindowBytes bounds the bytes of chunks in memory, from 4 to 64 MiB; 0
	// means 32 MiB.
	WindowBytes uint64
	// MaxFetches returns how many chunks of one version may be requested at once;
	// nil means 6. Requested chunks queue up in front of this host's link and
	// delay the bytes of live requests that queue behind them.
	MaxFetches func() int
	// DrawWindow is how many chunks the fleet fetches from the origin at once; 0
	// means the default of package burst.
	DrawWindow int
	// MaxBackoff bounds the pause after a failed request to the origin; 0 means
	// 15 s.
	MaxBackoff time.Duration
	// LimitCrossRegionTraffic keeps the traffic between regions low.
	LimitCrossRegionTraffic bool
	// Strategy is one of package burst's strategies; empty means swarm.
	Strategy string

	// PutChunk stores verified bytes on the host under their hash.
	PutChunk func(ctx context.Context, hash, data []byte) error
	// GetChunk reads stored bytes; an error of kind failure.NotFound means that
	// the host no longer has them.
	GetChunk func(ctx context.Context, hash []byte) ([]byte, error)
	// ReadBack reads the bytes from where the host would use them, for stores
	// whose GetChunk may return them from another place; nil means GetChunk.
	ReadBack func(ctx context.Context, hash []byte) ([]byte, error)
	// DropChunk deletes stored bytes.
	DropChunk func(ctx context.Context, hash []byte) error
	// HeldChunks lists the hashes of the stored chunks. The Manager verifies
	// their bytes again before it uses them.
	HeldChunks func(ctx context.Context) ([][]byte, error)
	// TokensSlow returns how much live requests are slowed down, from 0 to 1;
	// nil means not at all.
	TokensSlow func() float64
	// LinkShares returns the shares of the link, up and down, that transfers may
	// use. If set, TokensSlow is ignored.
	LinkShares func() (up, down float64)
	// OnInvariantViolation is called, besides the log entry, with the rule of an
	// invariant that does not hold, once for each rule and version; may be nil.
	OnInvariantViolation func(rule string)
}

// Source replaces the HTTP origin at Config.OriginURL and defines how its
// versions are named and verified. Either all fields are set or none.
type Source struct {
	// Manifest returns a version's encoded manifest, as Decode expects it.
	Manifest func(ctx context.Context, version string) ([]byte, error)
	// Chunk returns a chunk of at most limit bytes. An error of kind
	// failure.Exhausted means that the source is busy: retry later.
	Chunk func(ctx context.Context, version string, index, limit int) ([]byte, error)
	// Decode decodes a manifest and returns an error if it is not the version's.
	Decode func(encoded []byte, version string) (*wire.Manifest, error)
	// Verify reports whether the chunk's bytes match the hash.
	Verify func(chunk, hash []byte) bool
}

// Manager transfers weights for one host. It is safe for concurrent use.
type Manager struct {
	cfg         Config
	link        *link.Link
	http        *http.Client
	store       *store
	uploads     *uploadQueue
	window      *semaphore.Weighted // bytes of chunks in memory
	windowBytes int64               // size of window
	changed     chan struct{}       // capacity 1: signals a change of a State
	wake        chan struct{}       // capacity 1: signals targets that are not applied yet

	mu              sync.RWMutex // guards the fields below
	targets         []Target
	policy          Policy
	transfers       map[string]*transfer // by version: targets and those in policy.Keep
	peerAddresses   map[string]string    // control address by peer id, from the latest list of peers
	callerAddresses map[string]string    // the same as stated by callers, at most maxCallerAddresses

	originBytes, peerBytes, sentBytes atomic.Uint64
}

// New returns a Manager; Run starts its work.
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
	if cfg.MaxFetches == nil {
		cfg.MaxFetches = func() int { return defaultMaxFetches }
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

// reportViolation logs an invariant of a version's burst.Core that does not hold
// and passes it to Config.OnInvariantViolation.
func (m *Manager) reportViolation(version, rule string) {
	m.cfg.Log.Error("invariant broke", "rule", rule, "version", version)
	if m.cfg.OnInvariantViolation != nil {
		m.cfg.OnInvariantViolation(rule)
	}
}

// Link returns the rate limiter of the host's link, so that the bytes of live
// requests can be counted as well.
func (m *Manager) Link() *link.Link { return m.link }

// Run applies the targets and transfers their chunks until ctx is done.
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

// registerStoredChunks asks the host which chunks it has stored and retries until
// it answers.
func (m *Manager) registerStoredChunks(ctx context.Context) error {
	for {
		err := m.store.registerStored(ctx)
		if err == nil {
			return nil
		}
		m.cfg.Log.Warn("listing the chunks in the host's store failed", "error", err)
		if err := m.sleep(ctx, storeRetryDelay); err != nil {
			return err
		}
	}
}

// updateLinkShares lowers the link's share for transfers while live requests are
// slowed down.
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

// sleep waits, or returns an error once ctx is done.
func (m *Manager) sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-m.cfg.Clock.After(wait):
		return nil
	}
}

// State returns the progress of a version on this host.
func (m *Manager) State(version string) State {
	trans := m.transfer(version)
	if trans == nil {
		return State{phase: Absent}
	}
	return trans.state()
}

// Manifest returns the verified manifest of a target or kept version; nil while
// unknown.
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

// Changed returns a channel that receives after a change of a State. Changes in quick
// succession may be signalled only once.
func (m *Manager) Changed() <-chan struct{} { return m.changed }

func (m *Manager) notifyChange() { signal(m.changed) }

// signal sends to a channel of capacity 1 unless it is full.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Counters returns the bytes received from the origin and from peers and those
// sent to peers since the start.
func (m *Manager) Counters() (originBytes, peerBytes, sentBytes uint64) {
	return m.originBytes.Load(), m.peerBytes.Load(), m.sentBytes.Load()
}

// VerifyStored reads back and verifies every chunk of a version. It returns how many are
// corrupt or missing; these are fetched again.
func (m *Manager) VerifyStored(ctx context.Context, version string) (bad int, err error) {
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
