package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/retry"
	"comfreyrelay.example/relay/route"
	"comfreyrelay.example/relay/wire"
)

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	Self       *wire.Node
	Clock      clockwork.Clock
	Log        *slog.Logger
	Hosts      Hosts
	Policy     route.Policy
	Seed       uint64
	Known      func() *wire.Known // returns the revisions in force, which each attempt carries
	Refresh    func()             // updates the host pools from the current view
	Invariants Invariants
}

// Request is a request that has passed authentication, key claims and limits.
type Request struct {
	ID         string // unique per arrival at an entry
	Customer   string
	Weight     float64 // relative share under overload; greater than 0
	Large      bool    // the customer's demand is far above its share
	Priority   uint32
	HostPool   string // name of the host pool that serves it; see Dispatcher.Update
	Model      string
	Adapter    string
	Service    string
	Prompt     string
	MaxTokens  int
	Body       []byte // request body for a plain service
	Repeatable bool
	Deadline   time.Time
	// Versions returns the model versions that may serve the request now. It is
	// called with a host pool locked and must not call Dispatcher.Update, which
	// would deadlock.
	Versions func() []string
	// Retry charges one retry to the customer's budget. It returns false if the
	// budget is exhausted.
	Retry func() bool
}

// Sink receives the tokens of an answer as they arrive, for callers that requested
// a stream. The zero Sink receives nothing; the answer is then only in the Result.
type Sink struct {
	// Tokens returns an error if the caller has disconnected.
	Tokens func(version string, tokens []string) error
}

// Result describes how a request ended.
type Result struct {
	Outcome    Outcome
	Version    string
	Tokens     []string
	Body       []byte
	Digest     []byte
	Err        *failure.Error // nil if Outcome is Answered
	Attempts   int
	Host       string        // host of the last attempt; empty if there was none
	FirstToken time.Duration // time from the call of Do to the first data; 0 if there was none
	Queued     time.Duration // total time spent waiting for a host, over all attempts
	Affinity   bool          // the last host was expected to have the prompt's prefix cached
}

// Dispatcher runs requests. It keeps one host pool per model or service, each with
// its own lock.
type Dispatcher struct {
	cfg Config

	mu    sync.RWMutex
	pools map[string]*hostPool
}

// New returns a Dispatcher without host pools.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, pools: make(map[string]*hostPool)}
}

// Update replaces the hosts of the named pool with those that serve its model or
// service now, sorted by id. entries is the number of entries that share them.
func (d *Dispatcher) Update(name string, hosts []route.Host, entries int) {
	d.pool(name).update(hosts, entries)
}

// pool returns the named host pool and creates it if needed.
func (d *Dispatcher) pool(name string) *hostPool {
	d.mu.RLock()
	found := d.pools[name]
	d.mu.RUnlock()
	if found != nil {
		return found
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if found = d.pools[name]; found == nil {
		found = newHostPool(d.cfg.Clock, route.Options{
			Policy:        d.cfg.Policy,
			Region:        d.cfg.Self.GetRegion(),
			FailureDomain: d.cfg.Self.GetFailureDomain(),
			Seed:          d.cfg.Seed ^ xxhash.Sum64String(name),
		}, d.cfg.Refresh)
		d.pools[name] = found
	}
	return found
}

// Do runs the request until it is answered or abandoned. ctx ends when the caller
// disconnects.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) Result {
	run := &requestRun{
		dispatcher: d,
		pool:       d.pool(req.HostPool),
		req:        req,
		sink:       sink,
		progress:   NewProgress(req.ID, req.Repeatable),
		started:    d.cfg.Clock.Now(),
	}
	// A request that may not be repeated continues after its caller disconnects.
	// The caller can send the key again and receive the answer, which cancelling
	// would have lost.
	if !req.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := clockwork.WithDeadline(ctx, d.cfg.Clock, run.cutoff())
	defer cancel()
	defer run.releaseReserved()
	err := run.loop(ctx)
	return run.result(err)
}

// cutoff returns when attempts are abandoned. It is slightly before the deadline,
// so that a cancel request can still establish whether the attempt ran and the
// caller receives the result in time.
func (r *requestRun) cutoff() time.Time {
	left := r.req.Deadline.Sub(r.started)
	return r.req.Deadline.Add(-min(cancelTimeout, left/cancelTimeDivisor))
}

// loop makes attempts until one succeeds or no further attempt is allowed.
func (r *requestRun) loop(ctx context.Context) *failure.Error {
	for {
		choice, err := r.acquireHost(ctx)
		if err != nil {
			return err
		}
		end := r.attempt(ctx, choice)
		if end.complete {
			return nil
		}
		if !end.refused { // a host that refuses states its own retry-after time
			r.failedHosts = append(r.failedHosts, choice.Host.ID)
		}
		if err := r.checkRetry(ctx, end); err != nil {
			return err
		}
		if !r.waitForRetry(ctx, end) {
			return errNoAnswer(end.reason)
		}
	}
}

