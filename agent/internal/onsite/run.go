package onsite

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/logging"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/settings"
	"comfreyrelay.example/relay/wire"
)

const (
	program = "comfreyagent"
	// linkPart is the part of the host's link that weights take at most: the
	// rest is for the engine's answers, which share it.
	maxLinkShare = 0.97
	// bitsPerMegabit and bitsPerByte turn a link's rate into bytes.
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
	// memoryPart is the part of the host's memory at which the collector works
	// hardest.
	memoryLimitShare = 0.5
	// aheadPart is the part of the host's memory that the chunks of a version
	// after the one wanted may take.
	prefetchMemoryShare = 0.15
	// drawWindow is the chunks that the hosts draw from the origin at once.
	drawWindow = 14
	// maxBackoff bounds the pause after the origin failed: the time for a new
	// version is short, and a host in a few asks at once.
	maxBackoff = 700 * time.Millisecond
	// originDial and originAnswer bound a connection to the origin and the wait
	// for its answer: one that is cut off answers nothing.
	originDialTimeout   = 500 * time.Millisecond
	originHeaderTimeout = 1500 * time.Millisecond
	// originConns and originIdle bound what one host holds of the connections
	// that the origin takes from all: one that is kept for the next draw keeps
	// other hosts out.
	maxOriginConns    = 2
	originIdleTimeout = 100 * time.Millisecond
	// servingBytes bounds the chunks that are on their way to a host at once while its engine serves:
	// requests wait behind all of them where its link becomes narrow. idleFetches is the chunks while
	// nothing runs, when the link should never be idle.
	maxServingBytes = 96 << 10
	maxIdleFetches  = 8
	// usualChunk is the size of a chunk where none is declared, bytes.
	defaultChunkBytes = 32 << 10
	// crowdedPart is the part of the usual rate under which requests wait behind
	// weights: one halving and a little.
	congestedShare = 0.6
	// upShare is the part of the uplink that weights take at most while the
	// engine serves: its answers find no queue then.
	maxUpShare = 0.82
	// downShare is the same of the downlink.
	maxDownShare = 0.85
	// manifestDraws is how often a manifest is drawn until two are alike.
	maxManifestDraws = 4
)

// Run runs an agent on a platform until drain or kill ends.
func Run(drain, kill context.Context, set *wire.AgentSettings, out io.Writer) error {
	logWriter := logging.NewBounded(out)
	defer func() { _ = logWriter.Close() }()
	log := logging.New(logWriter, set.GetNode().GetLogLevel(), program, set.GetNode().GetId())
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(set.GetSite().GetMemoryMegabytes()) * (1 << 20)))
	lis, err := net.Listen("tcp", set.GetNode().GetControlAddress())
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "cannot listen at node.controlAddress",
			"stop the process that has the port, or give another")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(drain, cancel)()
	defer context.AfterFunc(kill, cancel)()
	return newAgent(set, log).run(ctx, lis)
}

// agent holds the parts of a running agent.
type agent struct {
	set        *wire.AgentSettings
	log        *slog.Logger
	clock      clockwork.Clock
	guidance   *guidanceStore
	poller     *enginePoller
	pacer      *pacer
	stage      *stage
	mgr        *weights.Manager
	loader     *loader
	pool       *peer.Pool
	originHTTP *http.Client

	mu         sync.Mutex
	origin     *platform.Origin
	originBase string // of origin
}

