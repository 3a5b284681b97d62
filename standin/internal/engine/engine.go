// Package engine simulates a model engine: it does continuous batching, caches
// prompt prefixes, executes orders, stores weight chunks and records what it ran
// in a ledger that tests read.
package engine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/standin/internal/answer"
)

// Options configures an Engine.
type Options struct {
	// Slots is how many requests run at once, at least 1.
	Slots int
	// MaxQueue limits the requests that wait for a slot.
	MaxQueue int
	// TokenTime is the time between tokens of a request that runs alone; with
	// all slots in use it is about twice as long.
	TokenTime time.Duration
	// FirstTokenTime is the time to the first token of a short prompt whose
	// prefix is not cached.
	FirstTokenTime time.Duration
	// LoadTime is how long a load takes once all chunks are stored.
	LoadTime time.Duration
	// ChecksFencing makes the engine reject orders with an outdated fence.
	ChecksFencing bool
	// StatusLag is the age of the load figures in a status and of the newest
	// cache event returned.
	StatusLag time.Duration
	// CachePrefixes is the capacity of the prefix cache, at least 1.
	CachePrefixes int
	// EventLoss is the fraction of cache events that are dropped.
	EventLoss float64
	// StoreBytes limits the total size of the stored chunks.
	StoreBytes int64
	// Seed seeds the random choice of dropped cache events.
	Seed uint64
	// Clock provides the time and all timers.
	Clock clockwork.Clock
	// Chunks, if set, shares identical chunks between engines of one process.
	Chunks *Pool
}

// Engine is one simulated engine; its methods are safe for concurrent use.
type Engine struct {
	options Options
	clock   clockwork.Clock
	chunks  *chunkStore
	ledger  *ledger
	// orders serializes the execution of orders.
	orders sync.Mutex

	// mu guards the fields below.
	mu       sync.Mutex
	slots    slots
	running  map[string][]*run // by request id
	loaded   *weights          // nil while nothing is loaded
	fence    uint64            // highest fence seen in an order
	role     string            // "both", "prefill" or "decode"
	cache    *prefixCache
	load     loadHistory
	speed    tokenRate
	imported map[string]bool // request ids whose KV cache was imported
	faults   Faults
	// faultsChanged is closed and replaced when faults changes.
	faultsChanged chan struct{}
}

// New returns an engine with nothing loaded.
func New(options Options) *Engine {
	if options.Chunks == nil {
		options.Chunks = NewPool()
	}
	losses := rand.New(rand.NewPCG(options.Seed, uint64(options.CachePrefixes)))
	return &Engine{
		options:       options,
		clock:         options.Clock,
		chunks:        newChunkStore(options.Chunks, options.StoreBytes),
		ledger:        newLedger(),
		slots:         slots{size: options.Slots, maxQueue: options.MaxQueue},
		running:       map[string][]*run{},
		role:          roleBoth,
		cache:         newPrefixCache(options.CachePrefixes, options.EventLoss, losses),
		load:          loadHistory{lag: options.StatusLag},
		imported:      map[string]bool{},
		faultsChanged: make(chan struct{}),
	}
}

// tokenGap returns the time to the next token of a running request, which grows
// with each request in the batch.
func (e *Engine) tokenGap() time.Duration {
	share := float64(e.slots.running-1) / float64(e.options.Slots)
	gap := float64(e.options.TokenTime) * (1 + share) * decodeCost(e.role)
	return time.Duration(gap * e.faults.slowdown())
}

// Cost of the first token, relative to FirstTokenTime. A cached prefix saves
// three quarters; each promptUnit bytes beyond the prefix add a full
// FirstTokenTime.
const (
	warmPrefixCost = 0.25
	promptUnit     = 4096
)

// usePrefix reports whether the request's prompt prefix is cached or its KV
// cache was imported, and caches the prefix.
func (e *Engine) usePrefix(request Request) bool {
	warm := e.cache.use(answer.Prefix(request.Prompt), e.clock.Now())
	if e.imported[request.RequestID] {
		delete(e.imported, request.RequestID)
		return true
	}
	return warm
}

// firstTokenTime returns the simulated prefill time of the request.
func (e *Engine) firstTokenTime(request Request, warm bool) time.Duration {
	cost := 1.0
	if warm {
		cost = warmPrefixCost
	}
	beyond := max(0, len(request.Prompt)-answer.PrefixBytes) + resumedBytes(request.ResumeTokens)
	cost += float64(beyond) / promptUnit
	cost *= prefillCost(e.role) * e.faults.slowdown()
	return time.Duration(cost * float64(e.options.FirstTokenTime))
}

func resumedBytes(tokens []string) int {
	total := 0
	for _, token := range tokens {
		total += len(token)
	}
	return total
}

// Roles that an order may set.
const (
	roleBoth    = "both"
	rolePrefill = "prefill"
	roleDecode  = "decode"
)

// Relative cost of a phase in an engine whose role favors that phase or the
// other one.
const (
	tunedCost   = 0.8
	untunedCost = 1.5
)

func prefillCost(role string) float64 {
	switch role {
	case rolePrefill:
		return tunedCost
	case roleDecode:
		return untunedCost
	}
	return 1
}

func decodeCost(role string) float64 {
	switch role {
	case roleDecode:
		return tunedCost
	case rolePrefill:
		return untunedCost
	}
	return 1
}
