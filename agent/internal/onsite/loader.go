package onsite

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/burst"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/rollout"
)

const (
	// loaderTick is how often the loader looks at what is wanted and there, and
	// settledTick the same while the engine has what is wanted.
	loaderInterval   = 40 * time.Millisecond
	upToDateInterval = 250 * time.Millisecond
	// originCopies bounds how many hosts may draw one chunk from the origin where
	// the first takes long: its link may have become narrow.
	originCopies = 3
	// orderPause is the pause after an order that was not taken.
	orderRetryDelay = 150 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = time.Second
	// noticeTime is how long entries send nothing new before an order is given, and
	// idleNotice the same where nothing runs: one state's way to them and a request's
	// way here. What runs ends soon without prompts beside it, and what ended need
	// not be cut, read again elsewhere and pause there; longer, engines stand idle.
	noticePeriod     = 600 * time.Millisecond
	idleNoticePeriod = 40 * time.Millisecond
	// recheckTimeout bounds the reading back of all chunks.
	recheckTimeout = 5 * time.Second
)

// versionName names a version of a model among hosts.
func versionName(model string, version uint64) string {
	return model + "@" + strconv.FormatUint(version, 10)
}

// splitName is the reverse of versionName.
func parseVersionName(name string) (model string, version uint64) {
	at := strings.LastIndexByte(name, '@')
	version, _ = strconv.ParseUint(name[at+1:], 10, 64)
	return name[:max(0, at)], version
}

// loader brings the weights wanted into the engine: it sets what the Manager
// fetches and gives the order once all is there.
type loader struct {
	engine          *platform.Engine
	poller          *enginePoller
	guidance        *guidanceStore
	mgr             *weights.Manager
	stage           *stage
	clock           clockwork.Clock
	log             *slog.Logger
	self            string       // this host among others
	oldVersionLimit atomic.Int64 // for the use of a version after a newer one, nanoseconds

	linkRate        float64       // of the host's link, bytes a second; 0: unlimited
	current         atomic.Uint64 // version that the Manager fetches
	previousVersion uint64        // version that was fetched before it; its chunks stay
	prefetchVersion uint64        // version that is fetched after it, into memory; 0: none
	refusedFence    atomic.Uint64 // fencing number that the engine refused in this incarnation; lower ones are not used again
	incarnation     int64         // incarnation of the engine that refused is of
	retryAt         time.Time
}

func (l *loader) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.step(ctx)
		wait := loaderInterval
		if l.upToDate() {
			wait = upToDateInterval
		}
		select {
		case <-ctx.Done():
		case <-l.guidance.changed:
		case <-l.clock.After(wait):
		}
	}
}

// settled reports whether the engine has the newest version.
func (l *loader) upToDate() bool {
	newest, ok := l.guidance.newestWanted()
	report, alive := l.poller.report()
	return ok && alive && report.Loaded[newest.model] >= newest.version
}

func (l *loader) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(wait):
	}
}

func (l *loader) step(ctx context.Context) {
	newest, ok := l.guidance.newestWanted()
	if !ok {
		return
	}
	report, alive := l.poller.report()
	if report.Born != l.incarnation {
		// An engine that started again knows no fencing number.
		l.incarnation = report.Born
		l.refusedFence.Store(0)
	}
	want := l.chooseVersion(newest, report.Loaded[newest.model])
	name := versionName(want.model, want.version)
	if alive {
		if err := l.stage.flush(ctx); err != nil {
			l.log.Warn("chunks in memory cannot be staged", "version", name, "error", err)
			return
		}
	}
	if !alive || report.Busy || report.Loaded[want.model] >= want.version {
		l.poller.setLoadPending(false)
		return
	}
	if l.mgr.State(name).Phase() != weights.Whole || l.clock.Now().Before(l.retryAt) || want.fence > 0 && want.fence <= l.refusedFence.Load() {
		return
	}
	if l.clock.Now().Before(l.loadStart(want, report)) {
		return
	}
	l.orderLoad(ctx, want, name, report)
}

// choose returns the version that the host fetches now and lets the Manager
// fetch it. A version that the host leaves is still given to others.
func (l *loader) chooseVersion(newest wantedWeights, loaded uint64) wantedWeights {
	current := l.current.Load()
	declared := l.guidance.declarations(newest.model)
	host := rollout.Fetch{
		Now: l.clock.Now(), Loaded: loaded, Current: current,
		Whole:    current > 0 && l.mgr.State(versionName(newest.model, current)).Phase() == weights.Whole,
		Progress: l.progress(newest.model, declared),
	}
	version := rollout.Target(declared, host, l.versionUseLimit(), l.estimateMove(newest))
	want := l.guidance.wantedVersion(newest, version)
	prefetchVersion := uint64(0)
	if newest.version > version && l.stage.fits(newest.chunks*newest.chunkBytes) {
		prefetchVersion = newest.version
	}
	if version == current && prefetchVersion == l.prefetchVersion {
		return want
	}
	if version != current {
		l.previousVersion = l.current.Swap(version)
	}
	l.prefetchVersion = prefetchVersion
	l.log.Info("weights wanted", "version", versionName(want.model, version), "before", l.previousVersion, "ahead", prefetchVersion, "loaded", loaded,
		"fence", want.fence, "ageMillis", l.clock.Since(want.declaredAt).Milliseconds(), "place", l.place())
	policy := weights.Policy{Objective: burst.ObjectiveTime, OriginCopies: originCopies}
	if l.previousVersion > 0 {
		policy.Keep = []string{versionName(want.model, l.previousVersion)}
	}
	targets := []weights.Target{l.fetchTarget(want, loaded, wantedPriority)}
	if prefetchVersion > 0 {
		targets = append(targets, l.fetchTarget(newest, loaded, prefetchPriority))
	}
	l.mgr.SetTargets(targets, policy)
	return want
}

