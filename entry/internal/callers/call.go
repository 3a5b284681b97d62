package callers

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/entry/internal/dispatch"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/once"
)

// call is one request of a caller on its way through the filters.
type call struct {
	srv      *Server
	index    *index
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	id       string    // new for this arrival; agents know the request by it
	customer *customer // after authenticate
	req      *dispatch.Request
	hash     once.Hash
	key      once.Key
	hasKey   bool    // the request bears a key, given or made
	grant    *grant  // the right to run it; nil where none is needed
	out      *stream // nil for an answer in one piece
}

// readFunc reads a request's body into call.req and judges nothing that may
// change over time.
type readFunc func(c *call) *problem

// permitFunc judges the request by the document in force.
type authorizeFunc func(c *call) *problem

// serve takes a request through the filters.
//
// A request that bears a key is claimed before anything may refuse it: the
// same key may have run before, and "notRun" is only said of a key whose owner
// granted it to this arrival.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, read readFunc, authorize authorizeFunc) {
	accepting := s.tracker.add()
	defer s.tracker.done()
	c := &call{srv: s, index: s.index(), w: w, r: r, arrived: s.cfg.Clock.Now(), id: uuid.Must(uuid.NewV7()).String()}
	prob := c.authenticate()
	if prob == nil {
		prob = read(c)
	}
	if prob != nil {
		c.refuse(prob)
		return
	}
	if c.hasKey && c.claim() {
		return
	}
	if prob = c.admit(accepting, authorize); prob != nil {
		c.releaseKey(prob)
		c.refuse(prob)
		return
	}
	c.run()
}

func (c *call) authenticate() *problem {
	if c.index.deployment.document == nil {
		return notRun(http.StatusServiceUnavailable, failure.New(failure.Unavailable, "no configuration is in force here yet",
			"try again in a moment").WithRetryAfter(noDocumentRetryAfter))
	}
	customer, prob := c.index.authenticate(c.r)
	c.customer = customer
	return prob
}

const noDocumentRetryAfter = time.Second

// admit applies what may refuse the request now.
func (c *call) admit(accepting bool, authorize authorizeFunc) *problem {
	if !accepting {
		return c.shutdownProblem()
	}
	if prob := authorize(c); prob != nil {
		return prob
	}
	return c.checkRateLimit()
}

func (c *call) shutdownProblem() *problem {
	prob := notRun(http.StatusServiceUnavailable, failure.New(failure.Leaving, "this entry is shutting down",
		"send the request to a spare, with a new once key if it has one").WithRetryAfter(time.Millisecond))
	prob.spares = c.srv.spares(c.index, c.r.RemoteAddr)
	return prob
}

func (c *call) checkRateLimit() *problem {
	now := c.srv.cfg.Clock.Now()
	ok, wait := c.customer.admit(now, c.srv.cfg.Self.GetId(), c.index.reports, c.req.MaxTokens)
	if ok {
		return nil
	}
	return notRun(http.StatusTooManyRequests, failure.New(failure.Exhausted, "the customer's limit is used up",
		"send fewer requests, or ask an operator for a higher limit").WithRetryAfter(max(wait, time.Millisecond)))
}

// claim gets the right to run the key; over is true where the caller has its
// answer instead.
func (c *call) claim() (handled bool) {
	claim := once.Claim{Key: c.key, Hash: c.hash, Nonce: uuid.New()}
	granted, stored, prob := c.srv.claim(context.WithoutCancel(c.r.Context()), c.index, claim)
	switch {
	case prob != nil:
		c.refuse(prob)
		return true
	case granted == nil:
		counters.Add("replayed", 1)
		c.logRequest(dispatch.Result{Outcome: dispatch.Answered}, "replayed")
		replay(c.w, c.r, stored)
		return true
	}
	c.grant = granted
	return false
}

