// Package requests measures requests under load, faults and shutdowns: real
// processes, open arrivals, answers checked by the callers and runs counted by
// the back ends.
package requests

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"comfreyrelay.example/bench/internal/audit"
	"comfreyrelay.example/bench/internal/deployment"
)

// The deployment of the experiments: one of the users' deployments.
const (
	entryCount    = 9
	hostCount     = 14
	serviceCount  = 3
	customerCount = 10
	modelMiB      = 1
	chunkKiB      = 64
)

// The engines of the experiments.
const (
	slots              = 8
	queue              = 16
	tokenTime          = 10 * time.Millisecond
	firstTokenTime     = 40 * time.Millisecond
	cachedPrefixFactor = 0.25 // of the first token's time with a cached prefix
	answerTokens       = 32
	cachePrefixes      = 64
	promptGroups       = 400
	promptBytes        = 200
)

// Times of one case; all of it stays under a minute.
const (
	caseLimit   = 70 * time.Second
	loadTime    = 20 * time.Second
	beforeTime  = 10 * time.Second
	compareTime = 3 * time.Second
	compareLoad = 0.2 // of the capacity, straight and through the system
	faultDelay  = 3 * time.Second
	// warmTime and endTime are left out of the rates.
	warmUpTime    = 4 * time.Second
	tailTime      = time.Second
	watchInterval = 500 * time.Millisecond
	// longTime covers a restart of every entry and agent, each with its drain;
	// arrivals stop once it is over and a little longer.
	untilFaultEndsTime = 45 * time.Second
	afterFaultTime     = 2 * time.Second
	deadline           = 5 * time.Second
)

// Fractions of the requests; those to services come on top.
const (
	nonRepeatable = 0.3
	doubleSend    = 0.1
	toServices    = 0.05
)

// Options configure a run of cases.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// ProcessLog receives the processes' logs.
	ProcessLog io.Writer
	Log        *slog.Logger
	Seed       uint64
}

// capacity is what the engines answer a second with every slot taken and every
// prefix cached, so a goodput of 1 is out of reach.
func capacity() float64 {
	perToken := tokenTime.Seconds() * (2 - 1.0/slots)
	perRequest := cachedPrefixFactor*firstTokenTime.Seconds() + answerTokens*perToken
	return hostCount * slots / perRequest
}

// run is one case while it runs.
type run struct {
	options    Options
	current    Case
	deployment *deployment.Deployment
	version    string
	customers  []deployment.Customer
}

// Run runs one case and returns its line.
func Run(ctx context.Context, options Options, current Case) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	r := &run{options: options, current: current, customers: deployment.Customers(customerCount)}
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	defer r.deployment.Stop()
	result := Named(current)
	var err error
	if result.AddedMsP50, err = r.addedLatency(ctx); err != nil {
		return result, err
	}
	var before deployment.LoadSummary
	if current.CompareBefore {
		if before, err = r.load(ctx, r.loadOptions(current.Load, beforeTime)); err != nil {
			return result, err
		}
	}
	return result, r.measure(ctx, &result, before)
}

func (r *run) start(ctx context.Context) (err error) {
	r.deployment, err = deployment.Start(ctx, deployment.Config{
		Bin:              r.options.Bin,
		Log:              r.options.ProcessLog,
		Places:           deployment.Quetzal(),
		Entries:          entryCount,
		Hosts:            hostCount,
		Services:         serviceCount,
		RoutePolicy:      r.current.Policy,
		OneEngineProcess: true,
		Engine: deployment.Engine{
			Slots:          slots,
			Queue:          queue,
			TokenInterval:  tokenTime,
			FirstTokenTime: firstTokenTime,
			CachePrefixes:  cachePrefixes,
		},
	})
	if err != nil {
		return err
	}
	return r.serve(ctx)
}

// serve brings the model to every host.
func (r *run) serve(ctx context.Context) error {
	if err := r.deployment.WaitRoutable(ctx); err != nil {
		return err
	}
	made, err := r.deployment.Publish(ctx, deployment.Publication{Model: deployment.ModelName, Mib: modelMiB, ChunkKib: chunkKiB, Seed: r.options.Seed})
	if err != nil {
		return err
	}
	r.version = made.Version
	doc := r.deployment.Document(deployment.Desired{Version: made.Version, Objective: deployment.ObjectiveTime, Customers: r.customers})
	if _, err := r.deployment.Submit(ctx, r.deployment.Entries()[0], 0, doc, "comfreybench requests"); err != nil {
		return err
	}
	if err := r.deployment.WaitServing(ctx, r.deployment.Agents(), made.Version, nil); err != nil {
		return err
	}
	return r.deployment.WaitAnswering(ctx, r.customers[0])
}

// plain is the load of all customers alike.
func (r *run) loadOptions(load float64, length time.Duration) deployment.LoadOptions {
	return deployment.LoadOptions{
		Customers:     deployment.EvenShares(r.customers),
		Rate:          load * capacity(),
		Time:          length,
		Seed:          r.options.Seed,
		Versions:      []string{r.version},
		MaxTokens:     answerTokens,
		PromptBytes:   promptBytes,
		PromptGroups:  promptGroups,
		NonRepeatable: nonRepeatable,
		DoubleSend:    doubleSend,
		Deadline:      deadline,
		Log:           r.options.ProcessLog,
	}
}

