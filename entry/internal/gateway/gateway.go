// Package gateway is the HTTP proxy between callers and endpoints: it routes a request, waits for
// a free slot at an endpoint, sends the request there and relays the answer.
//
// A request passes these stages: read, match the route, identify the customer, admit, send, relay.
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
	// shortRetryAfter is the time to retry after when the cause is a transient state of this entry.
	shortRetryAfter = 200 * time.Millisecond
	// configAgeMargin is the part of the maximum configuration age that is reserved for sending a
	// request to its endpoint. A configuration older than the rest may lack a change that must
	// already be in force, so it does not justify a final refusal.
	configAgeMargin = 150 * time.Millisecond
	// defaultMaxBodyBytes limits a request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxBufferedBodyBytes limits the total size of the bodies of all requests in progress.
	maxBufferedBodyBytes = 48 << 20
)

// Bounds are the time limits and retry limits that the gateway enforces.
type Bounds struct {
	// MaxKeyAge is the maximum age of the configuration by which a key is accepted, so that a
	// revoked key stops working within this time.
	MaxKeyAge time.Duration
	// MaxConfigAge is the maximum age of the configuration by which a request is refused for good, or
	// routed while the store is available.
	MaxConfigAge time.Duration
	// VersionRollout is how long after its declaration a model version must be in use everywhere.
	VersionRollout time.Duration
	// Ratio and Slack limit the retries of all entries together: Ratio per request, plus Slack.
	Ratio, Slack float64
	// Window is the time over which retries are counted, greater than 0.
	Window time.Duration
}

// Config holds the dependencies and settings of a Gateway.
type Config struct {
	State *site.State
	Pool  *upstream.Pool
	Wire  call.Wire
	Clock clockwork.Clock
	// BootClock is a monotonic clock that counts suspensions of the machine.
	BootClock func() time.Duration
	Log       *slog.Logger
	Domain    string // failure domain of this entry
	// Bounds returns the current bounds.
	Bounds func() Bounds
	// Publish sends an observation of this entry to the other entries; nil discards it.
	Publish func(site.Report)
	// Entries returns how many entries share the endpoints, at least 1.
	Entries func() int
	// PeakEntries returns how many entries may send requests, at least 1. Unlike Entries, it counts
	// those that stopped being registered only recently.
	PeakEntries func() int
}

// Gateway is the HTTP handler for callers. It is safe for concurrent use.
type Gateway struct {
	cfg        Config
	startedAt  time.Duration // reading of cfg.BootClock
	closeConns atomic.Bool   // answers close their connection
	stop       *shutdown
	inFlight   atomic.Int64
	bodyBytes  atomic.Int64 // request bodies in memory
	counters   counters
	workTimes  admission.WorkTimes

	mu           sync.Mutex
	retryBudgets map[string]*retry.Window // by service
	waitQueues   map[string]*waitQueue    // by service
	crashChecks  crashChecker
	// inProgress maps each routed, unfinished request to its cancel function.
	inProgress map[*exchange]context.CancelCauseFunc
}

// New returns a Gateway that subscribes to the quarantine ledger of cfg.State.
func New(cfg Config) *Gateway {
	if cfg.Publish == nil {
		cfg.Publish = func(site.Report) {}
	}
	g := &Gateway{
		inProgress: map[*exchange]context.CancelCauseFunc{}, stop: newShutdown(cfg.Clock),
		cfg: cfg, startedAt: cfg.BootClock(), retryBudgets: map[string]*retry.Window{}, waitQueues: map[string]*waitQueue{},
		crashChecks: crashChecker{
			pool: cfg.Pool, clock: cfg.Clock, log: cfg.Log, ledger: cfg.State.Ledger(), publish: cfg.Publish,
			running: map[fleet.Incarnation]*crashCheck{},
		},
	}
	cfg.State.Ledger().NotifyMaybeHeld(g.cancelQuarantined)
	cfg.State.Ledger().NotifyProven(func(parts []quarantine.Fingerprint) {
		cfg.Log.Info("parts known to be harmless reported", "prints", parts)
		cfg.Publish(site.Report{Report: quarantine.Report{ProvenParts: parts}})
	})
	cfg.State.Ledger().NotifyForgotten(func(fingerprint quarantine.Fingerprint) {
		cfg.Log.Warn("quarantined request forgotten, too many endpoint ends recorded for other requests", "print", fingerprint)
	})
	return g
}

// DisableKeepAlives makes each answer that begins from now on close its connection. A connection whose answer
// began before stays open: the caller was not informed that it closes, and its next request, which may
// be in transit, would be lost.
func (g *Gateway) DisableKeepAlives() { g.closeConns.Store(true) }

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// retryBudget returns the retry budget of a service and creates it on first use.
func (g *Gateway) retryBudget(service string) *retry.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.retryBudgets[service]
	if window == nil {
		window = retry.NewWindow(g.startedAt)
		g.retryBudgets[service] = window
	}
	return window
}

// ServeHTTP proxies one request.
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
	deadlineTimer := g.cfg.Clock.AfterFunc(x.adm.Deadline.Sub(g.cfg.Clock.Now()), func() { cancel(context.DeadlineExceeded) })
	defer deadlineTimer.Stop()
	defer context.AfterFunc(g.stop.ended, func() { cancel(errShutdown) })()
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
	if g.stop.draining() {
		return refuseDraining()
	}
	// The age must be read before the configuration. In the opposite order, an update that arrives
	// in between would make the older configuration, which routes this request, look up to date.
	age, known := g.cfg.State.Freshness().Age()
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
	if g.stop.draining() {
		// The drain began while the body arrived.
		g.bodyBytes.Add(-x.bodyBytes)
		return refuseDraining()
	}
	x.received = g.cfg.Clock.Now()
	x.adm.Received(x.received)
	x.fingerprint = quarantine.NewFingerprint(x.customerName(), req.Method, req.Host, req.Target, req.Body)
	for _, id := range req.SharedParts {
		x.parts = append(x.parts, quarantine.NewPartFingerprint(id))
	}
	return nil
}

