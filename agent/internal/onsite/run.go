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
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/logging"
	"comfreyrelay.example/relay/manifest"
	"comfreyrelay.example/relay/node"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/settings"
	"comfreyrelay.example/relay/wire"
)

const (
	program = "comfreyagent"
	// maxLinkShare is the largest fraction of the host's link that weight transfers may
	// use. The rest is for the engine's answers, which share the link.
	maxLinkShare = 0.97
	// bitsPerMegabit and bitsPerByte convert a link's rate to bytes per second.
	bitsPerMegabit = 1e6
	bitsPerByte    = 8
	// memoryLimitShare is the fraction of the host's memory that is set as the Go
	// runtime's soft memory limit, near which the garbage collector runs most often.
	memoryLimitShare = 0.5
	// prefetchMemoryShare is the fraction of the host's memory that the memoryStore may
	// use, which holds the chunks of a prefetched version.
	prefetchMemoryShare = 0.15
	// drawWindow is the number of chunks that all hosts together download from the origin
	// at once.
	drawWindow = 14
	// maxBackoff bounds the pause after a failed request to the origin. It is short because
	// the time for rolling out a new version is, and only one host in a few sends requests
	// to the origin at the same time.
	maxBackoff = 700 * time.Millisecond
	// originDialTimeout bounds connecting to the origin, and originHeaderTimeout the wait
	// for its response headers: an origin that is cut off never answers.
	originDialTimeout   = 500 * time.Millisecond
	originHeaderTimeout = 1500 * time.Millisecond
	// maxOriginConns and originIdleTimeout limit the connections that one host keeps open
	// to the origin, which accepts a limited number from all hosts: an idle connection
	// kept for the next download shuts out other hosts.
	maxOriginConns    = 2
	originIdleTimeout = 100 * time.Millisecond
	// maxServingBytes bounds the bytes of chunks in flight to a host while its engine serves
	// requests, which queue behind all of them if the link loses bandwidth. maxIdleFetches
	// is the number of chunks in flight while the engine runs nothing, when the link should
	// never be idle.
	maxServingBytes = 96 << 10
	maxIdleFetches  = 8
	// defaultChunkBytes is the size of a chunk where none is declared.
	defaultChunkBytes = 32 << 10
	// congestedShare is the pacer's share below which requests are taken to queue behind
	// weights. It is slightly more than the share after one halving.
	congestedShare = 0.6
	// maxUpShare is the largest fraction of the uplink that weight transfers may use while
	// the engine serves, so that its answers do not queue behind them.
	maxUpShare = 0.82
	// maxDownShare is the same for the downlink.
	maxDownShare = 0.85
	// maxManifestDownloads is how often a manifest is downloaded at most until two downloads
	// agree.
	maxManifestDownloads = 4
)

// Run runs an agent on a platform until drain or kill is done.
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
	originBase string // base URL of origin
}

func newAgent(set *wire.AgentSettings, log *slog.Logger) *agent {
	clock := freshness.NewClock()
	engineURL := strings.TrimSuffix(set.GetEndpointUrl(), "/")
	engine := platform.NewEngine(engineURL, newEngineHTTPClient())
	a := &agent{
		set: set, log: log, clock: clock, guidance: newGuidanceStore(), pool: peer.NewPool(nil),
		originHTTP: newOriginHTTPClient(),
	}
	a.poller = newEnginePoller(engine, clock, log)
	a.pacer = newPacer(clock.Now)
	a.stage = newStage(engine, a.guidance, int(prefetchMemoryShare*float64(set.GetSite().GetMemoryMegabytes())*(1<<20)))
	a.stage.verifier = platform.NewEngine(engineURL, newEngineHTTPClient())
	a.stage.manifest = a.currentManifest
	a.mgr = weights.New(weights.Config{
		Self: a.self(), Clock: clock, Log: log,
		Peers:                   a.guidance.hosts,
		Dial:                    func(ctx context.Context, address string) drpc.Conn { return a.pool.Conn(ctx, address) },
		Source:                  weights.Source{Manifest: a.downloadManifest, Chunk: a.downloadChunk, Decode: manifest.DecodeNamed, Verify: verify},
		Link:                    linkSettings(set.GetSite()),
		WindowBytes:             set.GetWindowBytes(),
		LimitCrossRegionTraffic: true,
		DrawWindow:              drawWindow,
		MaxBackoff:              maxBackoff,
		MaxFetches:              a.maxFetches,
		LinkShares:              a.linkShares,
		PutChunk:                a.stage.put,
		GetChunk:                a.stage.get,
		ReadBack:                a.stage.readBack,
		DropChunk:               a.stage.drop,
		HeldChunks:              a.stage.scan,
	})
	a.stage.onLost = a.mgr.MarkChunkLost
	a.loader = &loader{
		engine: engine, poller: a.poller, guidance: a.guidance, mgr: a.mgr, stage: a.stage, clock: clock, bootClock: freshness.BootClock, log: log,
		self: a.self().GetId(), linkRate: linkRate(set.GetSite()),
	}
	a.apply(set)
	return a
}

// apply applies the settings that may change while the agent runs: the bounds.
func (a *agent) apply(set *wire.AgentSettings) {
	a.loader.oldVersionLimit.Store(int64(versionBound(set.GetSite().GetBounds())))
}

// maxHeadBytes limits the status line and the headers of a response.
const maxHeadBytes = 64 << 10

// engineCallTimeout limits a call of the engine on this host. No call carries more than a chunk or waits
// for work, but the engine or the host may be slow.
const engineCallTimeout = 3 * time.Second

