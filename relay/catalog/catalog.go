// Package catalog holds what operators declared: routes, services, customers
// and limits, in one immutable Catalog a version.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated of a request.
type Kind int

// The kinds.
const (
	// Once: at most one endpoint runs it.
	Once Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream requests are answered event by event and run once, unless the
	// route says that they may be resumed.
	Stream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route sends the requests of a host name and path prefix to services. It is
// not changed once it is part of a Catalog.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Resumable streams may go on at another endpoint after the last event.
	Resumable   bool
	Timeout     time.Duration // longest time that a caller is kept waiting
	Target      time.Duration // latency worth the full price; to the first event of a stream
	Gap         time.Duration // longest pause between events that is in time
	Priority    int           // 0 first
	MaxAttempts int           // endpoints that one request may run on
	Public      bool          // needs no key
	Shares      []Share       // never empty
}

// Repeatable reports whether a second endpoint may run the request after a
// first may have run it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request: always the same for one id.
func (r *Route) Service(id string) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if len(r.Shares) == 1 || total <= 0 {
		return r.Shares[0].Service
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, share := range r.Shares {
		point -= share.Weight
		if point < 0 {
			return share.Service
		}
	}
	return r.Shares[0].Service
}

// Engine describes the model engines of a service; see the engine package for
// how they work.
type Engine struct {
	Slots         int     // requests at once
	Stride        int     // steps of a pass with writers
	StepMillis    float64 // of one token step
	PerSeqMillis  float64 // more for each writing request
	ContextMillis float64 // more for each 1,000 tokens of context and request
	ReadPerSecond float64 // prompt tokens
	PairMillis    float64 // more for each million pairs of tokens
	ChunkTokens   int     // prompt tokens read in a step at most
	UsualPrompt   int     // mean prompt, tokens
	UsualAnswer   int     // mean answer, tokens
	Chunks        int     // of one version's weights
	ChunkBytes    int
	Loads         map[string]time.Duration // time to load a model
}

// Service is a group of endpoints that answer the same requests, or the origin
// of weights.
type Service struct {
	Name       string
	HealthPath string
	MaxConns   int     // connections of all callers together, each endpoint
	Engine     *Engine // nil: a plain service
	Origin     string  // "IP:PORT" where this is the origin of weights, else empty
	OriginRate float64 // of the origin's link, bytes a second; 0: unknown
}

// Customer is a party whose keys open the routes.
type Customer struct {
	Name     string
	Keys     []string
	Priority int // goes before the route's
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Spec is what a Catalog is made of.
type Spec struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Catalog is one version of the declared state. It is immutable.
type Catalog struct {
	version   uint64
	byHost    map[string][]*Route // longest prefix first
	services  map[string]*Service
	customers map[string]*Customer // by key
	limits    Limits
	keyed     bool            // requests need a customer's key
	fixed     map[string]bool // services with a stream that can't go on elsewhere
}

// New indexes a spec; it keeps the spec's slices.
func New(spec Spec) *Catalog {
	cat := &Catalog{
		version:   spec.Version,
		byHost:    map[string][]*Route{},
		services:  map[string]*Service{},
		customers: map[string]*Customer{},
		limits:    spec.Limits,
		keyed:     len(spec.Customers) > 0,
		fixed:     map[string]bool{},
	}
	for i := range spec.Routes {
		route := &spec.Routes[i]
		cat.byHost[route.Host] = append(cat.byHost[route.Host], route)
		for _, share := range route.Shares {
			cat.fixed[share.Service] = cat.fixed[share.Service] || !route.Repeatable()
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
	return cat
}

// Version returns the operators' number of this version.
func (c *Catalog) Version() uint64 { return c.version }

// Limits returns what a caller may send.
func (c *Catalog) Limits() Limits { return c.limits }

// Match returns the route of a request: of those with the host name, the one
// with the longest prefix that begins the path.
func (c *Catalog) Match(host, path string) (*Route, bool) {
	for _, route := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// hostName drops the port and folds case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Service returns a declared service.
func (c *Catalog) Service(name string) (*Service, bool) {
	svc, ok := c.services[name]
	return svc, ok
}

// Resumable reports whether everything that a service runs may go on at another
// endpoint.
func (c *Catalog) Resumable(service string) bool { return !c.fixed[service] }

// Services calls visit for each service.
func (c *Catalog) Services(visit func(*Service)) {
	for _, svc := range c.services {
		visit(svc)
	}
}

// Origin returns the address of the origin of weights and the rate of its link,
// bytes a second, 0 where that is unknown; the address is empty where there is no
// origin.
func (c *Catalog) Origin() (address string, rate float64) {
	for _, svc := range c.services {
		if svc.Origin != "" {
			return svc.Origin, svc.OriginRate
		}
	}
	return "", 0
}

// Keyed reports whether a request on the route needs a customer's key.
func (c *Catalog) Keyed(route *Route) bool { return c.keyed && !route.Public }

// Customer returns the holder of a key.
func (c *Catalog) Customer(key string) (*Customer, bool) {
	customer, ok := c.customers[key]
	return customer, ok
}
