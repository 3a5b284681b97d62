package onsite

import (
	"context"
	"strconv"
	"time"

	"comfreyrelay.example/platform"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/freshness"
)

const (
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

// noticePeriodFor returns how long before a load order entries should stop sending
// new requests.
func noticePeriodFor(report platform.EngineReport) time.Duration {
	if report.Running == 0 {
		return idleNoticePeriod
	}
	return noticePeriod
}

// verification is a verification of all staged chunks.
type verification struct {
	proof    freshness.Proof
	took     time.Duration
	repaired uint64 // corrupted chunks that were staged again
	writes   uint64 // the stage's writes when it ended
}

// verifyStaged reads the staged chunks of a version back, because they may have been corrupted
// since they were staged. The error has kind Corrupt if chunks are missing or corrupted and could
// not be staged again.
func (l *loader) verifyStaged(ctx context.Context, name string) (found verification, err error) {
	checkCtx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	if err := l.stage.flush(checkCtx); err != nil {
		l.log.Warn("chunks in memory cannot be staged", "version", name, "error", err)
		return found, err
	}
	before := l.stage.writeCount()
	found.proof = freshness.NewProof(l.bootClock)
	l.stage.beginVerification()
	bad, err := l.mgr.VerifyStored(checkCtx, name)
	found.took, found.writes = found.proof.Age(), l.stage.writeCount()
	found.repaired = found.writes - before
	if bad > 0 {
		err = failure.New(failure.Corrupt, strconv.Itoa(bad)+" staged chunks are missing or corrupted", "they are fetched again")
	}
	if err != nil {
		l.log.Warn("staged weights are not whole", "version", name, "bad", bad, "error", err)
		l.retryAt = l.clock.Now().Add(loaderInterval)
	}
	return found, err
}

// verifyAgain returns the verification if it may still be relied on, and otherwise a new one: a
// host that stood still does not know what happened to the staged chunks meanwhile.
func (l *loader) verifyAgain(ctx context.Context, name string, earlier verification) (found verification, ok bool) {
	if earlier.proof.Holds(maxVerificationAge) {
		return earlier, true
	}
	age := earlier.proof.Age()
	found, err := l.verifyStaged(ctx, name)
	if err != nil {
		return found, false
	}
	ok = found.proof.Holds(maxVerificationAge)
	l.log.Info("staged weights verified again", "version", name, "formerAgeMillis", age.Milliseconds(),
		"verifyMillis", found.took.Milliseconds(), "repaired", found.repaired, "inTime", ok)
	return found, ok
}

// suspectLoad is a load whose order the engine may have accepted when the verification of the
// staged chunks was too old. The zero value is none.
type suspectLoad struct {
	version   uint64
	corrupted bool // chunks were found corrupted; otherwise they could not be read yet
}

// checkAcceptance decides whether a load is suspect after its order.
func (l *loader) checkAcceptance(ctx context.Context, model string, version uint64, verified verification, orderErr error) {
	switch {
	case orderErr == nil && verified.proof.Holds(corruptionTolerance):
		l.suspect = suspectLoad{}
	case orderErr == nil || failure.KindOf(orderErr) == failure.Ambiguous:
		l.suspect = suspectLoad{version: version}
		l.examineSuspect(ctx, model)
	}
}

// examineSuspect verifies the staged chunks of the suspect load. If they are intact now, they were
// so when the engine accepted the order. A chunk that is repaired now was corrupted then, as far
// as known.
func (l *loader) examineSuspect(ctx context.Context, model string) {
	name := versionName(model, l.suspect.version)
	found, err := l.verifyStaged(ctx, name)
	switch {
	case found.repaired > 0 || err != nil && failure.KindOf(err) == failure.Corrupt:
		l.suspect.corrupted = true
		l.log.Error("the engine may have loaded corrupted weights, it gets no requests until it loads others", "version", name, "repaired", found.repaired)
	case err == nil:
		l.suspect = suspectLoad{}
		l.log.Info("staged weights verified after a late order", "version", name, "verifyMillis", found.took.Milliseconds())
	}
}

// isSuspect reports whether the engine serves the weights of a suspect load. No order makes it load
// the same version once more, so it gets no requests until it has loaded another one.
func (l *loader) isSuspect(ctx context.Context, model string, report platform.EngineReport) bool {
	if l.suspect.version == 0 || report.Loaded[model] != l.suspect.version {
		return false
	}
	if !l.suspect.corrupted && !l.clock.Now().Before(l.retryAt) {
		l.examineSuspect(ctx, model)
	}
	return l.suspect.version != 0
}

// orderLoad verifies the staged chunks and orders the engine to load them after the notice period.
func (l *loader) orderLoad(ctx context.Context, want wantedWeights, name string, report platform.EngineReport) {
	verified, err := l.verifyStaged(ctx, name)
	if err != nil {
		return
	}
	l.poller.setLoadPending(true)
	// Tell entries to stop sending new requests before the engine stops serving.
	l.poller.notify()
	l.sleep(ctx, noticePeriodFor(report))
	verified, ok := l.verifyAgain(ctx, name, verified)
	if !ok {
		l.poller.setLoadPending(false)
		return
	}
	// The newest report may be from before a suspension of this host.
	l.poller.poll(ctx)
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
	err = l.engine.Load(orderCtx, platform.Order{
		Model: want.model, Version: want.version, Orders: report.Orders, Fence: want.fence, Cutover: want.cutover,
	})
	l.log.Info("order", "version", name, "fence", want.fence, "orders", report.Orders, "running", report.Running, "error", err,
		"verifyMillis", verified.took.Milliseconds(), "verifiedAgeMillis", sentAge.Milliseconds(),
		"answerMillis", (verified.proof.Age() - sentAge).Milliseconds(), "repaired", verified.repaired, "stagedSince", l.stage.writeCount()-verified.writes)
	l.checkAcceptance(ctx, want.model, want.version, verified, err)
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
