package sitesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/site"
	"comfreyrelay.example/relay/catalog"
)

// spec is the performance declaration of the engines.
var spec = catalog.Engine{
	Slots: 16, StepsPerPass: 5, StepMillis: 8.87, PerSeqMillis: 0.0388, ContextMillis: 0.0227, PromptTokensPerSecond: 19100, PairMillis: 1.47,
	ChunkTokens: 2048, MeanPromptTokens: 977, MeanAnswerTokens: 94, Chunks: 96, ChunkBytes: 24576,
}

const (
	eventTokens = 5
	idleTime    = 8 * time.Second
	customers   = 6
	// maxAddedRoutes limits the routes that changes add.
	maxAddedRoutes = 40
	// maxEvents limits the events of a stream.
	maxEvents = 52
)

// route is a route that callers use, with the shape of its requests.
type route struct {
	name, host, path string
	method           string
	kind             string
	service          string
	model            string
	stream           bool
	share            float64 // fraction of the requests
	prompt, events   float64 // mean tokens and events of a stream
	attempts         int
	target, gap      time.Duration
	timeout          time.Duration
	deadline         time.Duration
}

func (r *route) repeatable() bool { return r.kind != kindOnce }

// maxPause is the pause between events after which callers give up a stream.
func (r *route) maxPause() time.Duration {
	if !r.stream {
		return r.deadline
	}
	return max(2*time.Second, 4*r.target, 8*r.gap)
}

// Kinds of route in the platform's configuration.
const (
	kindStream = "streaming"
	kindOnce   = "non_idempotent"
	kindSafe   = "idempotent"
)

func routes() []*route {
	stream := func(name, path string, share, prompt, events float64, target time.Duration) *route {
		return &route{
			name: name, host: "a.example", path: path, method: http.MethodPost, kind: kindStream, service: site.EngineService, model: site.Model,
			stream: true, share: share, prompt: prompt, events: events, attempts: 2,
			target: target, gap: 400 * time.Millisecond, timeout: 6 * time.Second, deadline: 6 * time.Second,
		}
	}
	plain := func(name, path, method, kind string, share float64, attempts int) *route {
		return &route{
			name: name, host: "b.example", path: path, method: method, kind: kind, service: site.AppService, share: share, attempts: attempts,
			target: 100 * time.Millisecond, timeout: time.Second, deadline: time.Second,
		}
	}
	return []*route{
		stream("trace", "/trace/", 0.36, 1290, 21, 500*time.Millisecond),
		stream("summary", "/summary/", 0.27, 787, 21, 400*time.Millisecond),
		stream("note", "/note/", 0.26, 607, 14, 400*time.Millisecond),
		plain("lookup", "/lookup/", http.MethodPost, kindOnce, 0.08, 1),
		plain("check", "/check/", http.MethodGet, kindSafe, 0.03, 2),
	}
}

// Fractions of the requests that go to plain endpoints with Options.AppFaults, and with Options.Copies or
// Options.Anything.
const (
	appsPlainShare   = 0.7
	copiesPlainShare = 0.97
)

// favorPlain makes a fraction of the requests those of plain endpoints.
func favorPlain(routes []*route, plainShare float64) {
	plain := 0.0
	for _, one := range routes {
		if !one.stream {
			plain += one.share
		}
	}
	for _, one := range routes {
		if one.stream {
			one.share *= (1 - plainShare) / (1 - plain)
		} else {
			one.share *= plainShare / plain
		}
	}
}

// operator writes configurations and declares versions. It is safe for concurrent use.
type operator struct {
	site     *site.Site
	routes   []*route
	maxConns map[string]int // by kind of endpoint

	mu      sync.Mutex
	rng     *rand.Rand
	version int
	weights uint64
	keys    [][]string // by customer
	issued  int
	// issuedAt holds when keys were issued, for keys after the first configuration.
	issuedAt         map[string]time.Time
	extraRoutes      int // number of unused routes
	longTimeouts     bool
	revoked          map[string]time.Time // by key, when the revocation was acknowledged
	declaredVersions []declaredVersion
	changes          []configChange // of the configuration
	probes           [probeRoutes]bool
}

// maxConns returns the connection limit of an endpoint of each kind. Engines and apps allow as
// many per entry as in the platform's deployments.
func maxConns(entries int) map[string]int {
	const engineConns, appConns, originConns = 16, 12, 48
	return map[string]int{site.Engine: engineConns * entries, site.App: appConns * entries, site.Origin: originConns}
}

// declaredVersion is a version with the times it was sent and acknowledged.
type declaredVersion struct {
	version  uint64
	from, at time.Time
}

func newOperator(s *site.Site, maxConns map[string]int, seed uint64) *operator {
	o := &operator{site: s, routes: routes(), maxConns: maxConns, rng: rand.New(rand.NewPCG(seed, 5)), weights: 1, revoked: map[string]time.Time{}, issuedAt: map[string]time.Time{}}
	for range customers {
		o.keys = append(o.keys, []string{o.issueKey(), o.issueKey()})
	}
	return o
}

// issueKey returns a new key.
func (o *operator) issueKey() string {
	o.issued++
	key := fmt.Sprintf("key-%d", o.issued)
	if o.version > 0 {
		o.issuedAt[key] = time.Now()
	}
	return key
}