// releaseReserved releases a reserved place that was not used.
func (r *requestRun) releaseReserved() {
	if r.reserved != nil {
		r.pool.finish(*r.reserved, route.Result{End: route.EndCancelled})
		r.reserved = nil
	}
}

// acquireHost returns the host reserved for the next attempt, or waits for one.
func (r *requestRun) acquireHost(ctx context.Context) (route.Choice, *failure.Error) {
	if next := r.reserved; next != nil {
		r.reserved = nil
		return *next, nil
	}
	started := r.dispatcher.cfg.Clock.Now()
	choice, err := r.pool.acquire(ctx, r.req, r.criteria)
	r.queueTime += r.dispatcher.cfg.Clock.Since(started)
	return choice, err
}

// criteria returns what the next attempt requires of a host. An answer that was
// partly delivered stays on its version.
func (r *requestRun) criteria() route.Requirements {
	criteria := route.Requirements{
		Prefix:   r.prefix(),
		Tokens:   r.req.MaxTokens,
		Versions: r.req.Versions(),
		Adapter:  r.req.Adapter,
		Exclude:  r.failedHosts,
	}
	if version, adapter, pinned := r.progress.Pinned(); pinned {
		criteria.Versions = []string{version}
		criteria.AdapterVersion = adapter
	}
	return criteria
}

// prefix returns the hash of the prompt's prefix and caches it.
func (r *requestRun) prefix() uint64 {
	if r.prefixHash == 0 {
		r.prefixHash = route.PrefixOf(r.req.Prompt)
	}
	return r.prefixHash
}

// checkRetry returns an error if no further attempt is allowed. Only attempts that
// may have caused work on a back end are charged to the retry budget: a refusal
// does not multiply the load.
func (r *requestRun) checkRetry(ctx context.Context, end attemptEnd) *failure.Error {
	switch {
	case !r.progress.MayRetry():
		return errUnknownOutcome(end.reason)
	case end.cancelled || isDone(ctx):
		return errNoAnswer(end.reason)
	case r.progress.AttemptNumber() >= retry.MaxAttempts:
		return errNoAnswer(end.reason)
	case !end.refused && r.reserved == nil && !r.req.Retry():
		return errRetryBudget(end.reason)
	}
	return nil
}

// waitForRetry waits for the backoff before the next attempt. It returns false if
// ctx ended first. It does not wait if a place is already reserved, or if the
// first attempt was refused.
func (r *requestRun) waitForRetry(ctx context.Context, end attemptEnd) bool {
	next := int(r.progress.AttemptNumber()) + 1
	if r.reserved != nil || end.refused && next == 2 {
		return true
	}
	timer := r.dispatcher.cfg.Clock.NewTimer(retry.Backoff(next, rand.Float64())) //nolint:gosec // jitter, not a secret
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

// result builds the Result and checks that error and outcome are consistent.
func (r *requestRun) result(err *failure.Error) Result {
	outcome := r.progress.Outcome()
	check := r.dispatcher.cfg.Invariants.Check
	check((err == nil) == (outcome == Answered), "answeredMeansWhole", "request", r.req.ID)
	check(outcome != NotRun || len(r.progress.Tokens()) == 0, "notRunWithoutTokens", "request", r.req.ID)
	result := Result{
		Outcome:    outcome,
		Err:        err,
		Attempts:   int(r.progress.AttemptNumber()),
		Host:       r.lastHost,
		Version:    r.progress.Version(),
		FirstToken: r.firstToken,
		Queued:     r.queueTime,
		Affinity:   r.affinity,
	}
	if outcome == Answered {
		result.Tokens = r.progress.Tokens()
		result.Body = r.progress.Body()
		result.Digest = r.progress.Digest()
	}
	return result
}

func errUnknownOutcome(reason string) *failure.Error {
	return failure.New(failure.Ambiguous, "the host did not complete the answer: "+reason,
		"the request may have run: check for its effects before sending it with a new key")
}

func errNoAnswer(reason string) *failure.Error {
	return failure.New(failure.Unavailable, "no host answered: "+reason,
		"try again").WithRetryAfter(minRetry)
}

func errRetryBudget(reason string) *failure.Error {
	return failure.New(failure.Exhausted, "no host answered, and the customer's retry budget is exhausted: "+reason,
		"try again later").WithRetryAfter(noHostRetry)
}
