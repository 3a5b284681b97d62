package burst

import (
	"context"
	"fmt"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/audit"
	"comfreyrelay.example/bench/internal/deployment"
)

const (
	// rollChangedFraction is the fraction of chunks that the next version changes.
	rollChangedFraction = 0.5
	// beforeTime is how long callers send before the roll, for comparison.
	beforeTime = 4 * time.Second
	// loadRatePerHost is in requests per second; they use a part of each engine.
	loadRatePerHost = 1
	// watchInterval is the time between two counts of the serving hosts.
	watchInterval   = 250 * time.Millisecond
	requestDeadline = 5 * time.Second
	// loadLimit ends the arrivals if the roll does not end before.
	loadLimit = 60 * time.Second
)

// roll measures the rollout from a version that all hosts serve to the next one.
func (r *run) roll(ctx context.Context) (Result, error) {
	first, err := r.deployment.Publish(ctx, r.publication(0))
	if err != nil {
		return Result{}, err
	}
	if err := r.submit(ctx, first.Version); err != nil {
		return Result{}, err
	}
	if err := r.waitServing(ctx); err != nil {
		return Result{}, err
	}
	second, err := r.deployment.Publish(ctx, r.publication(rollChangedFraction))
	if err != nil {
		return Result{}, err
	}
	var loadBefore, during *deployment.Load
	if r.current.Load {
		if loadBefore, err = r.loadBefore(ctx); err != nil {
			return Result{}, err
		}
		if during, err = r.startLoad(ctx, loadLimit, second.Version); err != nil {
			return Result{}, err
		}
	}
	result, err := r.measureRoll(ctx, second.Version)
	if err != nil || !r.current.Load {
		return result, err
	}
	return result, r.evaluateLoad(ctx, &result, loadBefore, during)
}

// measureRoll submits the version, waits until all hosts serve it and counts the
// serving hosts meanwhile.
func (r *run) measureRoll(ctx context.Context, version string) (Result, error) {
	before := r.usage()
	watchCtx, stop := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	watcher.Go(func() { r.watchServing(watchCtx) })
	started := time.Now()
	err := r.submit(ctx, version)
	if err == nil {
		err = r.waitServing(ctx)
	}
	took := time.Since(started)
	stop()
	watcher.Wait()
	if err != nil {
		return Result{}, err
	}
	result, err := r.result(ctx, took, before)
	// Only the changed fraction of the bytes is transferred, so the bound shrinks
	// accordingly: half of the bytes, half of the bound.
	result.BoundSeconds *= rollChangedFraction
	result.Ratio = result.Seconds / result.BoundSeconds
	result.MinServing = &r.minServing
	return result, err
}

// watchServing records the minimum number of hosts that had any version loaded.
func (r *run) watchServing(ctx context.Context) {
	r.minServing = r.current.Hosts
	for pause(ctx, watchInterval) == nil {
		serving := 0
		for _, m := range r.deployment.Agents() {
			status, err := r.deployment.EngineStatus(ctx, m)
			if err == nil && status.Version != "" {
				serving++
			}
		}
		if ctx.Err() == nil {
			r.minServing = min(r.minServing, serving)
		}
	}
}

// loadBefore runs callers before the roll, for comparison.
func (r *run) loadBefore(ctx context.Context) (*deployment.Load, error) {
	if err := r.deployment.WaitAnswering(ctx, deployment.Customers(1)[0]); err != nil {
		return nil, err
	}
	load, err := r.startLoad(ctx, beforeTime, "")
	if err != nil {
		return nil, err
	}
	_, err = load.Wait(ctx)
	return load, err
}

func (r *run) startLoad(ctx context.Context, time time.Duration, next string) (*deployment.Load, error) {
	versions := []string{r.version}
	if next != "" {
		versions = append(versions, next)
	}
	return r.deployment.StartLoad(ctx, deployment.LoadOptions{
		Customers:     deployment.EvenShares(deployment.Customers(customerCount)),
		Rate:          float64(loadRatePerHost * r.current.Hosts),
		Time:          time,
		Seed:          r.seed,
		Versions:      versions,
		NonRepeatable: 0.2,
		Deadline:      requestDeadline,
		Log:           r.options.ProcessLog,
	})
}

// evaluateLoad stops the callers, audits their records and compares the time between
// tokens before and during the roll.
func (r *run) evaluateLoad(ctx context.Context, result *Result, loadBefore, during *deployment.Load) error {
	if err := during.StopArrivals(ctx); err != nil {
		return err
	}
	before, err := loadBefore.Wait(ctx)
	if err != nil {
		return err
	}
	summary, err := during.Wait(ctx)
	if err != nil {
		return err
	}
	found, err := audit.CompareFile(during, audit.Collect(ctx, r.deployment).Runs, r.deployment, requestDeadline)
	if err != nil {
		return err
	}
	result.Load = &LoadResult{
		Requests:              summary.Requests,
		Answered:              summary.Answered,
		BetweenTokensMsP95:    summary.BetweenTokensMsP95,
		BetweenTokensMsBefore: before.BetweenTokensMsP95,
		Violations:            found.Breaches() + summary.WrongAnswer + summary.WrongVersion + summary.Contradicted,
	}
	if result.Load.Violations > 0 {
		return fmt.Errorf("%d invariants broke during the roll: %+v", result.Load.Violations, found.Examples)
	}
	return nil
}