// route finds the request's route and customer. A request is refused for good only by a
// configuration that is known to be current. If it may be out of date, the caller is asked to
// retry. A configuration that may have been replaced longer ago than the bound for a change does not
// route requests either, because they would be handled by what is no longer in force.
//
// Rule LIMIT of spec/freshness.pml.
func (g *Gateway) route(x *exchange) *refusal {
	bounds := g.cfg.Bounds()
	age, known := x.configAge, x.ageKnown
	behind := !known || age > bounds.MaxConfigAge-configAgeMargin
	route, ok := x.catalog.Match(x.req.Host, x.req.Path)
	if !ok {
		if behind {
			return &refusal{status: http.StatusServiceUnavailable, reason: "no route, configuration may be out of date", retryAfter: shortRetryAfter}
		}
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if !known || age > bounds.MaxConfigAge {
		if g.cfg.State.Contact().Available() {
			g.counters.outdatedRefusals.Add(1)
			return &refusal{status: http.StatusServiceUnavailable, reason: "the configuration may be out of date", retryAfter: shortRetryAfter, closeConn: true}
		}
		// Nothing is changed while the store is unavailable.
		g.counters.outdatedRoutes.Add(1)
	}
	x.route = route
	x.service = route.Service(x.req.ID)
	x.initAdmission()
	if !x.catalog.RequiresKey(route) {
		return nil
	}
	if !known || age > bounds.MaxKeyAge {
		return &refusal{status: http.StatusServiceUnavailable, reason: "keys are not proven", retryAfter: shortRetryAfter, closeConn: true}
	}
	customer, ok := x.catalog.Customer(x.req.Key)
	if !ok {
		if behind {
			return &refusal{status: http.StatusServiceUnavailable, reason: "unknown key, configuration may be out of date", retryAfter: shortRetryAfter}
		}
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	x.customer = customer
	x.adm.CustomerPriority = customer.Priority
	return nil
}

// readBody buffers the request body, so that a slow caller occupies no endpoint slot and the
// request can be sent to a second endpoint.
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
		return &refusal{status: http.StatusServiceUnavailable, reason: "too many request bodies in memory", retryAfter: shortRetryAfter, closeConn: true}
	}
	x.bodyBytes = reserved
	conn := http.NewResponseController(x.w)
	_ = conn.SetReadDeadline(time.Now().Add(x.adm.Deadline.Sub(g.cfg.Clock.Now())))
	defer context.AfterFunc(g.stop.ended, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })()
	body, err := io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	if err != nil {
		g.bodyBytes.Add(-reserved)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is too large", closeConn: true}
		}
		return &refusal{status: http.StatusRequestTimeout, reason: "the body was not received completely", closeConn: true}
	}
	_ = conn.SetReadDeadline(time.Time{})
	x.req.Body = body
	return nil
}

// exchange is the state of one request and its answer.
type exchange struct {
	gateway     *Gateway
	w           http.ResponseWriter
	req         *call.Request
	catalog     *catalog.Catalog
	route       *catalog.Route
	customer    *catalog.Customer // nil on public routes
	service     string
	arrived     time.Time
	received    time.Time         // when its body was complete
	adm         admission.Request // decides when and where it is sent
	configAge   time.Duration     // age of the configuration when it was read
	ageKnown    bool              // whether configAge is known
	bodyBytes   int64             // size that was added to Gateway.bodyBytes
	fingerprint quarantine.Fingerprint
	parts       []quarantine.Fingerprint // of req.SharedParts, in their order

	tried            []fleet.Incarnation // endpoints that were chosen so far
	sends            int                 // attempts that got a connection
	sentAt           time.Time           // start of the latest send
	retryAllowedAt   time.Time           // when the retry budget admitted the latest retry; zero before the first
	retryDenied      bool                // the latest decision of the retry budget was a refusal
	attemptsUsed     int                 // failed attempts that may have run; compared with the route's limit
	mayHaveRun       bool                // an endpoint may have run the request
	mayHaveRunBefore bool                // mayHaveRun before the latest attempt
	provenNotRun     bool                // the latest attempt is proven not to have run
	queuedFor        time.Duration
	answerHeader     http.Header // header of the answer that the caller gets; nil until it begins
	events           int
	answering        atomic.Bool   // set with the first event
	sendEvents       int           // events of the latest attempt
	sendFirstEventAt time.Time     // when the first of them arrived
	survived         bool          // the latest attempt showed that its endpoint keeps running
	firstEventAfter  time.Duration // time from arrival to the first event
	lastEventAt      time.Time
	longestPause     time.Duration // between two events
	lastEventID      string        // ID of the last event sent to the caller
	notResumable     bool          // the answer has begun and cannot continue at another endpoint
	status           int           // status of the completed answer; 0 before that
	responseWait     responseWait  // of the latest attempt
	answerHead       call.Answer   // of the latest attempt; zero if no answer arrived
	answerOrigin     answerOrigin  // of the latest attempt
	reserved         *fleet.Grant  // slot for the next attempt, nil if none is reserved
}

// customerName returns the customer's name, empty on public routes.
func (x *exchange) customerName() string {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}