func newAgent(set *wire.AgentSettings, log *slog.Logger) *agent {
	clock := clockwork.NewRealClock()
	local := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true}}
	engine := platform.NewEngine(strings.TrimSuffix(set.GetEndpointUrl(), "/"), local)
	a := &agent{
		set: set, log: log, clock: clock, guidance: newGuidanceStore(), pool: peer.NewPool(nil),
		originHTTP: newOriginHTTPClient(),
	}
	a.poller = newEnginePoller(engine, clock, log)
	a.pacer = newPacer(clock.Now)
	a.stage = newStage(engine, a.guidance, int(prefetchMemoryShare*float64(set.GetSite().GetMemoryMegabytes())*(1<<20)))
	a.stage.manifest = a.currentManifest
	a.mgr = weights.New(weights.Config{
		Self: a.self(), Clock: clock, Log: log,
		Peers:       a.guidance.hosts,
		Dial:        func(ctx context.Context, address string) drpc.Conn { return a.pool.Conn(ctx, address) },
		Source:      weights.Source{Manifest: a.downloadManifest, Chunk: a.downloadChunk, Decode: manifest.DecodeNamed, Verify: verify},
		Link:        linkSettings(set.GetSite()),
		WindowBytes: set.GetWindowBytes(),
		DearRegions: true,
		DrawWindow:  drawWindow,
		MaxBackoff:  maxBackoff,
		Fetches:     a.maxFetches,
		LinkShares:  a.linkShares,
		PutChunk:    a.stage.put,
		GetChunk:    a.stage.get,
		ReadBack:    a.stage.readBack,
		DropChunk:   a.stage.drop,
		HeldChunks:  a.stage.scan,
	})
	a.stage.onLost = a.mgr.Lost
	a.loader = &loader{
		engine: engine, poller: a.poller, guidance: a.guidance, mgr: a.mgr, stage: a.stage, clock: clock, log: log,
		self: a.self().GetId(), linkRate: linkRate(set.GetSite()),
	}
	a.apply(set)
	return a
}

// apply takes over settings that may change while the agent runs: the bounds.
func (a *agent) apply(set *wire.AgentSettings) {
	a.loader.oldVersionLimit.Store(int64(versionBound(set.GetSite().GetBounds())))
}

func newOriginHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: originDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: maxOriginConns, IdleConnTimeout: originIdleTimeout, DisableCompression: true,
		ResponseHeaderTimeout: originHeaderTimeout,
	}}
}

// self names this host by its engine's address, as entries name it to others.
func (a *agent) self() *wire.Node {
	self := node.Describe(a.set.GetNode(), peer.RoleAgent, "")
	self.Id = strings.TrimPrefix(a.set.GetEndpointUrl(), "http://")
	self.ControlAddress = a.set.GetNode().GetControlAddress()
	return self
}

// defaultVersionBound is how long an old version may be used where the platform
// does not say.
const defaultVersionBound = 8 * time.Second

func versionBound(set *wire.SiteBounds) time.Duration {
	if set.GetVersionMillis() == 0 {
		return defaultVersionBound
	}
	return time.Duration(set.GetVersionMillis()) * time.Millisecond
}

// linkRate returns the rate of the host's link, bytes a second; 0: unlimited.
func linkRate(set *wire.SiteSettings) float64 {
	return set.GetLinkMegabits() * bitsPerMegabit / bitsPerByte
}

func linkSettings(set *wire.SiteSettings) *wire.LinkSettings {
	rate := uint64(maxLinkShare * linkRate(set))
	return &wire.LinkSettings{Up: rate, Down: rate}
}

func (a *agent) run(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterFeed(mux, newFeed(a.poller, a.guidance, a.pacer, a.clock)); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot register the calls of entries", "report it")
	}
	if err := wire.DRPCRegisterHost(mux, &chunkServer{mgr: a.mgr}); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot register the calls of other agents", "report it")
	}
	a.log.Info("started", "endpoint", a.set.GetEndpointUrl(), "controlAddress", lis.Addr().String())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreAfterStop(ctx, peer.Serve(ctx, lis, nil, mux, a.log)) })
	group.Go(func() error { a.poller.run(ctx); return nil })
	reloader := &settings.Reloader[*wire.AgentSettings]{
		File: platform.SettingsFile(), Load: settings.LoadAgent, Apply: a.apply, Clock: a.clock, Log: a.log,
	}
	group.Go(func() error { reloader.Run(ctx); return nil })
	group.Go(func() error { a.loader.run(ctx); return nil })
	group.Go(func() error { return ignoreAfterStop(ctx, a.mgr.Run(ctx)) })
	err := group.Wait()
	a.log.Info("stopped")
	return err
}

