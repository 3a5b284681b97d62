// Package catalog holds the configuration that operators declare: routes,
// services, customers and limits. Each version is an immutable Catalog.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind defines whether a request may be run again after a failure.
type Kind int

// Kinds of requests.
const (
	// Once requests run on at most one endpoint.
	Once Kind = iota
	// Idempotent requests may run again on another endpoint.
	Idempotent
	// Stream requests are answered with a stream of events. They run once, unless
	// the route is resumable.
	Stream
)

// Share is the weight with which a route sends requests to a service.
type Share struct {
	Service string
	Weight  int
}

// Route maps a host name and a path prefix to services. It must not be modified
// once it is part of a Catalog.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable streams may continue on another endpoint after the last event.
	Resumable   bool
	Timeout     time.Duration // maximum time that a caller waits
	Target      time.Duration // latency that the operator aims for; of a stream, to its first event
	Gap         time.Duration // maximum time between two events of a stream that still counts as on time
	Priority    int           // 0 is the highest
	MaxAttempts int           // maximum endpoints that one request may run on
	Public      bool          // needs no key
	Shares      []Share       // never empty
}

// Repeatable reports whether a second endpoint may run the request after a
// first may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service selects a service for a request by weight. The result is the same for
// equal ids.
func (r *Route) Service(id string) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if len(r.Shares) == 1 || total <= 0 {
		return r.Shares[0].Service
	}
	offset := int(xxhash.Sum64String(id) % uint64(total))
	for _, share := range r.Shares {
		offset -= share.Weight
		if offset < 0 {
			return share.Service
		}
	}
	return r.Shares[0].Service
}

// Engine holds the performance parameters of a service's model engines; package
// engine documents the model that uses them.
type Engine struct {
	Slots                 int     // concurrent requests
	StepsPerPass          int     // token steps per pass while requests generate tokens
	StepMillis            float64 // duration of one token step
	PerSeqMillis          float64 // added for each request that generates tokens
	ContextMillis         float64 // added for each 1,000 context tokens, summed over all requests
	PromptTokensPerSecond float64 // prompt tokens processed per second
	PairMillis            float64 // added for each million pairs of tokens
	ChunkTokens           int     // maximum prompt tokens processed in a step
	MeanPromptTokens      int     // mean prompt length in tokens
	MeanAnswerTokens      int     // mean answer length in tokens
	Chunks                int     // chunks of one version's weights
	ChunkBytes            int
	Loads                 map[string]time.Duration // time to load a model
}

// Service is a group of endpoints that answer the same requests, or the origin
// of weights.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // maximum connections to each endpoint, over all callers
	Engine     *Engine // nil for a plain service
	Origin     string  // "IP:PORT" if this is the origin of weights, else empty
	OriginRate float64 // bandwidth of the origin's link in bytes per second; 0 if unknown
}

// Customer is a tenant whose keys authorize requests.
type Customer struct {
	Name     string
	Keys     []string
	Priority int // takes precedence over the route's priority
}

// Limits are the size and time limits of callers' requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Spec is the input from which New builds a Catalog.
type Spec struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
	// RequiresKeys is set if requests need a customer's key unless their route is public. Without
	// customers all of these are then rejected. Customers imply it.
	RequiresKeys bool
}

// Catalog is one version of the declared state. It is immutable.
type Catalog struct {
	version      uint64
	byHost       map[string][]*Route // longest prefix first
	services     map[string]*Service
	customers    map[string]*Customer // by key
	limits       Limits
	requiresKeys bool            // requests need a customer's key
	unresumable  map[string]bool // services with a route that is not repeatable
}

// New builds a Catalog from spec. The Catalog retains the spec's slices, which the
// caller must not modify.
func New(spec Spec) *Catalog {
	cat := &Catalog{
		version:      spec.Version,
		byHost:       map[string][]*Route{},
		services:     map[string]*Service{},
		customers:    map[string]*Customer{},
		limits:       spec.Limits,
		requiresKeys: spec.RequiresKeys || len(spec.Customers) > 0,
		unresumable:  map[string]bool{},
	}
	for i := range spec.Routes {
		route := &spec.Routes[i]
		cat.byHost[route.Host] = append(cat.byHost[route.Host], route)
		for _, share := range route.Shares {
			cat.unresumable[share.Service] = cat.unresumable[share.Service] || !route.Repeatable()
		}
	}
	for _, routes := range cat.byHost {
		slices.SortStableFunc(routes, func(left, right *Route) int {
			return cmp.Compare(len(right.Prefix), len(left.Prefix))
		})
	}
	for i := range spec.Services {
		cat.services[spec.Services[i].Name] = &spec.Services[i]
	}
	for i := range spec.Customers {
		for _, key := range spec.Customers[i].Keys {
			cat.customers[key] = &spec.Customers[i]
		}
	}
	delete(cat.customers, "") // the key of requests that carry none
	return cat
}

// Version returns the version number that the operators assigned.
func (c *Catalog) Version() uint64 { return c.version }

// Limits returns the limits of callers' requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Match returns the route for a request: among the routes of the host name, the
// one with the longest prefix of the path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	for _, route := range c.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// normalizeHost removes the port and converts to lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns the service with the given name.
func (c *Catalog) Service(name string) (*Service, bool) {
	svc, ok := c.services[name]
	return svc, ok
}

// Resumable reports whether all requests that a service runs may continue on
// another endpoint.
func (c *Catalog) Resumable(service string) bool { return !c.unresumable[service] }

// Services calls visit for each service, in no particular order.
func (c *Catalog) Services(visit func(*Service)) {
	for _, svc := range c.services {
		visit(svc)
	}
}

// Origin returns the address of the origin of weights and the bandwidth of its
// link in bytes per second, which is 0 if unknown. The address is empty if there
// is no origin.
func (c *Catalog) Origin() (address string, rate float64) {
	for _, svc := range c.services {
		if svc.Origin != "" {
			return svc.Origin, svc.OriginRate
		}
	}
	return "", 0
}

// RequiresKey reports whether a request on the route needs a customer's key.
func (c *Catalog) RequiresKey(route *Route) bool { return c.requiresKeys && !route.Public }

// Customer returns the customer that a key belongs to.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	customer, ok := c.customers[key]
	return customer, ok
}
