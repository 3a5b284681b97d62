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
	"comfreyrelay.example/relay/freshness"
	"comfreyrelay.example/relay/rollout"
)

const (
	// loaderInterval is the time between two steps of the loader, and
	// upToDateInterval the same while the engine has loaded the newest version.
	loaderInterval   = 40 * time.Millisecond
	upToDateInterval = 250 * time.Millisecond
	// originCopies is the maximum number of hosts that may download the same chunk from
	// the origin. More than one may if the first is slow, since its link may have lost
	// bandwidth.
	originCopies = 3
	// orderRetryDelay is the pause after the engine rejected a load order.
	orderRetryDelay = 150 * time.Millisecond
	// orderTimeout bounds one load order.
	orderTimeout = time.Second
	// noticePeriod is how long before a load order entries stop sending new requests.
	// Without new prompts, running requests finish soon, and a finished request need not
	// be cut off and have its prompt processed again at another engine, which pauses its
	// stream. A longer period would leave engines idle. idleNoticePeriod applies where
	// nothing runs: it covers one state message to the entries and one request from them.
	noticePeriod     = 600 * time.Millisecond
	idleNoticePeriod = 40 * time.Millisecond
	// recheckTimeout bounds reading all staged chunks back for verification.
	recheckTimeout = 5 * time.Second
	// corruptionTolerance is how long before the engine accepts a load order a chunk may have
	// been corrupted without the load counting as one of corrupted weights.
	corruptionTolerance = 3 * time.Second
	// maxVerificationAge is how old the verification of the staged chunks may be when a load
	// order is sent. The engine accepts the order within orderTimeout.
	maxVerificationAge = corruptionTolerance - orderTimeout
)

// versionName returns the name that hosts use among each other for a version of a model.
func versionName(model string, version uint64) string {
	return model + "@" + strconv.FormatUint(version, 10)
}

// parseVersionName splits a name that versionName returned.
func parseVersionName(name string) (model string, version uint64) {
	at := strings.LastIndexByte(name, '@')
	version, _ = strconv.ParseUint(name[at+1:], 10, 64)
	return name[:max(0, at)], version
}

// loader brings the wanted weights into the engine. It sets which versions the Manager
// fetches, and orders the engine to load one as soon as it is complete.
type loader struct {
	engine          *platform.Engine
	poller          *enginePoller
	guidance        *guidanceStore
	mgr             *weights.Manager
	stage           *stage
	clock           clockwork.Clock
	bootClock       func() time.Duration // counts suspensions of the host
	log             *slog.Logger
	self            string       // node ID of this host
	oldVersionLimit atomic.Int64 // how long a version may be used after a newer one was declared, nanoseconds

	linkRate        float64       // rate of the host's link, bytes per second; 0: unlimited
	current         atomic.Uint64 // version that the Manager fetches
	previousVersion uint64        // version that was fetched before current; its chunks are kept
	prefetchVersion uint64        // version that is prefetched into memory after current; 0: none
	// refusedFence is the highest fencing number that the engine refused in this
	// incarnation. Neither it nor lower ones are used again.
	refusedFence atomic.Uint64
	incarnation  int64     // engine incarnation to which refusedFence applies
	retryAt      time.Time // no load order is sent before this time
}

// run calls step at intervals, and whenever guidance arrives, until ctx is done.
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

// upToDate reports whether the engine has loaded the newest wanted version.
func (l *loader) upToDate() bool {
	newest, ok := l.guidance.newestWanted()
	report, alive := l.poller.report()
	return ok && alive && report.Loaded[newest.model] >= newest.version
}

// sleep waits for the given time or until ctx is done.
func (l *loader) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(wait):
	}
}

