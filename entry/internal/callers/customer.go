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

// shareInterval is the shortest time between two computations of this entry's
// share of a customer's limits.
const shareInterval = 500 * time.Millisecond

// customer holds the state of one customer on this entry, guarded by its own lock.
type customer struct {
	name string

	mu            sync.Mutex
	spec          *wire.Customer // from the document in force
	requests      limit.Bucket
	tokens        limit.Bucket
	offered       limit.Rate // requests, including refused ones
	offeredTokens limit.Rate
	budget        *retry.Budget
	requestShare  float64 // this entry's share of the deployment-wide limit
	tokenShare    float64
	sharedAt      time.Time // when the shares were last computed; zero forces a recomputation
}

// customers holds the state of all customers by name. The state of a customer survives a
// change of the document.
type customers struct {
	mu     sync.Mutex
	byName map[string]*customer
}

// upsert returns the state of the customer with its specification replaced, and
// creates the state if there is none.
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

// demand returns the demand of the customers that sent requests recently, sorted
// by name.
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

// minDemand is the request rate below which a customer's demand is not reported.
const minDemand = 0.01

// demand returns the customer's request and token rates on this entry.
func (c *customer) demand(now time.Time) *wire.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &wire.Demand{
		Customer:          c.name,
		RequestsPerSecond: c.offered.PerSecond(now),
		TokensPerSecond:   c.offeredTokens.PerSecond(now),
	}
}

// admit takes one request and its tokens from this entry's share of the
// customer's limits. If a limit is exhausted, wait is the time after which to
// retry.
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

// updateShares recomputes this entry's shares of the limits from the customer's
// demand on all entries.
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

// refund returns tokens that were admitted but not generated.
func (c *customer) refund(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens.Refund(float64(tokens))
}

// withdrawRetry takes one retry from the customer's retry budget and reports
// whether there was one.
func (c *customer) withdrawRetry() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Withdraw()
}

// weightAndPriority returns the customer's weight under overload and its
// priority. The weight increases with the priority, so that interactive requests
// get more than bulk work without starving it.
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
