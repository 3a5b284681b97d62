// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes, obeys orders, keeps chunks of weights and records
// what it ran in a ledger that tests read.
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
	// MaxQueue bounds the requests that wait for a slot.
	MaxQueue int
	// TokenTime is the gap between tokens of a request that runs alone; with
	// all slots taken it is about twice as long.
	TokenTime time.Duration
	// FirstTokenTime is what a short prompt with a cold prefix costs.
	FirstTokenTime time.Duration
	// LoadTime is how long loading takes once all chunks are there.
	LoadTime time.Duration
	// ChecksFencing makes the engine refuse orders with an old fence.
	ChecksFencing bool
	// StatusLag is how old the load figures in a status are.
	StatusLag time.Duration
	// CachePrefixes bounds the prefix cache, at least 1.
	CachePrefixes int
	// EventLoss is the fraction of cache events never published.
	EventLoss float64
	// StoreBytes bounds the chunks kept.
	StoreBytes int64
	// Seed of the losses.
	Seed uint64
	// Clock paces everything.
	Clock clockwork.Clock
	// Chunks, if set, lets engines of one process keep equal bytes once.
	Chunks *Pool
}

// Engine is one stand-in; its methods may be called at once.
type Engine struct {
	options Options
	clock   clockwork.Clock
	chunks  *chunkStore
	ledger  *ledger
	// orders is held while an order is carried out: one at a time.
	orders sync.Mutex

	// mu guards all below.
	mu       sync.Mutex
	slots    slots
	running  map[string][]*run // by request id
	loaded   *weights          // nil while nothing is loaded
	fence    uint64            // of the last order obeyed
	role     string            // "both", "prefill" or "decode"
	cache    *prefixCache
	load     loadHistory
	speed    tokenRate
	imported map[string]bool // request ids whose KV cache was imported
	faults   Faults
	// faultsChanged is closed and replaced when faults change.
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

// tokenGap returns the time to the next token of a running request: each
// request that shares the batch makes it longer.
func (e *Engine) tokenGap() time.Duration {
	share := float64(e.slots.running-1) / float64(e.options.Slots)
	gap := float64(e.options.TokenTime) * (1 + share) * decodeCost(e.role)
	return time.Duration(gap * e.faults.slowdown())
}

// Cost of a first token. A cached prefix saves three quarters; a prompt of
// promptUnit bytes beyond the prefix costs as much again.
const (
	warmPrefixCost = 0.25
	promptUnit     = 4096
)

// usePrefix reports whether the request's prompt prefix is warm, and caches it.
func (e *Engine) usePrefix(request Request) bool {
	warm := e.cache.use(answer.Prefix(request.Prompt), e.clock.Now())
	if e.imported[request.RequestID] {
		delete(e.imported, request.RequestID)
		return true
	}
	return warm
}

// firstTokenTime returns how long the engine computes on the request's prompt.
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

// Roles that an order may give.
const (
	roleBoth    = "both"
	rolePrefill = "prefill"
	roleDecode  = "decode"
)

// An engine tuned for one phase is faster in it and slower in the other.
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
