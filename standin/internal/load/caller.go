package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// lateAnswerGrace is how long the caller waits beyond the deadline, to tell a late
// answer from a missing one.
const lateAnswerGrace = 2 * time.Second

// defaultRetryAfter is the delay before a retry if the system suggests none.
const defaultRetryAfter = 100 * time.Millisecond

// jitter is the largest fraction of the delay that is added at random to spread retries.
const jitter = 0.25

// maxAddresses limits how many entries are tried in one attempt.
const maxAddresses = 4

// result is the final outcome of one request over all its attempts.
type result struct {
	verdict
	attempts int
	// refused is set if an earlier attempt was not run.
	refused bool
	took    time.Duration // since the planned arrival
	key     string
	// contradicted is set if the request was sent twice, one copy was answered and
	// the other was reported as not run after the answered copy had been sent. If
	// the answered copy was sent only after "not run" arrived, it counts as a new
	// request and the report was correct.
	contradicted bool
	sentAt       time.Time // of the last attempt
	knownAt      time.Time // when its outcome became known
}

// caller sends one request, with retries, until it has an outcome.
type caller struct {
	load      *Load
	request   request
	customer  Customer
	directory *directory
	arrived   time.Time
	key       string
}

// run sends the request and returns its outcome, latency and key.
func (c *caller) run(ctx context.Context) result {
	ctx, cancel := context.WithDeadline(ctx, c.arrived.Add(c.load.options.Deadline+lateAnswerGrace))
	defer cancel()
	res := c.dispatch(ctx)
	res.took = c.load.clock.Since(c.arrived)
	res.key = c.key
	return res
}

// dispatch sends the request in the planned way. A request that is not repeatable
// gets a key that starts with its owner, so that it runs at most once.
func (c *caller) dispatch(ctx context.Context) result {
	if c.load.direct() {
		return c.sendWithRetries(ctx, 0)
	}
	if c.request.repeatable {
		return c.sendWithRetries(ctx, 0)
	}
	known, err := c.directory.get(ctx)
	if err != nil {
		return result{verdict: verdict{outcome: NotRun, kind: kindUnreachable, detail: err.Error()}}
	}
	c.key = known.Owner + "." + uuid.Must(uuid.NewV7()).String()
	if !c.request.double {
		return c.sendWithRetries(ctx, 0)
	}
	return c.sendTwice(ctx)
}

// sendTwice sends the request with the same key through two entries at the same
// time and returns the more severe outcome.
func (c *caller) sendTwice(ctx context.Context) result {
	second := make(chan result, 1)
	go func() { second <- c.sendWithRetries(ctx, 1) }()
	return moreSevere(c.sendWithRetries(ctx, 0), <-second)
}

// severity ranks the outcomes of two copies of one request: an answer outranks
// notRun and unknown, a wrong or cut-off answer outranks a correct one, and unknown
// outranks notRun because the request may have run.
var severity = map[string]int{NotRun: 0, Unknown: 1, Answered: 2, CutOff: 3, WrongVersion: 4, WrongAnswer: 5}

// moreSevere merges the results of the two copies of one request.
func moreSevere(one, other result) result {
	if severity[other.outcome] > severity[one.outcome] {
		one, other = other, one
	}
	one.attempts += other.attempts
	one.contradicted = one.outcome == Answered && other.outcome == NotRun && !one.sentAt.After(other.knownAt)
	return one
}

// sendWithRetries repeats a request that was not run until the deadline or the
// retry limit is reached. It passes over the first skip entries of the list.
func (c *caller) sendWithRetries(ctx context.Context, skip int) result {
	var res result
	var spares []string
	for {
		res.attempts++
		res.sentAt = c.load.clock.Now()
		res.verdict = c.attempt(ctx, skip, spares)
		res.knownAt = c.load.clock.Now()
		if !c.mayRepeat(res) {
			return res
		}
		res.refused = res.refused || res.outcome == NotRun
		spares = res.spares
		if !c.wait(ctx, res.retryAfter) {
			return res
		}
	}
}

// mayRepeat reports whether the options allow another attempt after this result.
func (c *caller) mayRepeat(res result) bool {
	if res.attempts > c.load.options.Retries {
		return false
	}
	if res.outcome == Unknown {
		return c.request.repeatable && c.load.options.ResendUnknown
	}
	return res.outcome == NotRun
}

// wait sleeps before the next attempt. It returns false if the deadline comes first.
func (c *caller) wait(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		pause = defaultRetryAfter
	}
	pause += time.Duration(rand.Float64() * jitter * float64(pause))
	if c.timeLeft() <= pause {
		return false
	}
	select {
	case <-c.load.clock.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// timeLeft returns the time until the deadline.
func (c *caller) timeLeft() time.Duration {
	return c.load.options.Deadline - c.load.clock.Since(c.arrived)
}

// attempt sends the request to the first reachable entry.
func (c *caller) attempt(ctx context.Context, skip int, spares []string) verdict {
	sent := attempt{
		request:  c.request,
		model:    c.load.options.Model,
		bearer:   c.customer.Key,
		key:      c.key,
		deadline: c.timeLeft(),
	}
	if c.load.direct() {
		sent.address = c.load.options.Direct[c.request.number%len(c.load.options.Direct)]
		return c.load.sender.sendDirect(ctx, sent)
	}
	known, err := c.directory.get(ctx)
	if err != nil {
		return verdict{outcome: NotRun, kind: kindUnreachable, detail: err.Error()}
	}
	addresses := append(spares[:len(spares):len(spares)], known.addresses()...)
	skip = min(skip, len(addresses)-1)
	var v verdict
	for _, address := range addresses[skip:min(len(addresses), skip+maxAddresses)] {
		sent.address = address
		v = c.load.sender.send(ctx, sent)
		v.address = address
		if v.kind != kindUnreachable {
			break
		}
		c.directory.invalidate()
	}
	if len(v.spares) > 0 {
		c.directory.invalidate()
	}
	return v
}
