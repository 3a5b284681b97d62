// Package requests measures request handling under load, faults and shutdowns. It
// uses real processes and an open arrival process; the callers check the answers
// and the endpoints count the runs.
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

// Size of the deployment in the experiments, taken from one of the users' own.
const (
	entryCount    = 9
	hostCount     = 14
	serviceCount  = 3
	customerCount = 10
	modelMiB      = 1
	chunkKiB      = 64
)

// Configuration of the engines and their requests.
const (
	slots              = 8
	queue              = 16
	tokenTime          = 10 * time.Millisecond
	firstTokenTime     = 40 * time.Millisecond
	cachedPrefixFactor = 0.25 // fraction of firstTokenTime that a cached prefix needs
	answerTokens       = 32
	cachePrefixes      = 64
	promptGroups       = 400
	promptBytes        = 200
)

// Times of one case, chosen so that a case stays under a minute.
const (
	caseLimit   = 70 * time.Second
	loadTime    = 20 * time.Second
	beforeTime  = 10 * time.Second
	compareTime = 3 * time.Second
	compareLoad = 0.2 // fraction of the capacity, sent directly and through the system
	faultDelay  = 3 * time.Second
	// warmUpTime and tailTime are excluded from the rates.
	warmUpTime    = 4 * time.Second
	tailTime      = time.Second
	watchInterval = 500 * time.Millisecond
	// untilFaultEndsTime covers a restart of every entry and agent, each with its
	// drain. Arrivals stop afterFaultTime after the fault is over.
	untilFaultEndsTime = 45 * time.Second
	afterFaultTime     = 2 * time.Second
	deadline           = 5 * time.Second
)

// Fractions of the requests; toServices is added to the requests to engines.
const (
	nonRepeatable = 0.3
	doubleSend    = 0.1
	toServices    = 0.05
)

// Options configure a run of cases.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// ProcessLog receives the logs of all processes.
	ProcessLog io.Writer
	Log        *slog.Logger
	Seed       uint64
}

// capacity returns the requests per second that the engines answer with every slot
// busy and every prefix cached. This is an ideal, so a goodput of 1 is out of reach.
func capacity() float64 {
	perToken := tokenTime.Seconds() * (2 - 1.0/slots)
	perRequest := cachedPrefixFactor*firstTokenTime.Seconds() + answerTokens*perToken
	return hostCount * slots / perRequest
}

// run is the state of a running case.
type run struct {
	options    Options
	current    Case
	deployment *deployment.Deployment
	version    string
	customers  []deployment.Customer
}

// Run runs one case and returns its result.
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

// serve publishes the model and waits until every host serves it.
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

// loadOptions returns a load to which all customers contribute equally.
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

// addedLatency returns by how many milliseconds the system delays the first token at
// the median, compared with direct requests. Both runs use the same light load of
// prompts that every engine has cached.
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

// load runs callers until their last request has an outcome.
func (r *run) load(ctx context.Context, options deployment.LoadOptions) (deployment.LoadSummary, error) {
	load, err := r.deployment.StartLoad(ctx, options)
	if err != nil {
		return deployment.LoadSummary{}, err
	}
	return load.Wait(ctx)
}

// injectFault injects the case's fault. If the case runs until the fault ends, it
// stops the arrivals soon after.
func (r *run) injectFault(ctx context.Context, loadRuns []*loadRun) error {
	if r.current.Fault == nil {
		return nil
	}
	if err := pause(ctx, faultDelay); err != nil {
		return err
	}
	r.options.Log.Info("trouble", "case", r.current.Name)
	if err := r.current.Fault(ctx, r.deployment); err != nil {
		return fmt.Errorf("inject fault: %w", err)
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

// measure runs the load of the case and fills in the result.
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

// loadRuns starts the callers: first those whose latencies are reported, then a
// greedy customer's, last those of the plain services. Services use none of the
// engines' capacity, so their answers must not count as goodput.
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

// audit compares the callers' records with the endpoints' ledgers.
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

// entryUsage is the resource usage of all entries so far.
type entryUsage struct {
	cpu       time.Duration
	allocated float64
}

// usage sums the usage of the running entries. The counters of a restarted entry
// begin at its last start.
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
