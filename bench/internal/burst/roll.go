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
	// rollChange is the fraction of chunks that the next version changes.
	rollChange = 0.5
	// calmTime is how long callers send before the roll, to compare with.
	calmTime = 4 * time.Second
	// loadRate is per host: live requests take a part of each engine.
	loadRatePerHost = 1
	// watchInterval is how often the serving hosts are counted.
	watchInterval = 250 * time.Millisecond
	requestTime   = 5 * time.Second
	// loadLimit ends arrivals where the roll does not.
	loadLimit = 60 * time.Second
)

// roll measures the step from a version that serves everywhere to the next.
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
	second, err := r.deployment.Publish(ctx, r.publication(rollChange))
	if err != nil {
		return Result{}, err
	}
	var calm, during *deployment.Load
	if r.current.Load {
		if calm, err = r.calm(ctx); err != nil {
			return Result{}, err
		}
		if during, err = r.startLoad(ctx, loadLimit, second.Version); err != nil {
			return Result{}, err
		}
	}
	result, err := r.step(ctx, second.Version)
	if err != nil || !r.current.Load {
		return result, err
	}
	return result, r.judgeLoad(ctx, &result, calm, during)
}

// step submits the version and counts the serving hosts until all serve it.
func (r *run) step(ctx context.Context, version string) (Result, error) {
	before := r.usage()
	watching, stop := context.WithCancel(ctx)
	var watch sync.WaitGroup
	watch.Go(func() { r.watchServing(watching) })
	started := time.Now()
	err := r.submit(ctx, version)
	if err == nil {
		err = r.waitServing(ctx)
	}
	took := time.Since(started)
	stop()
	watch.Wait()
	if err != nil {
		return Result{}, err
	}
	result, err := r.result(ctx, took, before)
	// Half of the bytes are new, so the bound halves.
	result.BoundSeconds *= rollChange
	result.Ratio = result.Seconds / result.BoundSeconds
	result.MinServing = &r.minimum
	return result, err
}

// watchServing keeps the fewest hosts that had any version loaded.
func (r *run) watchServing(ctx context.Context) {
	r.minimum = r.current.Hosts
	for pause(ctx, watchInterval) == nil {
		serving := 0
		for _, m := range r.deployment.Agents() {
			status, err := r.deployment.EngineStatus(ctx, m)
			if err == nil && status.Version != "" {
				serving++
			}
		}
		if ctx.Err() == nil {
			r.minimum = min(r.minimum, serving)
		}
	}
}

// calm runs callers before the roll, for the comparison.
func (r *run) calm(ctx context.Context) (*deployment.Load, error) {
	if err := r.deployment.WaitAnswering(ctx, deployment.Customers(1)[0]); err != nil {
		return nil, err
	}
	load, err := r.startLoad(ctx, calmTime, "")
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
		Deadline:      requestTime,
		Log:           r.options.ProcessLog,
	})
}

// judgeLoad ends the callers and compares the time between tokens.
func (r *run) judgeLoad(ctx context.Context, result *Result, calm, during *deployment.Load) error {
	if err := during.StopArrivals(ctx); err != nil {
		return err
	}
	quiet, err := calm.Wait(ctx)
	if err != nil {
		return err
	}
	busy, err := during.Wait(ctx)
	if err != nil {
		return err
	}
	found, err := audit.CompareFile(during, audit.Collect(ctx, r.deployment).Runs, r.deployment, requestTime)
	if err != nil {
		return err
	}
	result.Load = &LoadResult{
		Requests:              busy.Requests,
		Answered:              busy.Answered,
		BetweenTokensMsP95:    busy.BetweenTokensMsP95,
		BetweenTokensMsBefore: quiet.BetweenTokensMsP95,
		Violations:            found.Breaches() + busy.WrongAnswer + busy.WrongVersion + busy.Contradicted,
	}
	if result.Load.Violations > 0 {
		return fmt.Errorf("%d invariants broke during the roll: %+v", result.Load.Violations, found.Examples)
	}
	return nil
}
