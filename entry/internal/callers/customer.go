package callers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/relay/limit"
	"comfreyrelay.example/relay/retry"
	"comfreyrelay.example/relay/wire"
)

// shareInterval is how often a customer's share of the limits is computed.
const shareInterval = 500 * time.Millisecond

// customer is one customer's state on this entry, under its own lock.
type customer struct {
	name string

	mu            sync.Mutex
	spec          *wire.Customer // of the document in force
	requests      limit.Bucket
	tokens        limit.Bucket
	offered       limit.Rate // requests, refused ones included
	offeredTokens limit.Rate
	budget        *retry.Budget
	requestShare  float64 // of the whole deployment's limit
	tokenShare    float64
	sharedAt      time.Time // when the shares were computed
}

// customers holds the state of all customers by name.
type customers struct {
	mu     sync.Mutex
	byName map[string]*customer
}

// take returns the state of the customer, kept over documents, with its new
// specification.
func (c *customers) upsert(spec *wire.Customer) *customer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byName == nil {
		c.byName = make(map[string]*customer)
	}
	found := c.byName[spec.GetName()]
	if found == nil {
		found = &customer{name: spec.GetName(), budget: retry.NewBudget()}
		c.byName[spec.GetName()] = found
	}
	found.mu.Lock()
	found.spec = spec
	found.sharedAt = time.Time{}
	found.mu.Unlock()
	return found
}

// demand reports the customers that sent something lately, by name.
func (c *customers) demand(now time.Time) []*wire.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*wire.Demand
	for _, each := range c.byName {
		if demand := each.demand(now); demand.GetRequestsPerSecond() >= minDemand {
			all = append(all, demand)
		}
	}
	slices.SortFunc(all, func(a, b *wire.Demand) int { return cmp.Compare(a.GetCustomer(), b.GetCustomer()) })
	return all
}

// minDemand is the rate below which a customer is not worth reporting.
const minDemand = 0.01

func (c *customer) demand(now time.Time) *wire.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.Demand{
		Customer:          c.name,
		RequestsPerSecond: c.offered.PerSecond(now),
		TokensPerSecond:   c.offeredTokens.PerSecond(now),
	}
}

// admit takes one request with so many tokens from the customer's share of the
// limits; otherwise wait says when to come back.
func (c *customer) admit(now time.Time, self string, reports []*wire.EntryReport, tokens int) (ok bool, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offered.Add(now, 1)
	c.offeredTokens.Add(now, float64(tokens))
	c.updateShares(now, self, reports)
	ok, wait = c.requests.Take(now, c.spec.GetRequestsPerSecond()*c.requestShare, 1)
	if !ok {
		return false, wait
	}
	ok, wait = c.tokens.Take(now, c.spec.GetTokensPerSecond()*c.tokenShare, float64(tokens))
	if !ok {
		c.requests.Refund(1)
		return false, wait
	}
	c.budget.Deposit(c.spec.GetRetryRatio())
	return true, 0
}

// share brings the shares up to date with the demand on all entries.
func (c *customer) updateShares(now time.Time, self string, reports []*wire.EntryReport) {
	if !c.sharedAt.IsZero() && now.Sub(c.sharedAt) < shareInterval {
		return
	}
	c.sharedAt = now
	requests, tokens := limit.DemandOf(c.name, reports)
	requests[self] = c.offered.PerSecond(now)
	tokens[self] = c.offeredTokens.PerSecond(now)
	c.requestShare = limit.Share(self, requests)
	c.tokenShare = limit.Share(self, tokens)
}

// refund gives back tokens that were not generated.
func (c *customer) refund(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens.Refund(float64(tokens))
}

// retry takes one retry from the budget.
func (c *customer) withdrawRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Withdraw()
}

// standing returns the customer's weight under overload and its priority. The
// weight grows with the priority, so that who waits in person goes before bulk
// work and bulk work still moves.
func (c *customer) weightAndPriority() (weight float64, priority uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	weight = c.spec.GetWeight()
	if weight <= 0 {
		weight = 1
	}
	priority = c.spec.GetPriority()
	return weight * float64(1+priority), priority
}