// giveBack frees the key of a request that was refused, before the caller
// learns of it, and asks the caller to wait for the end of the key's hold.
func (c *call) releaseKey(prob *problem) {
	if c.grant == nil {
		return
	}
	c.srv.settle(context.WithoutCancel(c.r.Context()), c.grant, once.RunNotRun, nil)
	prob.err = prob.err.WithRetryAfter(max(prob.err.RetryAfter(), once.Hold))
}

// visibleID is what the caller gets to know the request by: the key that the
// entry made for it, else the arrival's own id.
func (c *call) visibleID() string {
	if c.hasKey {
		return c.key.String()
	}
	return c.id
}

func (c *call) refuse(prob *problem) {
	counters.Add(string(prob.outcome), 1)
	c.logRequest(dispatch.Result{Outcome: prob.outcome}, prob.err.Message())
	prob.write(c.w, c.visibleID())
}

// run dispatches the request and answers.
func (c *call) run() {
	if !c.req.Repeatable && !c.hasKey {
		c.generateKey()
	}
	c.setWriteDeadline()
	sink := dispatch.Sink{}
	if wantsStream(c.r) && c.req.Service == "" {
		c.out = newStream(c.w, c.visibleID())
		sink.Tokens = c.out.tokens
	}
	weight, priority := c.customer.weightAndPriority()
	c.req.ID, c.req.Customer, c.req.Weight, c.req.Priority = c.id, c.customer.name, weight, priority
	c.req.Retry = c.customer.withdrawRetry
	c.req.Large = c.srv.isLarge(c.index, c.customer.name)
	result := c.srv.dispatcher.Do(c.r.Context(), c.req, sink)
	c.account(result)
	c.answer(result)
}

// makeKey gives the request a key of this entry, so that the caller can ask
// for its outcome. A key made now cannot be refused by age; where there is no
// room for it, the request runs without.
func (c *call) generateKey() {
	key := once.NewKey(c.srv.cfg.Self.GetIncarnation(), uuid.MustParse(c.id))
	claim := once.Claim{Key: key, Hash: c.hash, Nonce: uuid.New()}
	if c.srv.keys.Claim(c.srv.now(), claim).State != once.Granted {
		return
	}
	c.key, c.hasKey = key, true
	c.grant = &grant{claim: claim}
}

// limitWrites bounds how long a caller who does not read can hold the request.
func (c *call) setWriteDeadline() {
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.req.Deadline.Add(writeGrace))
}

const writeGrace = time.Second

// answer reports how it ended to the caller and to the key's owner. A key that
// did not run is given back before the caller learns of it; one that ran is
// settled afterwards, to save the caller the wait.
func (c *call) answer(result dispatch.Result) {
	defer func() { _ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{}) }()
	if result.Outcome != dispatch.Answered {
		c.fail(result)
		return
	}
	raw, err := json.Marshal(answerBody{
		Outcome: dispatch.Answered, RequestID: c.visibleID(), Version: result.Version, Tokens: result.Tokens, Body: result.Body,
	})
	if err != nil {
		c.srv.cfg.Log.Error("answer not encoded", "request", c.id, "error", err)
	}
	c.settleLater(once.RunAnswered, raw)
	if c.out != nil {
		c.out.end(result.Version, result.Digest, len(result.Tokens))
		return
	}
	writeAnswer(c.w, raw)
}

func (c *call) fail(result dispatch.Result) {
	prob := problemFromResult(result)
	if result.Outcome == dispatch.NotRun {
		c.releaseKey(prob)
	} else {
		c.settleLater(once.RunUnknown, nil)
	}
	if c.out != nil {
		c.out.fail(prob)
		return
	}
	prob.write(c.w, c.visibleID())
}

// settleLater settles a key in the background where that takes a call; a drain
// waits for it.
func (c *call) settleLater(outcome once.Outcome, answer []byte) {
	if c.grant == nil {
		return
	}
	ctx := context.WithoutCancel(c.r.Context())
	if c.grant.address == "" {
		c.srv.settle(ctx, c.grant, outcome, answer)
		return
	}
	c.srv.tracker.add()
	go func() {
		defer c.srv.tracker.done()
		c.srv.settle(ctx, c.grant, outcome, answer)
	}()
}
