package onsite

import (
	"context"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/agent/internal/weights"
	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/burst"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/rollout"
)

const (
	// loaderTick is how often the loader looks at what is wanted and there.
	loaderTick = 40 * time.Millisecond
	// orderPause is the pause after an order that was not taken.
	orderPause = 150 * time.Millisecond
	// orderTimeout bounds one order.
	orderTimeout = time.Second
	// noticeTime is how long entries have to hear of an order before it is given:
	// one state's way to them and a request's way here.
	noticeTime = 40 * time.Millisecond
	// recheckTimeout bounds the reading back of all chunks.
	recheckTimeout = 5 * time.Second
)

// versionName names a version of a model among hosts.
func versionName(model string, version uint64) string {
	return model + "@" + strconv.FormatUint(version, 10)
}

// splitName is the reverse of versionName.
func splitName(name string) (model string, version uint64) {
	at := strings.LastIndexByte(name, '@')
	version, _ = strconv.ParseUint(name[at+1:], 10, 64)
	return name[:max(0, at)], version
}

// loader brings the weights wanted into the engine: it sets what the Manager
// fetches and gives the order once all is there.
type loader struct {
	engine *platform.Engine
	watch  *watch
	guide  *guide
	mgr    *weights.Manager
	clock  clockwork.Clock
	log    *slog.Logger
	self   string        // this host among others
	bound  time.Duration // for the use of a version after a newer one

	target  string    // version that the Manager fetches
	ready   time.Time // when it lay ready here; zero: not yet
	refused uint64    // fencing number that the engine refused; lower ones are not used again
	notTill time.Time
}

func (l *loader) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.step(ctx)
		select {
		case <-ctx.Done():
		case <-l.guide.changed:
		case <-l.clock.After(loaderTick):
		}
	}
}

func (l *loader) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-l.clock.After(wait):
	}
}

func (l *loader) step(ctx context.Context) {
	want, ok := l.guide.weights()
	if !ok {
		return
	}
	name := versionName(want.model, want.version)
	if name != l.target {
		l.target, l.ready = name, time.Time{}
		l.log.Info("weights wanted", "version", name, "fence", want.fence, "ageMillis", l.clock.Since(want.since).Milliseconds())
		l.mgr.SetTargets([]weights.Target{{Version: name}}, weights.Policy{Objective: burst.ObjectiveTime, OriginCopies: 1})
	}
	report, alive := l.watch.report()
	if !alive || report.Busy || report.Loaded[want.model] >= want.version {
		l.watch.setOrdering(false)
		return
	}
	if l.mgr.State(name).Phase() != weights.Whole || l.clock.Now().Before(l.notTill) || want.fence > 0 && want.fence <= l.refused {
		return
	}
	if l.ready.IsZero() {
		l.ready = l.clock.Now()
	}
	if l.clock.Now().Before(l.start(want, name, report)) {
		return
	}
	l.order(ctx, want, name, report)
}

// start returns when this host's turn to load comes: at once where it serves
// nothing.
func (l *loader) start(want wanted, name string, report platform.EngineReport) time.Time {
	loaded := report.Loaded[want.model]
	deadline, ok := rollout.Deadline(l.guide.declared(want.model), loaded, l.bound)
	if loaded == 0 || !ok {
		return l.ready
	}
	hosts := l.guide.hosts()
	ids := make([]string, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, host.GetId())
	}
	return rollout.Start(l.ready, deadline, want.load, l.self, ids, name)
}

// order reads the staged chunks back, because they may have turned bad where
// they lie, and orders the engine to load them at once.
func (l *loader) order(ctx context.Context, want wanted, name string, report platform.EngineReport) {
	checkCtx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	bad, err := l.mgr.Recheck(checkCtx, name)
	if bad > 0 || err != nil {
		l.log.Warn("staged weights are not whole", "version", name, "bad", bad, "error", err)
		l.notTill = l.clock.Now().Add(loaderTick)
		return
	}
	l.watch.setOrdering(true)
	// Entries hear that nothing new should come before the engine stops.
	l.sleep(ctx, noticeTime)
	if _, alive := l.watch.report(); !alive {
		return
	}
	orderCtx, cancelOrder := context.WithTimeout(ctx, orderTimeout)
	defer cancelOrder()
	err = l.engine.Load(orderCtx, platform.Order{
		Model: want.model, Version: want.version, Orders: report.Orders, Fence: want.fence, Cutover: want.cutover,
	})
	l.log.Info("order", "version", name, "fence", want.fence, "orders", report.Orders, "running", report.Running, "error", err)
	l.watch.poll(ctx)
	if err == nil {
		return
	}
	if failure.KindOf(err) == failure.Stale {
		l.refused = max(l.refused, want.fence)
	}
	l.watch.setOrdering(false)
	l.notTill = l.clock.Now().Add(orderPause)
}
