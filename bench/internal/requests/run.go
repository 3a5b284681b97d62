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
	"comfreyrelay.example/bench/internal/house"
)

// The house of the experiments: one of the users' houses.
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
	slots         = 8
	queue         = 16
	tokenTime     = 10 * time.Millisecond
	firstToken    = 40 * time.Millisecond
	warmPart      = 0.25 // of the first token's time with a cached prefix
	answerTokens  = 32
	cachePrefixes = 64
	promptGroups  = 400
	promptBytes   = 200
)

// Times of one case; all of it stays under a minute.
const (
	caseLimit    = 70 * time.Second
	loadTime     = 20 * time.Second
	calmTime     = 10 * time.Second
	compareTime  = 3 * time.Second
	compareLoad  = 0.2 // of the capacity, straight and through the system
	troubleAfter = 3 * time.Second
	// longTime covers a restart of every entry and agent, each with its drain;
	// arrivals stop once it is over and a little longer.
	longTime  = 45 * time.Second
	afterTime = 2 * time.Second
	deadline  = 5 * time.Second
)

// Fractions of the requests.
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
	perRequest := warmPart*firstToken.Seconds() + answerTokens*perToken
	return hostCount * slots / perRequest
}

// run is one case while it runs.
type run struct {
	options   Options
	current   Case
	house     *house.House
	version   string
	customers []house.Customer
}

// Run runs one case and returns its line.
func Run(ctx context.Context, options Options, current Case) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	r := &run{options: options, current: current, customers: house.Customers(customerCount)}
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	defer r.house.Stop()
	result := Named(current)
	var err error
	if result.AddedMsP50, err = r.added(ctx); err != nil {
		return result, err
	}
	var calm house.LoadSummary
	if current.Calm {
		if calm, _, err = r.load(ctx, r.plain(current.Load, calmTime), nil); err != nil {
			return result, err
		}
	}
	return result, r.measure(ctx, &result, calm)
}

