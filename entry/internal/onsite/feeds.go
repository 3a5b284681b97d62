package onsite

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/site"
	"comfreyrelay.example/relay/wire"
)

const (
	// feedsInterval is how often new and gone engines are looked for beside
	// each change of what is known.
	feedsInterval = 500 * time.Millisecond
	// feedSilence ends a feed that brings nothing: agents send at least five
	// times as often, so the connection is dead though nothing says so.
	feedSilence = time.Second
	// feedRetry is the mean pause before a feed is begun again.
	feedRetry = 250 * time.Millisecond
	// guideInterval is how often an agent is told again what did not change.
	guideInterval = 10 * time.Second
	// lookInterval is how often an entry looks whether it should tell an agent
	// beside each change of what is known: registrations that lapsed in an outage
	// end without one.
	lookInterval = 5 * time.Second
)

// feeds follows the agent of each engine.
type feeds struct {
	state *site.State
	pool  *peer.Pool
	port  uint32 // at which agents serve
	// region of this entry; regions are those of the failure domains.
	self    string // id of this entry
	domain  string // its failure domain
	region  string
	regions map[string]string
	clock   clockwork.Clock
	log     *slog.Logger
	began   time.Time // of this entry
}

// run follows the engines that are known until ctx ends.
func (f *feeds) run(ctx context.Context) {
	following := map[string]context.CancelFunc{}
	for ctx.Err() == nil {
		changed := f.state.Changed()
		f.shareEngines()
		known := map[string]bool{}
		for _, eng := range f.state.Fleet().Engines() {
			known[eng.Address] = true
			if following[eng.Address] == nil {
				feedCtx, cancel := context.WithCancel(ctx)
				following[eng.Address] = cancel
				go f.follow(feedCtx, eng)
			}
		}
		for address, cancel := range following {
			if !known[address] {
				cancel()
				delete(following, address)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-f.clock.After(feedsInterval):
		}
	}
	for _, cancel := range following {
		cancel()
	}
}

// shareEngines tells the fleet which entries stand in this failure domain.
func (f *feeds) shareEngines() {
	near := []string{f.self}
	for id, entry := range f.state.Entries() {
		if id != f.self && entry.FailureDomain == f.domain {
			near = append(near, id)
		}
	}
	f.state.Fleet().SetEntries(f.domain, f.self, near)
}

// follow keeps one feed, begun again whenever it ends.
func (f *feeds) follow(ctx context.Context, eng fleet.Engine) {
	address := f.agentAddress(eng.Address)
	up, path := false, newDelayMeter()
	for ctx.Err() == nil {
		err := f.stream(ctx, eng, address, path, &up)
		if up && ctx.Err() == nil {
			f.log.Warn("dependency lost", "dependency", "agent", "address", address, "error", err)
			up = false
		}
		select {
		case <-ctx.Done():
		case <-f.clock.After(feedRetry/2 + rand.N(feedRetry)):
		}
	}
}

func (f *feeds) agentAddress(engine string) string {
	host, _, err := net.SplitHostPort(engine)
	if err != nil {
		return engine
	}
	return net.JoinHostPort(host, strconv.FormatUint(uint64(f.port), 10))
}

func (f *feeds) stream(ctx context.Context, eng fleet.Engine, address string, path *delayMeter, up *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := f.clock.AfterFunc(feedSilence, cancel)
	defer watchdog.Stop()
	stream, err := wire.NewDRPCFeedClient(f.pool.Conn(ctx, address)).Follow(ctx)
	if err != nil {
		return err
	}
	path.restart()
	go f.guide(ctx, cancel, eng, path, stream)
	for {
		state, err := stream.Recv()
		if err != nil {
			return err
		}
		watchdog.Reset(feedSilence)
		if !*up {
			*up = true
			f.log.Info("dependency regained", "dependency", "agent", "address", address)
		}
		told := stateOf(state)
		// An entry that sends there seldom learns from the others.
		told.Delay = max(path.delay(f.clock.Since(f.began), wordOf(state)), time.Duration(state.GetLagMillis())*time.Millisecond)
		f.state.Fleet().Observe(eng.Service, eng.Address, told)
	}
}

func wordOf(state *wire.EngineState) word {
	return word{
		agent: state.GetAgentBorn(), sent: time.Duration(state.GetSentMillis()) * time.Millisecond,
		echo: time.Duration(state.GetEchoMillis()) * time.Millisecond,
		held: time.Duration(state.GetEchoHeldMillis()) * time.Millisecond,
	}
}

func stateOf(state *wire.EngineState) fleet.EngineState {
	found := fleet.EngineState{
		Born: state.GetBorn(), Alive: state.GetAlive(), Running: int(state.GetRunning()), Queued: int(state.GetQueued()),
		Pace: state.GetPace(), Busy: state.GetBusy(), Loaded: map[string]uint64{},
		Reading: max(0, int(state.GetReading())-int(state.GetReadingYours())),
	}
	for _, one := range state.GetLoaded() {
		found.Loaded[one.GetModel()] = one.GetVersion()
	}
	return found
}

// guides reports whether this entry is one of those that tell the engine's host
// what is wanted.
func (f *feeds) guides(eng fleet.Engine) bool {
	entries := f.state.Entries()
	entries[f.self] = site.Entry{Region: f.region}
	return slices.Contains(site.Guides(eng.Address, f.regionOf(eng.FailureDomain), entries), f.self)
}

// guide tells the agent how much of what this entry sent there is not read yet
// and, if this entry is one of its guides, what is wanted, at once and after each
// change.
func (f *feeds) guide(ctx context.Context, cancel context.CancelFunc, eng fleet.Engine, path *delayMeter, stream wire.DRPCFeed_FollowClient) {
	defer cancel()
	moved := f.state.Fleet().Group(eng.Service).ReadingChanged(eng.Address)
	teller := &teller{feeds: f, engine: eng, reading: -1}
	lagged := false
	for ctx.Err() == nil {
		changed := f.state.Changed()
		message := teller.next(changed)
		if message == nil && lagged {
			message = &wire.Guidance{ReadingOnly: true, Reading: uint32(max(0, teller.reading))}
		}
		if lagged = false; message != nil {
			message.DelayMillis = uint32(path.tell().Milliseconds())
			now := f.clock.Since(f.began)
			path.ask(now.Truncate(time.Millisecond))
			message.SentMillis = uint64(now.Milliseconds())
			if stream.Send(message) != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-moved:
		case <-path.moved:
			lagged = true
		case <-f.clock.After(lookInterval):
		}
	}
}

// teller knows what one agent was told.
type teller struct {
	feeds   *feeds
	engine  fleet.Engine
	seen    <-chan struct{} // of the knowledge that was looked at last
	lookAt  time.Time       // when it should be looked at again
	digest  uint64          // of the guidance told; 0: none, or others tell it
	toldAt  time.Time
	reading int
}

// next returns what the agent does not know yet; nil where it knows all.
func (t *teller) next(changed <-chan struct{}) *wire.Guidance {
	reading := t.feeds.state.Fleet().Reading(t.engine.Service, t.engine.Address)
	message := t.guidance(changed)
	if message == nil && reading == t.reading {
		return nil
	}
	if message == nil {
		message = &wire.Guidance{ReadingOnly: true}
	}
	if t.reading < 0 {
		message.Region = t.feeds.region
	}
	t.reading = reading
	message.Reading = uint32(reading)
	return message
}

// guidance returns what the agent should be told now; nil where it was told, or
// where that is for other entries.
func (t *teller) guidance(changed <-chan struct{}) *wire.Guidance {
	now := t.feeds.clock.Now()
	if changed == t.seen && now.Before(t.lookAt) {
		return nil
	}
	t.seen, t.lookAt = changed, now.Add(lookInterval)
	if !t.feeds.guides(t.engine) {
		t.digest = 0
		return nil
	}
	message := t.feeds.guidance()
	digest := guidanceDigest(message)
	if digest == t.digest && now.Sub(t.toldAt) < guideInterval {
		return nil
	}
	t.digest, t.toldAt = digest, now
	return message
}

// guidanceDigest tells guidance that says something new from the same told
// again: ages and revisions alone are nothing new.
func guidanceDigest(told *wire.Guidance) uint64 {
	dup := proto.CloneOf(told)
	dup.Revision = 0
	for _, one := range dup.GetWanted() {
		one.AgeMillis = 0
	}
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(dup)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(text)
}

// guidance is what agents are to know now.
func (f *feeds) guidance() *wire.Guidance {
	told := &wire.Guidance{Revision: f.state.Revision(), Region: f.region}
	cat := f.state.Catalog()
	if cat == nil {
		return told
	}
	if origin, rate := cat.Origin(); origin != "" {
		told.OriginUrl, told.OriginRate = "http://"+origin, rate
	}
	loaded := f.state.Fleet().Models()
	cat.Services(func(svc *catalog.Service) {
		if svc.Engine == nil {
			return
		}
		for _, model := range slices.Sorted(maps.Keys(svc.Engine.Loads)) {
			load := svc.Engine.Loads[model]
			told.Wanted = append(told.Wanted, f.wanted(svc, model, loaded[model], load, cat.Resumable(svc.Name)))
		}
	})
	engines := f.state.Fleet().Engines()
	slices.SortFunc(engines, func(left, right fleet.Engine) int { return cmp.Compare(left.Address, right.Address) })
	for _, eng := range engines {
		told.Peers = append(told.Peers, &wire.Node{
			Id: eng.Address, Role: peer.RoleAgent, Region: f.regionOf(eng.FailureDomain), FailureDomain: eng.FailureDomain,
			ControlAddress: f.agentAddress(eng.Address),
		})
	}
	return told
}

// regionOf returns the region of a failure domain; one that is not declared
// counts as a region of its own.
func (f *feeds) regionOf(domain string) string {
	if region := f.regions[domain]; region != "" {
		return region
	}
	return domain
}

// wanted is the version declared, or the newest that an engine has where none
// was declared.
func (f *feeds) wanted(svc *catalog.Service, model string, newest uint64, load time.Duration, cutover bool) *wire.WantedWeights {
	told := &wire.WantedWeights{
		Model: model, Version: max(1, newest), LoadSeconds: load.Seconds(),
		Chunks: uint32(svc.Engine.Chunks), ChunkBytes: uint32(svc.Engine.ChunkBytes), Cutover: cutover,
	}
	if want, ok := f.state.WantedOf(model); ok && want.Version >= told.Version {
		told.Version, told.Fence = want.Version, want.Revision
		told.AgeMillis = uint32(f.clock.Since(want.Since).Milliseconds())
	}
	return told
}
