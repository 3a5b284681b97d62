// Package gateway answers callers: it routes a request, waits for a place at an
// endpoint, sends the request there and relays the answer.
//
// Filters of one request: read, match, identify, admit, send, relay.
package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/admission"
	"comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/fleet"
	"comfreyrelay.example/relay/quarantine"
	"comfreyrelay.example/relay/retry"
	"comfreyrelay.example/relay/site"
)

const (
	// soonReturn is the time to return where only a passing state of this entry is in the way.
	shortRetryAfter = 200 * time.Millisecond
	// behindMargin is left of the bound for a change for a request's way to its endpoint. What
	// is known may lack a change that must be in force once it is older than the rest of the
	// bound, and is then no reason to refuse a request for good.
	configAgeMargin = 150 * time.Millisecond
	// maxBodyBytes bounds a body where operators state none.
	defaultMaxBodyBytes = 4 << 20
	// maxHeldBodies bounds the bodies of all requests in progress, bytes.
	maxBufferedBodyBytes = 48 << 20
)

// Bounds are the promises that the gateway keeps.
type Bounds struct {
	// Revoke is how old the proof of the newest keys may be.
	Revoke time.Duration
	// Apply is how old the proof of the newest routes may be for a refusal
	// for good.
	Apply time.Duration
	// Version is how long after its declaration a version may be passed over.
	Version time.Duration
	// Ratio and Slack bound the repeats of all entries together.
	Ratio, Slack float64
	// Window is the time over which repeats are counted.
	Window time.Duration
}

// Config holds what a Gateway needs.
type Config struct {
	State  *site.State
	Pool   *upstream.Pool
	Wire   call.Wire
	Clock  clockwork.Clock
	Log    *slog.Logger
	Domain string // failure domain of this entry
	// Bounds returns the bounds in force.
	Bounds func() Bounds
	// Publish reports to the other entries what this one saw; nil: nobody.
	Publish func(site.Report)
	// Entries returns how many entries share the endpoints, at least 1.
	Entries func() int
}

// Gateway is the callers' handler. It is safe for concurrent use.
type Gateway struct {
	cfg        Config
	closeConns atomic.Bool // callers are asked to use no connection again
	draining   atomic.Bool // new requests are sent elsewhere
	inFlight   atomic.Int64
	bodyBytes  atomic.Int64 // bytes held
	counters   counters
	callers    admission.Callers

	mu           sync.Mutex
	retryBudgets map[string]*retry.Window // by service
	waitQueues   map[string]*waitQueue    // by service
	crashChecks  crashChecker
	// inProgress holds the requests that were routed and have not ended, with what cancels each.
	inProgress map[*exchange]context.CancelCauseFunc
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	if cfg.Publish == nil {
		cfg.Publish = func(site.Report) {}
	}
	g := &Gateway{
		inProgress: map[*exchange]context.CancelCauseFunc{},
		cfg:        cfg, retryBudgets: map[string]*retry.Window{}, waitQueues: map[string]*waitQueue{},
		crashChecks: crashChecker{
			pool: cfg.Pool, clock: cfg.Clock, log: cfg.Log, ledger: cfg.State.Ledger(), publish: cfg.Publish,
			running: map[fleet.Incarnation]*crashCheck{},
		},
	}
	cfg.State.Ledger().Notify(g.cancelQuarantined)
	cfg.State.Ledger().NotifyForgotten(func(fingerprint quarantine.Fingerprint) {
		cfg.Log.Warn("a held request is forgotten, too many endpoints ended under others", "print", fingerprint)
	})
	return g
}

// Leave makes each answer that begins from now on the last one of its connection. Connections
// whose answer began before stay open: closing one without notice would lose the caller's next
// request, which may be on its way.
func (g *Gateway) Leave() { g.closeConns.Store(true) }

// Drain makes the gateway refuse what comes from now on.
func (g *Gateway) Drain() { g.draining.Store(true) }

// InFlight returns the requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

func (g *Gateway) retryBudget(service string) *retry.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.retryBudgets[service]
	if window == nil {
		window = retry.NewWindow(g.cfg.Bounds().Window)
		g.retryBudgets[service] = window
	}
	return window
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{gateway: g, w: w, arrived: g.cfg.Clock.Now()}
	if refused := g.prepare(x, r); refused != nil {
		x.refuse(*refused)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	deadlineTimer := g.cfg.Clock.AfterFunc(x.adm.End.Sub(g.cfg.Clock.Now()), func() { cancel(context.DeadlineExceeded) })
	defer deadlineTimer.Stop()
	g.track(x, cancel)
	defer g.untrack(x)
	x.run(ctx)
}

