// Package sitesoak injects planned operations, hiccups and faults into a deployment behind a
// platform, all run as plain processes, and checks the platform's rules against the records
// of callers and endpoints.
package sitesoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comfreyrelay.example/bench/internal/site"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/failure"
)

// bounds are the limits of the platform's smallest deployments.
var bounds = site.Bounds{
	Revoke: 5 * time.Second, Apply: 2 * time.Second, Version: 8 * time.Second, Drain: 2 * time.Second, Grace: 8 * time.Second,
	Contact: 3 * time.Second, Ratio: 0.2, Slack: 106, Window: 10 * time.Second,
}

const (
	startTimeout = 40 * time.Second
	// warmupTime is how long the load runs before the first event.
	warmupTime = 2 * time.Second
	// settleTime is the time for the last requests to end. The load goes on for half of it after
	// the last event, and the recovery check covers a quarter of it before the last request.
	settleTime = 8 * time.Second
	appCount   = 3
	// largeRoutes is the number of unused routes of large configurations. storeBandwidth, in bytes
	// per second, lets two entries of each region read one in time, but not all of them.
	largeRoutes    = 4000
	storeBandwidth = 3.25e6
)

// Options configure a run.
type Options struct {
	Bin    string // directory of the built programs
	Log    io.Writer
	Seed   uint64
	Length time.Duration
	// Entries and Engines are the numbers of processes.
	Entries, Engines int
	// Load is the request rate as a fraction of the engines' capacity.
	Load float64
	// Gap is the mean time between two events.
	Gap time.Duration
	// Planned, Hiccups, Faults, Failures, Silences, Answers, Misleading, AppFaults, AgentFreezes, HostFreezes,
	// LargeChanges, Stops, Copies and Anything enable the sets of events.
	Planned, Hiccups, Faults, Failures, Silences, Answers, Misleading, AppFaults, AgentFreezes, HostFreezes, LargeChanges, Stops, Copies, Anything bool
	// Kinds are the kinds of event to draw from all sets instead of those enabled; empty: the enabled sets.
	Kinds    []string
	Progress *slog.Logger
}

