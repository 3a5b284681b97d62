package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// lateAnswerGrace is how long beyond the deadline the caller still waits, to distinguish a late
// answer from none.
const lateAnswerGrace = 2 * time.Second

// defaultRetryAfter is the wait where the system names none.
const defaultRetryAfter = 100 * time.Millisecond

// jitter spreads retries by up to this fraction of the wait.
const jitter = 0.25

// maxAddresses bounds the entries tried for one attempt.
const maxAddresses = 4

// result is what became of one request.
type result struct {
	verdict
	attempts int
	// refused: an earlier attempt was not run.
	refused bool
	took    time.Duration // from the arrival
	key     string
	// contradicted: one of two sendings was answered, and the other, which was
	// refused later than the answered one was sent, called not run. A sending
	// that begins after the caller received "not run" is a new wish of the caller's:
	// the promise was true when it was given.
	contradicted bool
	sentAt       time.Time // of the last attempt
	knownAt      time.Time // when its outcome was known
}

// caller carries one request through to its end.
type caller struct {
	load      *Load
	request   request
	customer  Customer
	directory *directory
	arrived   time.Time
	key       string
}

// run sends the request until it has an outcome.
func (c *caller) run(ctx context.Context) result {
	ctx, cancel := context.WithDeadline(ctx, c.arrived.Add(c.load.options.Deadline+lateAnswerGrace))
	defer cancel()
	res := c.dispatch(ctx)
	res.took = c.load.clock.Since(c.arrived)
	res.key = c.key
	return res
}

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

// sendTwice sends the same key through two entries at once; the better outcome
// counts.
func (c *caller) sendTwice(ctx context.Context) result {
	second := make(chan result, 1)
	go func() { second <- c.sendWithRetries(ctx, 1) }()
	return moreSevere(c.sendWithRetries(ctx, 0), <-second)
}

// severity orders outcomes: an answer settles the request unless the other
// sending shows a fault, and what may have run outweighs what did not.
var severity = map[string]int{NotRun: 0, Unknown: 1, Answered: 2, CutOff: 3, WrongVersion: 4, WrongAnswer: 5}

func moreSevere(one, other result) result {
	if severity[other.outcome] > severity[one.outcome] {
		one, other = other, one
	}
	one.attempts += other.attempts
	one.contradicted = one.outcome == Answered && other.outcome == NotRun && !one.sentAt.After(other.knownAt)
	return one
}

// sendWithRetries sends again what was not run, while time and retries last. The skip
// chooses another entry than the best.
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

func (c *caller) mayRepeat(res result) bool {
	if res.attempts > c.load.options.Retries {
		return false
	}
	if res.outcome == Unknown {
		return c.request.repeatable && c.load.options.ResendUnknown
	}
	return res.outcome == NotRun
}

// wait returns false where the deadline comes before the next attempt.
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

// left is the time to the deadline.
func (c *caller) timeLeft() time.Duration {
	return c.load.options.Deadline - c.load.clock.Since(c.arrived)
}

// attempt sends the request to the first entry that can be reached.
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