// prepare reads a request and finds its route and customer.
//
// Rule ORDER of spec/freshness.pml.
func (g *Gateway) prepare(x *exchange, r *http.Request) *refusal {
	req, err := g.cfg.Wire.Read(r)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "malformed: " + err.Error()}
	}
	x.req = req
	if g.draining.Load() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "draining", retryAfter: time.Millisecond, closeConn: true}
	}
	// The age is taken before the configuration. The other way round, a newer configuration that
	// arrives in between would lend its age to the older one that routes this request.
	age, known := g.cfg.State.Fresh().Age()
	x.configAge, x.ageKnown = age, known
	x.catalog = g.cfg.State.Catalog()
	if x.catalog == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: shortRetryAfter, closeConn: true}
	}
	if refused := g.route(x); refused != nil {
		return refused
	}
	if refused := g.readBody(x, r); refused != nil {
		return refused
	}
	x.fingerprint = quarantine.Of(x.customerName(), req.Method, req.Host, req.Target, req.Body)
	return nil
}

// route finds the request's route and customer. Only a configuration that is surely in force may
// refuse a request for good: an entry that may be behind asks the caller to come back.
//
// Rule LIMIT of spec/freshness.pml.
func (g *Gateway) route(x *exchange) *refusal {
	bounds := g.cfg.Bounds()
	age, known := x.configAge, x.ageKnown
	behind := !known || age > bounds.Apply-configAgeMargin
	route, ok := x.catalog.Match(x.req.Host, x.req.Path)
	if !ok {
		if behind {
			return &refusal{status: http.StatusServiceUnavailable, reason: "no route, knowledge is old", retryAfter: shortRetryAfter}
		}
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	x.route = route
	x.service = route.Service(x.req.ID)
	x.initAdmission()
	if !x.catalog.Keyed(route) {
		return nil
	}
	if !known || age > bounds.Revoke {
		return &refusal{status: http.StatusServiceUnavailable, reason: "keys are not proven", retryAfter: shortRetryAfter, closeConn: true}
	}
	customer, ok := x.catalog.Customer(x.req.Key)
	if !ok {
		if behind {
			return &refusal{status: http.StatusServiceUnavailable, reason: "unknown key, knowledge is old", retryAfter: shortRetryAfter}
		}
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	x.customer = customer
	x.adm.Customer = customer.Priority
	return nil
}

// readBody reads the whole body, so that a slow caller takes no endpoint's
// place and a request can go to a second one.
func (g *Gateway) readBody(x *exchange, r *http.Request) *refusal {
	if r.ContentLength == 0 {
		return nil
	}
	limit := int64(x.catalog.Limits().BodyBytes)
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", closeConn: true}
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if g.bodyBytes.Add(reserved) > maxBufferedBodyBytes {
		g.bodyBytes.Add(-reserved)
		return &refusal{status: http.StatusServiceUnavailable, reason: "too many bodies in memory", retryAfter: shortRetryAfter, closeConn: true}
	}
	x.bodyBytes = reserved
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(x.adm.End.Sub(g.cfg.Clock.Now())))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	if err != nil {
		g.bodyBytes.Add(-reserved)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", closeConn: true}
		}
		return &refusal{status: http.StatusRequestTimeout, reason: "the body did not come whole", closeConn: true}
	}
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	x.req.Body = body
	return nil
}

// exchange is one request and its answer.
type exchange struct {
	gateway     *Gateway
	w           http.ResponseWriter
	req         *call.Request
	catalog     *catalog.Catalog
	route       *catalog.Route
	customer    *catalog.Customer // nil on public routes
	service     string
	arrived     time.Time
	adm         admission.Request // what decides when and where it goes
	configAge   time.Duration     // of the knowledge that decided
	ageKnown    bool              // there was a proof of it
	bodyBytes   int64             // of body counted
	fingerprint quarantine.Fingerprint

	tried            []fleet.Incarnation // endpoints that had the request
	sends            int                 // that reached an endpoint
	sentAt           time.Time           // when the newest one went out
	attemptsUsed     int                 // sends that may have run and did not serve
	mayHaveRun       bool                // an endpoint may have run it
	mayHaveRunBefore bool                // the same before the newest attempt
	queuedFor        time.Duration
	answerHeader     http.Header // of the answer that the caller gets; nil: none was begun
	events           int
	answering        atomic.Bool   // the first event came
	firstEventAfter  time.Duration // from the arrival
	lastEventAt      time.Time     // of the newest event
	longestPause     time.Duration // pause between two events
	lastEventID      string        // of the last event that the caller has
	notResumable     bool          // the answer was begun and can't go on at another endpoint
	status           int           // of the answer that the caller got whole; 0: none yet
	responseWait     responseWait  // of the newest attempt
	answerHead       call.Answer   // of the newest attempt; zero: none came
	reserved         *fleet.Grant  // place of the next attempt; nil: none yet
}

func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}