// ended drops the error that a part returns because it was asked to stop.
func ignoreAfterStop(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// wantedManifest is that of the version being fetched.
func (a *agent) currentManifest() *wire.Manifest {
	want, ok := a.guidance.newestWanted()
	if !ok {
		return nil
	}
	return a.mgr.Manifest(versionName(want.model, a.loader.currentVersion()))
}

// linkShares returns the parts of the link, up and down, that weights may take. A
// host whose link is narrower than declared gives others little; what it takes itself is
// bounded by the chunks on their way instead, so that it goes on drawing what is its
// turn.
func (a *agent) linkShares() (up, down float64) {
	report, alive := a.poller.report()
	if !alive || report.Running == 0 {
		return 1, 1
	}
	return a.pacer.share() * maxUpShare, maxDownShare
}

// fetches returns how many chunks may be on their way at once: one behind which
// requests wait for long. A host that can't serve yet has none to spare.
func (a *agent) maxFetches() int {
	report, alive := a.poller.report()
	share := a.pacer.share()
	switch {
	case !alive || len(report.Loaded) == 0:
		return maxIdleFetches
	case share < congestedShare:
		return 1
	case report.Running == 0:
		return maxIdleFetches
	}
	want, _ := a.guidance.newestWanted()
	return maxServingFetches(want.chunkBytes)
}

// servingFetches returns how many chunks of so many bytes may be on their way to a host that
// serves; 0 bytes: unknown.
func maxServingFetches(size int) int {
	if size <= 0 {
		size = defaultChunkBytes
	}
	return max(1, maxServingBytes/size)
}

func verify(chunk, hash []byte) bool {
	sum := sha256.Sum256(chunk)
	return bytes.Equal(sum[:], hash)
}

func (a *agent) currentOrigin() (*platform.Origin, error) {
	base := a.guidance.originURL()
	if base == "" {
		return nil, failure.New(failure.Unavailable, "no origin is declared", "wait for an entry")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if base != a.originBase {
		a.origin, a.originBase = platform.NewOrigin(base, a.originHTTP), base
	}
	return a.origin, nil
}

// drawManifest draws a manifest until two draws are alike: the origin's answers
// may be spoilt on the way, and nothing else proves a digest. The first two are
// drawn at once, since all hosts wait for them.
func (a *agent) downloadManifest(ctx context.Context, version string) ([]byte, error) {
	origin, err := a.currentOrigin()
	if err != nil {
		return nil, err
	}
	type download struct {
		encoded []byte
		err     error
	}
	downloads := make(chan download, maxManifestDraws)
	start := func() {
		encoded, err := downloadManifestOnce(ctx, origin, version)
		downloads <- download{encoded, err}
	}
	go start()
	go start()
	var seen [][]byte
	for started, finished := 2, 0; finished < started; {
		result := <-downloads
		finished++
		if result.err != nil && failure.KindOf(result.err) != failure.Corrupt {
			return nil, result.err
		}
		if result.err == nil && slices.ContainsFunc(seen, func(other []byte) bool { return bytes.Equal(result.encoded, other) }) {
			return result.encoded, nil
		}
		if result.err == nil {
			seen = append(seen, result.encoded)
		}
		if finished == started && started < maxManifestDraws {
			started++
			go start()
		}
	}
	return nil, failure.New(failure.Corrupt, "no two draws of the manifest are alike", "it is drawn again")
}

// drawOnce draws a manifest and encodes it.
func downloadManifestOnce(ctx context.Context, origin *platform.Origin, version string) ([]byte, error) {
	model, number := parseVersionName(version)
	man, err := origin.Manifest(ctx, model, number)
	if err != nil {
		return nil, err
	}
	return manifest.Encode(manifest.Named(version, man.ChunkBytes, man.Digests))
}

func (a *agent) downloadChunk(ctx context.Context, version string, index, limit int) ([]byte, error) {
	origin, err := a.currentOrigin()
	if err != nil {
		return nil, err
	}
	model, number := parseVersionName(version)
	return origin.Chunk(ctx, model, number, index, limit)
}
