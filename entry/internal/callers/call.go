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

// call holds the state of one HTTP request while it is processed.
type call struct {
	srv      *Server
	index    *index
	w        http.ResponseWriter
	r        *http.Request
	arrived  time.Time
	id       string    // unique per HTTP request; sent to the agents as the request ID
	customer *customer // set by authenticate
	req      *dispatch.Request
	hash     once.Hash
	key      once.Key
	hasKey   bool    // key is set, either by the caller or by generateKey
	grant    *grant  // the right to run the key; nil for a request without one
	out      *stream // nil if the answer is not streamed
}

// readFunc reads and validates a request's body into call.req. It must not check
// anything that can change over time; see serve.
type readFunc func(c *call) *problem

// authorizeFunc checks the request against the document in force.
type authorizeFunc func(c *call) *problem

// serve processes a request from authentication to the answer.
//
// A request with a once key claims the key before the checks of admit. The result
// of these checks changes over time, and an earlier request with the same key may
// have run; so they may answer "notRun" only after the key's owner has granted it
// to this request.
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

// authenticate sets the customer of the request.
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

// admit runs the checks whose result can change over time: whether the entry
// accepts requests, the authorization and the limits.
func (c *call) admit(accepting bool, authorize authorizeFunc) *problem {
	if !accepting {
		return c.shutdownProblem()
	}
	if prob := authorize(c); prob != nil {
		return prob
	}
	return c.checkRateLimit()
}

// shutdownProblem refuses a request that arrives during a drain, and names
// other entries to send it to.
func (c *call) shutdownProblem() *problem {
	prob := notRun(http.StatusServiceUnavailable, failure.New(failure.Leaving, "this entry is shutting down",
		"send the request to a spare, with a new once key if it has one").WithRetryAfter(time.Millisecond))
	prob.spares = c.srv.spares(c.index, c.r.RemoteAddr)
	return prob
}

// checkRateLimit takes the request and its tokens from the customer's limits.
func (c *call) checkRateLimit() *problem {
	now := c.srv.cfg.Clock.Now()
	ok, wait := c.customer.admit(now, c.srv.cfg.Self.GetId(), c.index.reports, c.req.MaxTokens)
	if ok {
		return nil
	}
	return notRun(http.StatusTooManyRequests, failure.New(failure.Exhausted, "the customer's limit is used up",
		"send fewer requests, or ask an operator for a higher limit").WithRetryAfter(max(wait, time.Millisecond)))
}

// claim acquires the right to run the request's key. If it can't, it answers
// the caller with the stored answer or a problem and returns true.
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

// releaseKey settles the key of a request that did not run, before the caller
// receives that result. It raises the problem's Retry-After to at least
// once.ReclaimDelay, because the key can't be claimed again before that.
func (c *call) releaseKey(prob *problem) {
	if c.grant == nil {
		return
	}
	c.srv.settle(context.WithoutCancel(c.r.Context()), c.grant, once.RunNotRun, nil)
	prob.err = prob.err.WithRetryAfter(max(prob.err.RetryAfter(), once.ReclaimDelay))
}

// visibleID returns the request ID that is reported to the caller: the once key
// if there is one, otherwise the call's own ID.
func (c *call) visibleID() string {
	if c.hasKey {
		return c.key.String()
	}
	return c.id
}

// refuse counts, logs and sends a problem for a request that was not dispatched.
func (c *call) refuse(prob *problem) {
	counters.Add(string(prob.outcome), 1)
	c.logRequest(dispatch.Result{Outcome: prob.outcome}, prob.err.Message())
	prob.write(c.w, c.visibleID())
}

// run dispatches the request and sends the answer.
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

// generateKey assigns a once key owned by this entry to the request, so that the
// caller can ask for its outcome later. A new key can't be refused for its age;
// if the key table is full, the request runs without a key.
func (c *call) generateKey() {
	key := once.NewKey(c.srv.cfg.Self.GetIncarnation(), uuid.MustParse(c.id))
	claim := once.Claim{Key: key, Hash: c.hash, Nonce: uuid.New()}
	if c.srv.keys.Claim(c.srv.now(), claim).State != once.Granted {
		return
	}
	c.key, c.hasKey = key, true
	c.grant = &grant{claim: claim}
}

// setWriteDeadline bounds how long a caller that doesn't read the answer can
// keep the request open.
func (c *call) setWriteDeadline() {
	control := http.NewResponseController(c.w)
	_ = control.SetWriteDeadline(c.req.Deadline.Add(writeGrace))
}

const writeGrace = time.Second

// answer reports the result to the caller and to the key's owner. If the request
// did not run, the key is released before the caller is answered. If it ran, the key
// is settled without making the caller wait for another process.
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
		c.srv.cfg.Log.Error("cannot encode the answer", "request", c.id, "error", err)
	}
	c.settleLater(once.RunAnswered, raw)
	if c.out != nil {
		c.out.end(result.Version, result.Digest, len(result.Tokens))
		return
	}
	writeAnswer(c.w, raw)
}

// fail reports a result that is not an answer to the caller and to the key's
// owner.
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

// settleLater settles the call's key, in the background if another process
// granted it. A drain waits for that.
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