// progress returns how far the versions are whose manifest is known.
func (l *loader) progress(model string, declared []rollout.Declared) []rollout.Progress {
	var found []rollout.Progress
	for _, decl := range declared {
		state := l.mgr.State(versionName(model, decl.Version))
		if total := float64(state.Total()); total > 0 {
			found = append(found, rollout.Progress{
				Version: decl.Version, Drawn: float64(state.Drawn()) / total, Held: float64(state.Have()) / total,
			})
		}
	}
	return found
}

// The version wanted goes before the one that is fetched ahead.
const (
	prefetchPriority = 0
	wantedPriority   = 1
)

// target is a version to fetch. Hosts that serve leave the links to those before
// them in the order of turns, from its declaration on.
func (l *loader) fetchTarget(want wantedWeights, loaded uint64, priority int) weights.Target {
	target := weights.Target{Version: versionName(want.model, want.version), Priority: priority}
	if loaded > 0 {
		target.PullFrom = want.declaredAt.Add(rollout.PullDelay(l.estimateMove(want), l.place()))
	}
	return target
}

// limit is how long an old version may be used after a newer one's declaration.
func (l *loader) versionUseLimit() time.Duration { return time.Duration(l.oldVersionLimit.Load()) }

// move returns how long the weights take to come here and into the engine, from
// the notice on.
func (l *loader) estimateMove(want wantedWeights) rollout.Move {
	bytes := want.chunks * want.chunkBytes
	return rollout.Move{Host: transferTime(bytes, l.linkRate), Origin: transferTime(bytes, l.guidance.originRate()), Load: noticePeriod + want.loadTime}
}

// timeOf returns the time of so many bytes at a rate; 0 where that is unknown.
func transferTime(bytes int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

func (l *loader) currentVersion() uint64 { return l.current.Load() }

// place is this host's among all.
func (l *loader) place() float64 {
	hosts := l.guidance.hosts()
	ids := make([]string, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, host.GetId())
	}
	return rollout.Place(l.self, ids)
}

// start returns when this host's turn to load comes: at once where it serves
// nothing.
func (l *loader) loadStart(want wantedWeights, report platform.EngineReport) time.Time {
	deadline, ok := rollout.Deadline(l.guidance.declarations(want.model), report.Loaded[want.model], l.versionUseLimit())
	if report.Loaded[want.model] == 0 || !ok {
		return time.Time{}
	}
	now := l.clock.Now()
	if report.Running > 0 && !rollout.MayCut(now, deadline) {
		return now.Add(loaderInterval)
	}
	start := rollout.Start(want.declaredAt, deadline, l.estimateMove(want), l.place())
	if l.poller.countFinalRequests() > 0 && rollout.LetsPass(now, start, deadline, l.estimateMove(want)) {
		return now.Add(loaderInterval)
	}
	return start
}

// notice returns how long before an order nothing new should come.
func noticePeriodFor(report platform.EngineReport) time.Duration {
	if report.Running == 0 {
		return idleNoticePeriod
	}
	return noticePeriod
}

// order reads the staged chunks back, because they may have turned bad where
// they lie, and orders the engine to load them at once.
func (l *loader) orderLoad(ctx context.Context, want wantedWeights, name string, report platform.EngineReport) {
	checkCtx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	if err := l.stage.flush(checkCtx); err != nil {
		l.log.Warn("chunks in memory cannot be staged", "version", name, "error", err)
		return
	}
	bad, err := l.mgr.Recheck(checkCtx, name)
	if bad > 0 || err != nil {
		l.log.Warn("staged weights are not whole", "version", name, "bad", bad, "error", err)
		l.retryAt = l.clock.Now().Add(loaderInterval)
		return
	}
	l.poller.setLoadPending(true)
	// Entries learn that nothing new should come before the engine stops.
	l.poller.notify()
	l.sleep(ctx, noticePeriodFor(report))
	if current, alive := l.poller.report(); !alive || current.Born != report.Born {
		// One that started again meanwhile may have lost what was read back, and
		// its count of orders begins anew: the condition below would hold.
		l.log.Info("no order: the engine is another one or gone", "version", name, "born", report.Born, "now", current.Born, "alive", alive)
		l.poller.setLoadPending(false)
		return
	}
	orderCtx, cancelOrder := context.WithTimeout(ctx, orderTimeout)
	defer cancelOrder()
	err = l.engine.Load(orderCtx, platform.Order{
		Model: want.model, Version: want.version, Orders: report.Orders, Fence: want.fence, Cutover: want.cutover,
	})
	l.log.Info("order", "version", name, "fence", want.fence, "orders", report.Orders, "running", report.Running, "error", err)
	l.poller.poll(ctx)
	if err == nil {
		return
	}
	if failure.KindOf(err) == failure.Stale {
		l.refusedFence.Store(max(l.refusedFence.Load(), want.fence))
	}
	l.poller.setLoadPending(false)
	l.retryAt = l.clock.Now().Add(orderRetryDelay)
}