// Result is the summary of a run, printed as one line of JSON.
type Result struct {
	Bench    string  `json:"bench"`
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"`
	Events   int     `json:"events"`
	Requests int     `json:"requests"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	// Failures counts failed requests by status, or by how they ended without one.
	Failures map[string]int `json:"failures"`
	// CutOff counts broken answers whose endpoint had broken off.
	CutOff int `json:"cutOff"`
	// Resumed counts runs that continued a request after an earlier run.
	Resumed int `json:"resumed"`
	Missing int `json:"missing"` // records of endpoints that could not be read
	Stalls  int `json:"stalls"`  // times at which this machine was stalled
	// Connections is, by kind, the peak number of open connections of one endpoint as a fraction
	// of its limit. Reset counts connections beyond the limit, which were reset.
	Connections map[string]float64 `json:"connections"`
	Reset       int                `json:"reset"`
	Dialled     int                `json:"dialled"`
	// Extra counts the extra answers of endpoints. OnceRejected counts the requests that must run
	// once which an endpoint rejected, and OnceResent those of them that came to another endpoint.
	Extra        int `json:"extra"`
	OnceRejected int `json:"onceRejected"`
	OnceResent   int `json:"onceResent"`
	OnceServed   int `json:"onceServed"` // of OnceRejected
	// Broken counts violations by rule. Examples holds the first few of each.
	Broken   map[string]int `json:"broken"`
	Examples []string       `json:"examples,omitempty"`
	Error    string         `json:"error,omitempty"`
}

// run holds the state of one soak run.
type run struct {
	options    Options
	site       *site.Site
	operator   *operator
	callers    []*callers
	pending    sync.WaitGroup
	rate       atomic.Int64 // factor on the usual request rate
	leaveEarly atomic.Bool  // some callers close their connections early
	stops      stops
	stalls     stalls
	probes     []probe // in order

	mu         sync.Mutex
	departures []departure    // endpoints that were asked to leave
	faultLog   []*faultRecord // faults
	runs       []platformtest.Run
	loads      []engineLoad
	peaks      map[string]int // peak connections of one endpoint, by kind
	reset      int
	extra      int // extra answers of endpoints
	dialled    int // connections opened to endpoints
	missing    int
	broken     map[string]int
	examples   []string
	harnessErr error // errors of the harness itself, such as failed events
}

// Run starts a deployment, applies load and events, and checks the rules.
func Run(ctx context.Context, options Options) (Result, error) {
	r := &run{options: options, broken: map[string]int{}, peaks: map[string]int{}}
	r.rate.Store(1)
	result := Result{Bench: "soak-platform", Seed: options.Seed, Seconds: options.Length.Seconds(), Failures: map[string]int{}}
	if err := r.checkKinds(); err != nil {
		return result, err
	}
	dir, err := os.MkdirTemp("", "comfrey-soak-")
	if err != nil {
		return result, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := r.start(ctx, dir); err != nil {
		if r.site != nil {
			r.site.Stop()
		}
		return result, err
	}
	defer r.site.Stop()
	events := r.planEvents()
	result.Events = len(events)
	if err := r.runEvents(ctx, events); err != nil {
		return result, err
	}
	for _, kind := range []string{site.Engine, site.App, site.Origin} {
		for _, m := range r.site.Members(kind) {
			r.collectRecord(ctx, m)
		}
	}
	if ctx.Err() != nil { // the rules can't be checked without the records
		return result, ctx.Err()
	}
	r.checkRecords(&result)
	return result, r.harnessErr
}

var domains = []string{"d1", "d2", "d3"}

func (r *run) start(ctx context.Context, dir string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	limits := maxConns(r.options.Entries)
	var err error
	r.site, err = site.Start(ctx, site.Config{
		Bin: r.options.Bin, Dir: dir, Log: r.options.Log, Domains: domains,
		Entries: r.options.Entries, Engines: r.options.Engines, Apps: appCount, Spec: spec, Bounds: bounds, MaxConns: limits,
		StoreBytesPerSecond: valueIf(r.options.LargeChanges, storeBandwidth),
	})
	if err != nil {
		return err
	}
	r.operator = newOperator(r.site, limits, r.options.Seed)
	r.operator.extraRoutes = valueIf(r.options.LargeChanges, largeRoutes)
	if r.options.AppFaults {
		favorPlain(r.operator.routes, appsPlainShare)
	}
	if r.options.Copies || r.options.Anything {
		favorPlain(r.operator.routes, copiesPlainShare)
	}
	r.operator.mu.Lock()
	err = r.operator.write(ctx)
	r.operator.mu.Unlock()
	if err != nil {
		return err
	}
	for i, domain := range domains {
		r.callers = append(r.callers, newCallers(domain, r.directories(i), r.options.Seed*uint64(len(domains))+uint64(i)))
	}
	return r.site.WaitReady(ctx)
}

// directories returns the directory addresses of up to three entries, nearest first.
func (r *run) directories(domain int) []string {
	entries := r.site.Members(site.Entry)
	var found []string
	for i := range min(len(domains), len(entries)) {
		found = append(found, entries[(domain+i)%len(entries)].Directory())
	}
	return found
}

// eventSet is a set of rules and whether its events are enabled.
type eventSet struct {
	on    bool
	rules []eventRule
}

func (r *run) eventSets() []eventSet {
	return []eventSet{
		{r.options.Planned, planned}, {r.options.Hiccups, hiccups}, {r.options.Faults, faults}, {r.options.Failures, failures},
		{r.options.Silences, silences}, {r.options.Answers, answerFaults}, {r.options.Misleading, misleading}, {r.options.AppFaults, appFaults},
		{r.options.AgentFreezes, agentFreezes}, {r.options.HostFreezes, hostFreezes}, {r.options.LargeChanges, largeChanges}, {r.options.Stops, entryStops},
		{r.options.Copies, copies}, {r.options.Anything, anything},
	}
}

// checkKinds fails if Options.Kinds names a kind that no set has.
func (r *run) checkKinds() error {
	for _, name := range r.options.Kinds {
		isName := func(rule eventRule) bool { return string(rule.kind) == name }
		if !slices.ContainsFunc(r.eventSets(), func(set eventSet) bool { return slices.ContainsFunc(set.rules, isName) }) {
			return failure.New(failure.Invalid, "there is no kind of event "+strconv.Quote(name), "name one that a run with --events logs")
		}
	}
	return nil
}

// planEvents draws the events of the enabled sets, or those of Options.Kinds.
func (r *run) planEvents() []event {
	var enabled []eventRule
	for _, set := range r.eventSets() {
		for _, rule := range set.rules {
			if set.on && len(r.options.Kinds) == 0 || slices.Contains(r.options.Kinds, string(rule.kind)) {
				enabled = append(enabled, rule)
			}
		}
	}
	if len(enabled) == 0 {
		return nil
	}
	counts := map[string]int{}
	for _, kind := range []string{site.Entry, site.Agent, site.Engine, site.App, site.Store, site.Origin} {
		counts[kind] = len(r.site.Members(kind))
	}
	maxBusy := maxBusyFraction
	if r.options.AppFaults || r.options.Copies || r.options.Anything {
		maxBusy = maxBusyAppsFraction
	}
	return drawEvents(r.options.Seed, r.options.Length, r.options.Gap, enabled, counts, maxBusy)
}

// runEvents runs the load and the events to their end.
func (r *run) runEvents(ctx context.Context, events []event) error {
	loadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	requests := &sync.WaitGroup{}
	var load sync.WaitGroup
	for i := range r.callers {
		load.Go(func() { r.sendLoad(loadCtx, i, requests) })
	}
	load.Go(func() { r.stalls.detect(loadCtx) })
	load.Go(func() { r.sendProbes(loadCtx) })
	began := time.Now()
	for _, next := range events {
		if err := sleep(ctx, warmupTime+next.at-time.Since(began)); err != nil {
			return err
		}
		r.options.Progress.Info("event", "event", next.String())
		r.pending.Go(func() {
			if err := r.applyEvent(ctx, next); err != nil {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.harnessErr = errors.Join(r.harnessErr, fmt.Errorf("%s: %w", next, err))
			}
		})
	}
	if err := sleep(ctx, warmupTime+r.options.Length-time.Since(began)); err != nil {
		return err
	}
	r.pending.Wait()
	if err := sleep(ctx, settleTime/2); err != nil {
		return err
	}
	cancel()
	load.Wait()
	requests.Wait()
	return nil
}

// streamsPerEngine is how many streams per second one engine serves without queueing.
const streamsPerEngine = 12.0

// sendLoad sends the requests of one failure domain at random intervals until ctx is done.
func (r *run) sendLoad(ctx context.Context, domain int, requests *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(r.options.Seed, uint64(100+domain)))
	rate := r.options.Load * streamsPerEngine * float64(r.options.Engines) / float64(len(r.callers))
	number := 0
	for next := time.Now(); ctx.Err() == nil; next = next.Add(time.Duration(random.ExpFloat64() / (rate * float64(r.rate.Load())) * float64(time.Second))) {
		if sleep(ctx, time.Until(next)) != nil {
			return
		}
		number++
		outgoing := r.request(random, domain, number)
		requests.Go(func() { r.callers[domain].serve(context.WithoutCancel(ctx), outgoing) })
	}
}

// reuseOneIn is the number of requests of which, on average, one uses an open connection
// regardless of the directory.
const reuseOneIn = 4

// chunkedOneIn is the number of requests of which one sends its body in chunks.
const chunkedOneIn = 3

// With Options.Stops bodies in chunks take minBodyFraction to maxBodyFraction of their caller's time to send.
const (
	minBodyFraction = 0.4
	maxBodyFraction = 0.9
)

// request draws a random request.
func (r *run) request(random *rand.Rand, domain, number int) *request {
	remaining := random.Float64()
	chosen := r.operator.routes[0]
	for _, candidate := range r.operator.routes {
		chosen = candidate
		if remaining -= candidate.share; remaining < 0 {
			break
		}
	}
	outgoing := &request{route: chosen, leavesEarly: r.leaveEarly.Load() && random.IntN(3) == 0, reusesConnection: random.IntN(reuseOneIn) == 0, key: r.operator.activeKey(random), domain: domains[domain],
		chunked: number%chunkedOneIn == 0}
	if r.options.Stops && outgoing.chunked {
		fraction := minBodyFraction + (maxBodyFraction-minBodyFraction)*random.Float64()
		outgoing.bodyTime = time.Duration(fraction * float64(chosen.deadline))
	}
	outgoing.work.Subject = domains[domain] + "-" + strconv.Itoa(number)
	if chosen.stream {
		outgoing.tokens = int(min(3*chosen.prompt, 1+chosen.prompt*random.ExpFloat64()))
		outgoing.work.Events = int(min(maxEvents, 1+chosen.events*random.ExpFloat64()))
	}
	return outgoing
}

// recordViolation counts a violation and keeps the first few examples of each rule.
func (r *run) recordViolation(rule, detail string) {
	const kept = 3
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken[rule]++
	if r.broken[rule] <= kept {
		r.examples = append(r.examples, rule+": "+detail)
	}
}