func (r *run) start(ctx context.Context) (err error) {
	r.house, err = house.Start(ctx, house.Config{
		Bin:              r.options.Bin,
		Log:              r.options.ProcessLog,
		Places:           house.Quetzal(),
		Entries:          entryCount,
		Hosts:            hostCount,
		Services:         serviceCount,
		RoutePolicy:      r.current.Policy,
		OneEngineProcess: true,
		Engine: house.Engine{
			Slots:          slots,
			Queue:          queue,
			TokenInterval:  tokenTime,
			FirstTokenTime: firstToken,
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
	if err := r.house.WaitRoutable(ctx); err != nil {
		return err
	}
	made, err := r.house.Publish(ctx, house.Publication{Model: house.ModelName, Mib: modelMiB, ChunkKib: chunkKiB, Seed: r.options.Seed})
	if err != nil {
		return err
	}
	r.version = made.Version
	doc := r.house.Document(house.Desired{Version: made.Version, Objective: house.ObjectiveTime, Customers: r.customers})
	if _, err := r.house.Submit(ctx, r.house.Entries()[0], 0, doc, "comfreybench requests"); err != nil {
		return err
	}
	if err := r.house.WaitServing(ctx, r.house.Agents(), made.Version, nil); err != nil {
		return err
	}
	return r.house.WaitAnswering(ctx, r.customers[0])
}

// plain is the load of all customers alike.
func (r *run) plain(load float64, length time.Duration) house.LoadOptions {
	return house.LoadOptions{
		Customers:     house.EvenShares(r.customers),
		Rate:          load * capacity(),
		Time:          length,
		Seed:          r.options.Seed,
		Versions:      []string{r.version},
		MaxTokens:     answerTokens,
		PromptBytes:   promptBytes,
		PromptGroups:  promptGroups,
		NonRepeatable: nonRepeatable,
		DoubleSend:    doubleSend,
		Services:      toServices,
		Deadline:      deadline,
		Log:           r.options.ProcessLog,
	}
}

// added compares the first token through the system with the engines' own, at
// the same light load of prompts that every engine has cached.
func (r *run) added(ctx context.Context) (float64, error) {
	options := r.plain(compareLoad, compareTime)
	options.PromptGroups, options.NonRepeatable, options.Services = 1, 0, 0
	options.Direct = true
	straight, _, err := r.load(ctx, options, nil)
	if err != nil {
		return 0, err
	}
	options.Direct = false
	through, _, err := r.load(ctx, options, nil)
	return through.FirstTokenMsP50 - straight.FirstTokenMsP50, err
}

// load runs callers to their end, and the trouble while they send. Callers go
// on for as long as the trouble lasts.
func (r *run) load(ctx context.Context, options house.LoadOptions, happens trouble) (house.LoadSummary, *house.Load, error) {
	load, err := r.house.StartLoad(ctx, options)
	if err != nil {
		return house.LoadSummary{}, nil, err
	}
	if happens != nil {
		if err := pause(ctx, troubleAfter); err != nil {
			return house.LoadSummary{}, nil, err
		}
		r.options.Log.Info("trouble", "case", r.current.Name)
		if err := happens(ctx, r.house); err != nil {
			return house.LoadSummary{}, nil, fmt.Errorf("trouble: %w", err)
		}
	}
	if happens != nil && options.Time > loadTime && !load.Ended() {
		if err := pause(ctx, afterTime); err != nil {
			return house.LoadSummary{}, nil, err
		}
		if err := load.StopArrivals(ctx); err != nil {
			return house.LoadSummary{}, nil, err
		}
	}
	summary, err := load.Wait(ctx)
	return summary, load, err
}

// measure runs the case's own load and fills the result.
func (r *run) measure(ctx context.Context, result *Result, calm house.LoadSummary) error {
	before := r.usage(ctx)
	hitsBefore := audit.Collect(ctx, r.house)
	var greedy greedyLoadResult
	if r.current.Greedy {
		greedy = r.startGreedy(ctx)
	}
	options := r.plain(r.current.Load, r.current.length())
	if r.current.Greedy {
		options.Customers = house.EvenShares(r.customers[1:])
	}
	summary, load, err := r.load(ctx, options, r.current.Trouble)
	if err = errors.Join(err, greedy.wait(ctx)); err != nil {
		return err
	}
	after := r.usage(ctx)
	result.addLoad(summary, r.current.seconds(summary))
	sent := float64(max(1, summary.Requests+greedy.summary.Requests))
	result.EntryCPUUsPerRequest = float64((after.cpu - before.cpu).Microseconds()) / sent
	result.EntryAllocBytesPerRequest = (after.allocated - before.allocated) / sent
	if r.current.Calm {
		result.Calm = compare(calm.LoadCounts, summary.LoadCounts)
	}
	if r.current.Greedy {
		result.Small, result.Calm = result.Calm, nil
		result.AnsweredPerSecond += float64(greedy.summary.Answered) / loadTime.Seconds()
		result.Goodput += float64(greedy.summary.Answered-greedy.summary.Late) / loadTime.Seconds() / capacity()
	}
	return r.audit(ctx, result, hitsBefore, load)
}

func (r *run) audit(ctx context.Context, result *Result, before audit.Ledgers, load *house.Load) error {
	ledgers := audit.Collect(ctx, r.house)
	found, err := audit.CompareFile(load.Record(), ledgers.Runs)
	if err != nil {
		return err
	}
	result.addFindings(found)
	hits := ledgers.CacheHits - before.CacheHits
	misses := ledgers.CacheMisses - before.CacheMisses
	result.CacheHitRatio = float64(hits) / float64(max(1, hits+misses))
	if result.Violations() > 0 {
		return fmt.Errorf("%d invariants broke: %+v", result.Violations(), found.Examples)
	}
	return nil
}

// greedyLoadResult is the large customer's own load.
type greedyLoadResult struct {
	load    *house.Load
	summary house.LoadSummary
	err     error
}

// startGreedy lets the first customer send twice the capacity alone.
func (r *run) startGreedy(ctx context.Context) (out greedyLoadResult) {
	options := r.plain(greedyLoad, loadTime)
	options.Customers = house.EvenShares(r.customers[:1])
	options.Seed++
	out.load, out.err = r.house.StartLoad(ctx, options)
	return out
}

func (g *greedyLoadResult) wait(ctx context.Context) error {
	if g.load == nil {
		return g.err
	}
	g.summary, g.err = g.load.Wait(ctx)
	return g.err
}

// use is what the entries have used so far.
type use struct {
	cpu       time.Duration
	allocated float64
}

// usage sums over the entries that run; one that was restarted counts from its
// new start.
func (r *run) usage(ctx context.Context) (sum use) {
	for _, m := range r.house.Entries() {
		if used, err := m.Process().Usage(); err == nil {
			sum.cpu += used.CPU
		}
		if counters, err := r.house.Counters(ctx, m); err == nil {
			sum.allocated += counters.AllocBytes
		}
	}
	return sum
}