// newEngineHTTPClient returns an HTTP client for the engine on this host. A connection to it may go silent
// for good while new ones work, so that no call may wait for it without a limit.
func newEngineHTTPClient() *http.Client {
	return &http.Client{Timeout: engineCallTimeout, Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// newOriginHTTPClient returns an HTTP client with the timeouts and connection limits for the
// origin.
func newOriginHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: originDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 1, MaxConnsPerHost: maxOriginConns, IdleConnTimeout: originIdleTimeout, DisableCompression: true,
		ResponseHeaderTimeout: originHeaderTimeout, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// self describes this host, with its engine's address as the ID: entries list it under that
// ID to its peers.
func (a *agent) self() *wire.Node {
	self := node.Describe(a.set.GetNode(), peer.RoleAgent, "")
	self.Id = strings.TrimPrefix(a.set.GetEndpointUrl(), "http://")
	self.ControlAddress = a.set.GetNode().GetControlAddress()
	return self
}

// defaultVersionBound is how long a version may be used after a newer one was declared, if
// the platform's settings do not say.
const defaultVersionBound = 8 * time.Second

// versionBound returns how long a version may be used after a newer one was declared.
func versionBound(set *wire.SiteBounds) time.Duration {
	if set.GetVersionMillis() == 0 {
		return defaultVersionBound
	}
	return time.Duration(set.GetVersionMillis()) * time.Millisecond
}

// linkRate returns the rate of the host's link in bytes per second; 0: unlimited.
func linkRate(set *wire.SiteSettings) float64 {
	return set.GetLinkMegabits() * bitsPerMegabit / bitsPerByte
}

// linkSettings returns the rates up to which weight transfers may use the host's link.
func linkSettings(set *wire.SiteSettings) *wire.LinkSettings {
	rate := uint64(maxLinkShare * linkRate(set))
	return &wire.LinkSettings{Up: rate, Down: rate}
}

// run serves entries and peers, polls the engine and loads weights until ctx is done.
func (a *agent) run(ctx context.Context, lis net.Listener) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterFeed(mux, newFeed(a.poller, a.guidance, a.pacer, a.clock)); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot register the Feed service", "report it")
	}
	if err := wire.DRPCRegisterHost(mux, &chunkServer{mgr: a.mgr}); err != nil {
		return failure.Wrap(err, failure.Internal, "cannot register the Host service", "report it")
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

// ignoreAfterStop returns err, or nil once ctx is done: errors caused by stopping are
// expected.
func ignoreAfterStop(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// currentManifest returns the manifest of the version being fetched; nil while unknown.
func (a *agent) currentManifest() *wire.Manifest {
	want, ok := a.guidance.newestWanted()
	if !ok {
		return nil
	}
	return a.mgr.Manifest(versionName(want.model, a.loader.currentVersion()))
}

// linkShares returns the fractions of the uplink and downlink that weight transfers may use.
// A host whose link is slower than declared uploads little to its peers. Its own fetches are
// bounded by the number of chunks in flight instead, so that it goes on downloading its share
// of chunks from the origin.
func (a *agent) linkShares() (up, down float64) {
	report, alive := a.poller.report()
	if !alive || report.Running == 0 {
		return 1, 1
	}
	return a.pacer.share() * maxUpShare, maxDownShare
}

// maxFetches returns how many chunks may be in flight to this host at once. It is only one
// while requests queue behind weights for long. A host that cannot serve yet has no requests
// to protect.
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

// maxServingFetches returns how many chunks of a size in bytes may be in flight to a host
// that serves; size 0: unknown.
func maxServingFetches(size int) int {
	if size <= 0 {
		size = defaultChunkBytes
	}
	return max(1, maxServingBytes/size)
}

// verify reports whether hash is the SHA-256 of the chunk.
func verify(chunk, hash []byte) bool {
	sum := sha256.Sum256(chunk)
	return bytes.Equal(sum[:], hash)
}

// currentOrigin returns a client for the origin that entries announced last.
func (a *agent) currentOrigin() (*platform.Origin, error) {
	base := a.guidance.originURL()
	if base == "" {
		return nil, failure.New(failure.Unavailable, "no entry has announced an origin yet", "wait until an entry connects")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if base != a.originBase {
		a.origin, a.originBase = platform.NewOrigin(base, a.originHTTP), base
	}
	return a.origin, nil
}

// downloadManifest downloads a manifest from the origin until two downloads agree: the
// origin's answers may be corrupted in transit, and nothing else verifies a digest. The first
// two downloads run concurrently, since all hosts wait for the manifest.
func (a *agent) downloadManifest(ctx context.Context, version string) ([]byte, error) {
	origin, err := a.currentOrigin()
	if err != nil {
		return nil, err
	}
	type download struct {
		encoded []byte
		err     error
	}
	downloads := make(chan download, maxManifestDownloads)
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
		if finished == started && started < maxManifestDownloads {
			started++
			go start()
		}
	}
	return nil, failure.New(failure.Corrupt, "no two downloads of the manifest agree", "it is downloaded again")
}

// downloadManifestOnce downloads a manifest and encodes it.
func downloadManifestOnce(ctx context.Context, origin *platform.Origin, version string) ([]byte, error) {
	model, number := parseVersionName(version)
	man, err := origin.Manifest(ctx, model, number)
	if err != nil {
		return nil, err
	}
	return manifest.Encode(manifest.BuildNamed(version, man.ChunkBytes, man.Digests))
}

// downloadChunk downloads a chunk of at most limit bytes from the origin.
func (a *agent) downloadChunk(ctx context.Context, version string, index, limit int) ([]byte, error) {
	origin, err := a.currentOrigin()
	if err != nil {
		return nil, err
	}
	model, number := parseVersionName(version)
	return origin.Chunk(ctx, model, number, index, limit)
}
