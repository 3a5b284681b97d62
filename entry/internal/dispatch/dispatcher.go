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

// Config is what a Dispatcher needs.
type Config struct {
	Self       *wire.Node
	Clock      clockwork.Clock
	Log        *slog.Logger
	Hosts      Hosts
	Policy     route.Policy
	Seed       uint64
	Known      func() *wire.Known // revisions in force, for the attempts
	Refresh    func()             // brings the lanes up to date with the view
	Invariants Invariants
}

// Request is one request as the filters before made it.
type Request struct {
	ID         string // new for each arrival at an entry
	Customer   string
	Weight     float64 // share under overload; above 0
	Large      bool    // the customer asks for much more than its share
	Priority   uint32
	Lane       string // names the hosts that serve it; see Update
	Model      string
	Adapter    string
	Service    string
	Prompt     string
	MaxTokens  int
	Body       []byte // to a plain service
	Repeatable bool
	Deadline   time.Time
	// Versions returns those that may serve the request now. It is called with
	// a lane locked and must not call Update.
	Versions func() []string
	// Retry takes one retry from the customer's budget; false: none is left.
	Retry func() bool
}

// Sink takes the answer's tokens as they come, for callers who want a stream.
// An error from it means that the caller is gone. The zero Sink takes nothing:
// the answer is in the Result.
type Sink struct {
	Tokens func(version string, tokens []string) error
}

// Result is how a request ended.
type Result struct {
	Outcome    Outcome
	Version    string
	Tokens     []string
	Body       []byte
	Digest     []byte
	Err        *failure.Error // nil with Answered
	Attempts   int
	Host       string        // of the last attempt; empty if there was none
	FirstToken time.Duration // from the call of Do; 0 while there was none
	Queued     time.Duration // waited for room, all attempts together
	Affinity   bool          // the last host was expected to hold the prefix
}

// Dispatcher runs requests. Its state is in lanes, each under its own lock.
type Dispatcher struct {
	cfg Config

	mu    sync.RWMutex
	pools map[string]*hostPool
}

// New returns a Dispatcher without lanes.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, pools: make(map[string]*hostPool)}
}

// Update gives a lane the hosts that serve its model or service now, sorted by
// id, and the number of entries that share them.
func (d *Dispatcher) Update(name string, hosts []route.Host, entries int) {
	d.pool(name).update(hosts, entries)
}

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

// Do runs the request to its end: an answer, or the moment it is given up.
// The end of ctx means that the caller is gone.
func (d *Dispatcher) Do(ctx context.Context, req *Request, sink Sink) Result {
	run := &requestRun{
		dispatcher: d,
		pool:       d.pool(req.Lane),
		req:        req,
		sink:       sink,
		progress:   NewProgress(req.ID, req.Repeatable),
		started:    d.cfg.Clock.Now(),
	}
	// What may not be repeated goes on when its caller goes: the caller sends
	// the key again and gets the answer, which a cancel would have lost.
	if !req.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := clockwork.WithDeadline(ctx, d.cfg.Clock, run.cutoff())
	defer cancel()
	defer run.releaseReserved()
	err := run.loop(ctx)
	return run.result(err)
}

// cutoff is when attempts are given up: a little before the deadline, so that
// a cancel can still prove what happened and the caller learns of it in time.
func (r *requestRun) cutoff() time.Time {
	left := r.req.Deadline.Sub(r.started)
	return r.req.Deadline.Add(-min(cancelTimeout, left/cancelTimeDivisor))
}

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
		if !end.refused { // a host that refused asks for a pause by itself
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

// releaseReserved gives a place back that was reserved and is not used.
func (r *requestRun) releaseReserved() {
	if r.reserved != nil {
		r.pool.finish(*r.reserved, route.Result{End: route.EndCancelled})
		r.reserved = nil
	}
}

// acquireHost waits for a host; a resumed answer stays with its version.
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

func (r *requestRun) criteria() route.Ask {
	criteria := route.Ask{
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

func (r *requestRun) prefix() uint64 {
	if r.prefixHash == 0 {
		r.prefixHash = route.PrefixOf(r.req.Prompt)
	}
	return r.prefixHash
}

// checkRetry applies the rules for another attempt. Only what may have cost a
// back end work is charged to the retry budget: a refusal does not multiply
// the load.
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

// waitForRetry waits before the next attempt; false: the time is over. After a
// refusal another host is tried at once, for the first time.
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
	return failure.New(failure.Ambiguous, "the host did not answer to the end: "+reason,
		"it may have run: look for its effect before you send it with a new key")
}

func errNoAnswer(reason string) *failure.Error {
	return failure.New(failure.Unavailable, "no host answered: "+reason,
		"try again").WithRetryAfter(minRetry)
}

func errRetryBudget(reason string) *failure.Error {
	return failure.New(failure.Exhausted, "no host answered, and the customer's retries are used up: "+reason,
		"try again later").WithRetryAfter(noHostRetry)
}