// added compares the first token through the system with the engines' own, at
// the same light load of prompts that every engine has cached.
func (r *run) addedLatency(ctx context.Context) (float64, error) {
	options := r.loadOptions(compareLoad, compareTime)
	options.PromptGroups, options.NonRepeatable = 1, 0
	options.Direct = true
	direct, err := r.load(ctx, options)
	if err != nil {
		return 0, err
	}
	options.Direct = false
	through, err := r.load(ctx, options)
	return through.FirstTokenMsP50 - direct.FirstTokenMsP50, err
}

// load runs callers to their end.
func (r *run) load(ctx context.Context, options deployment.LoadOptions) (deployment.LoadSummary, error) {
	load, err := r.deployment.StartLoad(ctx, options)
	if err != nil {
		return deployment.LoadSummary{}, err
	}
	return load.Wait(ctx)
}

// strike lets the trouble happen; in a long case arrivals end soon after it.
func (r *run) injectFault(ctx context.Context, loadRuns []*loadRun) error {
	if r.current.Fault == nil {
		return nil
	}
	if err := pause(ctx, faultDelay); err != nil {
		return err
	}
	r.options.Log.Info("trouble", "case", r.current.Name)
	if err := r.current.Fault(ctx, r.deployment); err != nil {
		return fmt.Errorf("trouble: %w", err)
	}
	if !r.current.UntilFaultEnds {
		return nil
	}
	if err := pause(ctx, afterFaultTime); err != nil {
		return err
	}
	for _, lr := range loadRuns {
		if lr.load.Ended() {
			continue
		}
		if err := lr.load.StopArrivals(ctx); err != nil {
			return err
		}
	}
	return nil
}

// measure runs the case's own load and fills the result.
func (r *run) measure(ctx context.Context, result *Result, before deployment.LoadSummary) error {
	usedBefore, ranBefore := r.usage(ctx), audit.Collect(ctx, r.deployment)
	loadRuns, err := r.loadRuns(ctx)
	if err != nil {
		return err
	}
	err = r.injectFault(ctx, loadRuns)
	for _, lr := range loadRuns {
		err = errors.Join(err, lr.wait(ctx))
	}
	if err != nil {
		return err
	}
	result.addTimes(loadRuns[0].summary)
	for _, lr := range loadRuns {
		result.addCounts(lr.summary)
		if !lr.services {
			result.addRates(lr)
		}
	}
	result.addUsage(usedBefore, r.usage(ctx), loadRuns)
	if r.current.CompareBefore {
		result.addComparison(r.current, before.LoadCounts, loadRuns[0].summary.LoadCounts)
	}
	return r.audit(ctx, result, ranBefore, loadRuns)
}

// sendings starts the callers: those whose times count first, then a greedy
// customer's, then those of the plain services, which take nothing of the
// engines' capacity and so must not count as goodput.
func (r *run) loadRuns(ctx context.Context) ([]*loadRun, error) {
	engines := r.loadOptions(r.current.Load, r.current.length())
	services := engines
	services.Services, services.Rate = 1, toServices*engines.Rate
	all := []deployment.LoadOptions{engines, services}
	if r.current.Greedy {
		all[0].Customers = deployment.EvenShares(r.customers[1:])
		greedy := r.loadOptions(greedyLoad, loadTime)
		greedy.Customers = deployment.EvenShares(r.customers[:1])
		all = []deployment.LoadOptions{all[0], greedy, services}
	}
	var begun []*loadRun
	for _, options := range all {
		lr, err := r.begin(ctx, options)
		if err != nil {
			return nil, err
		}
		begun = append(begun, lr)
	}
	return begun, nil
}

func (r *run) audit(ctx context.Context, result *Result, before audit.Ledgers, loadRuns []*loadRun) error {
	ledgers := audit.Collect(ctx, r.deployment)
	for _, lr := range loadRuns {
		found, err := audit.CompareFile(lr.load, ledgers.Runs, r.deployment, deadline)
		if err != nil {
			return err
		}
		result.addFindings(found)
	}
	hits := ledgers.CacheHits - before.CacheHits
	misses := ledgers.CacheMisses - before.CacheMisses
	result.CacheHitRatio = float64(hits) / float64(max(1, hits+misses))
	if result.Violations() > 0 {
		return fmt.Errorf("%d invariants broke: %+v", result.Violations(), result.Examples)
	}
	return nil
}

// use is what the entries have used so far.
type entryUsage struct {
	cpu       time.Duration
	allocated float64
}

// usage sums over the entries that run; one that was restarted counts from its
// new start.
func (r *run) usage(ctx context.Context) (sum entryUsage) {
	for _, m := range r.deployment.Entries() {
		if used, err := m.Process().Usage(); err == nil {
			sum.cpu += used.CPU
		}
		if counters, err := r.deployment.Counters(ctx, m); err == nil {
			sum.allocated += counters.AllocBytes
		}
	}
	return sum
}
