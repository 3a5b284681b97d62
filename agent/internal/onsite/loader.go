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
	suspect      suspectLoad
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
		l.incarnation, l.suspect = report.Born, suspectLoad{}
		l.refusedFence.Store(0)
	}
	l.poller.setWithheld(alive && l.isSuspect(ctx, newest.model, report))
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
