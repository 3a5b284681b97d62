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
	srv     *Server
	now     *index
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	id      string    // new for this arrival; agents know the request by it
	who     *customer // after identify
	req     *dispatch.Request
	hash    once.Hash
	key     once.Key
	keyed   bool    // the request bears a key, given or made
	ticket  *ticket // the right to run it; nil where none is needed
	out     *stream // nil for an answer in one piece
}

// readFunc reads a request's body into call.req and judges nothing that may
// change over time.
type readFunc func(c *call) *problem

// permitFunc judges the request by the document in force.
type permitFunc func(c *call) *problem

// serve takes a request through the filters.
//
// A request that bears a key is claimed before anything may refuse it: the
// same key may have run before, and "notRun" is only said of a key whose owner
// granted it to this arrival.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, read readFunc, permit permitFunc) {
	open := s.door.enter()
	defer s.door.leave()
	c := &call{srv: s, now: s.index(), w: w, r: r, arrived: s.cfg.Clock.Now(), id: uuid.Must(uuid.NewV7()).String()}
	refused := c.identify()
	if refused == nil {
		refused = read(c)
	}
	if refused != nil {
		c.refuse(refused)
		return
	}
	if c.keyed && c.claim() {
		return
	}
	if refused = c.admit(open, permit); refused != nil {
		c.giveBack(refused)
		c.refuse(refused)
		return
	}
	c.run()
}

func (c *call) identify() *problem {
	if c.now.deployment.document == nil {
		return notRun(http.StatusServiceUnavailable, failure.New(failure.Unavailable, "no configuration is in force here yet",
			"try again in a moment").WithRetryAfter(noDocumentRetry))
	}
	who, refused := c.now.identify(c.r)
	c.who = who
	return refused
}

const noDocumentRetry = time.Second

// admit applies what may refuse the request now.
func (c *call) admit(open bool, permit permitFunc) *problem {
	if !open {
		return c.leaving()
	}
	if refused := permit(c); refused != nil {
		return refused
	}
	return c.limit()
}

func (c *call) leaving() *problem {
	refused := notRun(http.StatusServiceUnavailable, failure.New(failure.Leaving, "this entry is shutting down",
		"send the request to a spare, with a new once key if it has one").WithRetryAfter(time.Millisecond))
	refused.spares = c.srv.spares(c.now, c.r.RemoteAddr)
	return refused
}

func (c *call) limit() *problem {
	now := c.srv.cfg.Clock.Now()
	ok, wait := c.who.admit(now, c.srv.cfg.Self.GetId(), c.now.reports, c.req.MaxTokens)
	if ok {
		return nil
	}
	return notRun(http.StatusTooManyRequests, failure.New(failure.Exhausted, "the customer's limit is used up",
		"send fewer requests, or ask an operator for a higher limit").WithRetryAfter(max(wait, time.Millisecond)))
}

// claim gets the right to run the key; over is true where the caller has its
// answer instead.
func (c *call) claim() (over bool) {
	claim := once.Claim{Key: c.key, Hash: c.hash, Nonce: uuid.New()}
	won, kept, refused := c.srv.claim(context.WithoutCancel(c.r.Context()), c.now, claim)
	switch {
	case refused != nil:
		c.refuse(refused)
		return true
	case won == nil:
		counters.Add("replayed", 1)
		c.logEnd(dispatch.Result{Outcome: dispatch.Answered}, "replayed")
		replay(c.w, c.r, kept)
		return true
	}
	c.ticket = won
	return false
}

// giveBack frees the key of a request that was refused, before the caller
// learns of it, and asks the caller to wait for the end of the key's hold.
func (c *call) giveBack(refused *problem) {
	if c.ticket == nil {
		return
	}
	c.srv.settle(context.WithoutCancel(c.r.Context()), c.ticket, once.RunNotRun, nil)
	refused.err = refused.err.WithRetryAfter(max(refused.err.RetryAfter(), once.Hold))
}

// visibleID is what the caller gets to know the request by: the key that the
// entry made for it, else the arrival's own id.
func (c *call) visibleID() string {
	if c.keyed {
		return c.key.String()
	}
	return c.id
}

func (c *call) refuse(refused *problem) {
	counters.Add(string(refused.outcome), 1)
	c.logEnd(dispatch.Result{Outcome: refused.outcome}, refused.err.Message())
	refused.write(c.w, c.visibleID())
}

// run dispatches the request and answers.
func (c *call) run() {
	if !c.req.Repeatable && !c.keyed {
		c.makeKey()
	}
	c.limitWrites()
	sink := dispatch.Sink{}
	if wantsStream(c.r) && c.req.Service == "" {
		c.out = newStream(c.w, c.visibleID())
		sink.Tokens = c.out.tokens
	}
	weight, priority := c.who.standing()
	c.req.ID, c.req.Customer, c.req.Weight, c.req.Priority = c.id, c.who.name, weight, priority
	c.req.Retry = c.who.retry
	c.req.Large = c.srv.isLarge(c.now, c.who.name)
	result := c.srv.dispatcher.Do(c.r.Context(), c.req, sink)
	c.account(result)
	c.answer(result)
}

// makeKey gives the request a key of this entry, so that the caller can ask
// for its outcome. A key made now cannot be refused by age; where there is no
// room for it, the request runs without.
func (c *call) makeKey() {
	key := once.NewKey(c.srv.cfg.Self.GetIncarnation(), uuid.MustParse(c.id))
	claim := once.Claim{Key: key, Hash: c.hash, Nonce: uuid.New()}
	if c.srv.keys.Claim(c.srv.now(), claim).State != once.Granted {
		return
	}
	c.key, c.keyed = key, true
	c.ticket = &ticket{claim: claim}
}

// limitWrites bounds how long a caller who does not read can hold the request.
func (c *call) limitWrites() {
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
	refused := problemOf(result)
	if result.Outcome == dispatch.NotRun {
		c.giveBack(refused)
	} else {
		c.settleLater(once.RunUnknown, nil)
	}
	if c.out != nil {
		c.out.fail(refused)
		return
	}
	refused.write(c.w, c.visibleID())
}

// settleLater settles a key in the background where that takes a call; a drain
// waits for it.
func (c *call) settleLater(outcome once.Outcome, answer []byte) {
	if c.ticket == nil {
		return
	}
	ctx := context.WithoutCancel(c.r.Context())
	if c.ticket.address == "" {
		c.srv.settle(ctx, c.ticket, outcome, answer)
		return
	}
	c.srv.door.enter()
	go func() {
		defer c.srv.door.leave()
		c.srv.settle(ctx, c.ticket, outcome, answer)
	}()
}