// step chooses the version to fetch, stages chunks that are in memory, and sends a load
// order if the version is complete and this host's turn to load has come.
func (l *loader) step(ctx context.Context) {
	newest, ok := l.guidance.newestWanted()
	if !ok {
		return
	}
	report, alive := l.poller.report()
	if report.Born != l.incarnation {
		// A restarted engine does not remember any fencing number.
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

// chooseVersion returns the version to fetch now, and passes it to the Manager as a target
// if it changed. The host keeps serving the previously fetched version to its peers.
func (l *loader) chooseVersion(newest wantedWeights, loaded uint64) wantedWeights {
	current := l.current.Load()
	declared := l.guidance.declarations(newest.model)
	host := rollout.Fetch{
		Now: l.clock.Now(), Loaded: loaded, Current: current,
		Complete: current > 0 && l.mgr.State(versionName(newest.model, current)).Phase() == weights.Whole,
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

// progress returns the transfer progress of each declared version whose manifest is known.
func (l *loader) progress(model string, declared []rollout.Declared) []rollout.Progress {
	var found []rollout.Progress
	for _, decl := range declared {
		state := l.mgr.State(versionName(model, decl.Version))
		if total := float64(state.Total()); total > 0 {
			found = append(found, rollout.Progress{
				Version: decl.Version, SentByOrigin: float64(state.Drawn()) / total, Received: float64(state.Have()) / total,
			})
		}
	}
	return found
}

// The current version takes precedence over the one that is prefetched.
const (
	prefetchPriority = 0
	wantedPriority   = 1
)

// fetchTarget returns the Manager's target for a version. A host that serves delays its
// pulls from peers, counted from the version's declaration, so that hosts whose turn to
// load comes earlier have the links to themselves.
func (l *loader) fetchTarget(want wantedWeights, loaded uint64, priority int) weights.Target {
	target := weights.Target{Version: versionName(want.model, want.version), Priority: priority}
	if loaded > 0 {
		target.PullNotBefore = want.declaredAt.Add(rollout.PullDelay(l.estimateMove(want), l.place()))
	}
	return target
}

// versionUseLimit returns how long a version may be used after a newer one was declared.
func (l *loader) versionUseLimit() time.Duration { return time.Duration(l.oldVersionLimit.Load()) }

// estimateMove returns the estimated times for transferring the weights to this host and
// for loading them into the engine, including the notice period.
func (l *loader) estimateMove(want wantedWeights) rollout.TransferTimes {
	bytes := want.chunks * want.chunkBytes
	return rollout.TransferTimes{Host: transferTime(bytes, l.linkRate), Origin: transferTime(bytes, l.guidance.originRate()), Load: noticePeriod + want.loadTime}
}

// transferTime returns the time to transfer the bytes at a rate in bytes per second; 0 if
// the rate is unknown.
func transferTime(bytes int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / rate * float64(time.Second))
}

// currentVersion returns the version that the Manager fetches; 0: none yet.
func (l *loader) currentVersion() uint64 { return l.current.Load() }

// place returns this host's position, from 0 to 1, in the order in which hosts load.
func (l *loader) place() float64 {
	hosts := l.guidance.hosts()
	ids := make([]string, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, host.GetId())
	}
	return rollout.Place(l.self, ids)
}

// loadStart returns when this host should load the version. The zero time means at once:
// nothing is loaded yet, or the loaded version has no deadline. While the load has to wait
// for running requests, loadStart returns the time of the loader's next step.
func (l *loader) loadStart(want wantedWeights, report platform.EngineReport) time.Time {
	deadline, ok := rollout.Deadline(l.guidance.declarations(want.model), report.Loaded[want.model], l.versionUseLimit())
	if report.Loaded[want.model] == 0 || !ok {
		return time.Time{}
	}
	now := l.clock.Now()
	if report.Running > 0 && !rollout.MayInterrupt(now, deadline) {
		return now.Add(loaderInterval)
	}
	start := rollout.Start(want.declaredAt, deadline, l.estimateMove(want), l.place())
	if l.poller.countPinnedRequests() > 0 && rollout.MayPostpone(now, start, deadline, l.estimateMove(want)) {
		return now.Add(loaderInterval)
	}
	return start
}

// noticePeriodFor returns how long before a load order entries should stop sending
// new requests.
func noticePeriodFor(report platform.EngineReport) time.Duration {
	if report.Running == 0 {
		return idleNoticePeriod
	}
	return noticePeriod
}

// verification is a verification of all staged chunks that found them intact.
type verification struct {
	proof    freshness.Proof
	took     time.Duration
	repaired uint64 // corrupted chunks that were staged again
	writes   uint64 // the stage's writes when it ended
}

// verifyStaged reads the staged chunks of a version back, because they may have been corrupted
// since they were staged. ok is false if they are not all intact or could not be read.
func (l *loader) verifyStaged(ctx context.Context, name string) (found verification, ok bool) {
	checkCtx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	if err := l.stage.flush(checkCtx); err != nil {
		l.log.Warn("chunks in memory cannot be staged", "version", name, "error", err)
		return found, false
	}
	before := l.stage.writeCount()
	found.proof = freshness.NewProof(l.bootClock)
	l.stage.beginVerification()
	bad, err := l.mgr.VerifyStored(checkCtx, name)
	found.took, found.writes = found.proof.Age(), l.stage.writeCount()
	found.repaired = found.writes - before
	if bad > 0 || err != nil {
		l.log.Warn("staged weights are not whole", "version", name, "bad", bad, "error", err)
		l.retryAt = l.clock.Now().Add(loaderInterval)
		return found, false
	}
	return found, true
}

// verifyAgain returns the verification if it may still be relied on, and otherwise a new one: a
// host that stood still does not know what happened to the staged chunks meanwhile.
func (l *loader) verifyAgain(ctx context.Context, name string, earlier verification) (found verification, ok bool) {
	if earlier.proof.Holds(maxVerificationAge) {
		return earlier, true
	}
	age := earlier.proof.Age()
	if found, ok = l.verifyStaged(ctx, name); !ok {
		return found, false
	}
	ok = found.proof.Holds(maxVerificationAge)
	l.log.Info("staged weights verified again", "version", name, "formerAgeMillis", age.Milliseconds(),
		"verifyMillis", found.took.Milliseconds(), "repaired", found.repaired, "inTime", ok)
	return found, ok
}

// orderLoad verifies the staged chunks and orders the engine to load them after the notice period.
func (l *loader) orderLoad(ctx context.Context, want wantedWeights, name string, report platform.EngineReport) {
	verified, ok := l.verifyStaged(ctx, name)
	if !ok {
		return
	}
	l.poller.setLoadPending(true)
	// Tell entries to stop sending new requests before the engine stops serving.
	l.poller.notify()
	l.sleep(ctx, noticePeriodFor(report))
	if verified, ok = l.verifyAgain(ctx, name, verified); !ok {
		l.poller.setLoadPending(false)
		return
	}
	if current, alive := l.poller.report(); !alive || current.Born != report.Born {
		// An engine that restarted meanwhile may have lost the chunks that were just
		// verified. Its count of orders starts over, so the precondition of the order
		// below might hold nevertheless.
		l.log.Info("load order skipped: the engine restarted or does not answer", "version", name, "born", report.Born, "now", current.Born, "alive", alive)
		l.poller.setLoadPending(false)
		return
	}
	sentAge := verified.proof.Age()
	orderCtx, cancelOrder := context.WithTimeout(ctx, orderTimeout)
	defer cancelOrder()
	err := l.engine.Load(orderCtx, platform.Order{
		Model: want.model, Version: want.version, Orders: report.Orders, Fence: want.fence, Cutover: want.cutover,
	})
	l.log.Info("order", "version", name, "fence", want.fence, "orders", report.Orders, "running", report.Running, "error", err,
		"verifyMillis", verified.took.Milliseconds(), "verifiedAgeMillis", sentAge.Milliseconds(),
		"answerMillis", (verified.proof.Age() - sentAge).Milliseconds(), "repaired", verified.repaired, "stagedSince", l.stage.writeCount()-verified.writes)
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