// activeKey returns a key that is in force, of a random customer. A few customers send most of
// the requests.
func (o *operator) activeKey(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	keys := slices.DeleteFunc(slices.Clone(o.keys[min(random.IntN(customers), random.IntN(customers))]), func(key string) bool {
		return time.Since(o.issuedAt[key]) < bounds.Apply
	})
	return keys[random.IntN(len(keys))]
}

// writeChange writes the configuration with one random change.
func (o *operator) writeChange(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch o.rng.IntN(4) {
	case 0:
		o.extraRoutes = o.extraRoutes - o.extraRoutes%maxAddedRoutes + (o.extraRoutes+1)%maxAddedRoutes
	case 1:
		o.longTimeouts = !o.longTimeouts
	case 2:
		at := o.rng.IntN(probeRoutes)
		o.probes[at] = !o.probes[at]
	default:
		customer := o.rng.IntN(customers)
		o.keys[customer] = append(o.keys[customer], o.issueKey())
	}
	return o.write(ctx)
}

// revokeKey revokes the oldest key of a random customer.
func (o *operator) revokeKey(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	customer := o.rng.IntN(customers)
	if len(o.keys[customer]) < 3 {
		// The customer's requests need another key that is in force everywhere.
		o.keys[customer] = append(o.keys[customer], o.issueKey())
		return o.write(ctx)
	}
	gone := o.keys[customer][0]
	o.keys[customer] = append(o.keys[customer][1:len(o.keys[customer]):len(o.keys[customer])], o.issueKey())
	if err := o.write(ctx); err != nil {
		return err
	}
	o.revoked[gone] = o.changes[len(o.changes)-1].ackedAt
	return nil
}

// write writes the configuration. The caller holds o.mu.
func (o *operator) write(ctx context.Context) error {
	o.version += 1 + o.rng.IntN(3)
	from := time.Now()
	at, err := o.site.Put(ctx, "op/config", o.config())
	o.changes = append(o.changes, configChange{sentAt: from, ackedAt: at, probes: o.probes})
	return err
}

// declareVersion declares a new version of the weights.
func (o *operator) declareVersion(ctx context.Context) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weights++
	from := time.Now()
	at, err := o.site.Put(ctx, "op/version/"+site.Model, map[string]any{"model": site.Model, "version": o.weights})
	if err == nil {
		o.declaredVersions = append(o.declaredVersions, declaredVersion{version: o.weights, from: from, at: at})
	}
	return err
}

type object = map[string]any

// config returns the configuration document.
func (o *operator) config() object {
	list := []object{}
	for _, r := range o.routes {
		timeout := r.timeout
		if o.longTimeouts {
			timeout += time.Second
		}
		definition := object{
			"name": r.name, "host": r.host, "path_prefix": r.path, "kind": r.kind, "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": r.target.Milliseconds(), "priority": 1, "service": r.service, "max_attempts": r.attempts,
		}
		if r.stream {
			definition["resumable"], definition["gap_aim_ms"] = true, r.gap.Milliseconds()
		}
		list = append(list, definition)
	}
	for i := range o.extraRoutes {
		list = append(list, object{"name": fmt.Sprint("extra-", i), "host": "c.example", "path_prefix": fmt.Sprintf("/x%d/", i), "kind": kindSafe, "timeout_ms": 1000, "service": site.AppService, "max_attempts": 1})
	}
	for i, there := range o.probes {
		if there {
			list = append(list, object{"name": fmt.Sprint("probe-", i), "host": probeHost, "path_prefix": probePath(i), "kind": kindSafe, "timeout_ms": probeTimeout.Milliseconds(), "service": site.AppService, "max_attempts": 1, "public": true})
		}
	}
	tenants := []object{}
	for i, keys := range o.keys {
		tenants = append(tenants, object{"name": customerName(i), "api_keys": keys, "priority": i % 2})
	}
	return object{
		"version": o.version, "routes": list, "tenants": tenants, "services": o.services(),
		"limits": object{"max_header_bytes": 8192, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": idleTime.Milliseconds()},
	}
}

func (o *operator) services() []object {
	return []object{
		{"name": site.EngineService, "health_path": "/health", "max_conns": o.maxConns[site.Engine], "engine": object{
			"slots": spec.Slots, "stride": spec.StepsPerPass, "step_ms": spec.StepMillis, "per_seq_ms": spec.PerSeqMillis, "context_per_k": spec.ContextMillis,
			"read_per_s": spec.PromptTokensPerSecond, "pairs_per_m": spec.PairMillis, "chunk": spec.ChunkTokens, "chunks": spec.Chunks, "chunk_bytes": spec.ChunkBytes,
			"models": []object{{"name": site.Model, "warm_s": 0.3}}, "usual": object{"prompt": spec.MeanPromptTokens, "answer": spec.MeanAnswerTokens},
		}},
		{"name": site.AppService, "health_path": "/health", "max_conns": o.maxConns[site.App]},
		{"name": site.OriginService, "origin": o.site.Origin(), "link_mbps": 7.3, "max_conns": o.maxConns[site.Origin]},
	}
}

func customerName(i int) string { return fmt.Sprint("customer-", i) }
