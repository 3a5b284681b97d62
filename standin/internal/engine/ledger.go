package engine

import (
	"sync"
)

// Bounds of the ledger; the oldest request ids go first.
const (
	maxAccounts   = 1 << 16
	maxViolations = 100
)

// ending is how one run ended.
type outcome int

const (
	completed outcome = iota
	cutOff            // by an order that took the weights away
	cancelled         // by /cancel, or the client went away
	broken            // by a fault
)

// Account is what one engine ran under one request id.
type Account struct {
	Begun     int    `json:"begun"`
	Completed int    `json:"completed"`
	CutOff    int    `json:"cutOff,omitempty"`
	Cancelled int    `json:"cancelled,omitempty"`
	Broken    int    `json:"broken,omitempty"`
	Version   string `json:"version"`
	// Content names what was asked, as answer.Content does: one id may not
	// carry two, and one content may have come under several ids.
	Content string `json:"content"`
}

// Totals sums the accounts of one engine, also those forgotten since.
type Totals struct {
	Begun     int `json:"begun"`
	Completed int `json:"completed"`
	CutOff    int `json:"cutOff"`
	Cancelled int `json:"cancelled"`
	Broken    int `json:"broken"`
	// Refused generations were certainly not run.
	Refused   int `json:"refused"`
	Tokens    int `json:"tokens"`
	CacheHits int `json:"cacheHits"`
	CacheMiss int `json:"cacheMisses"`
}

// OrderTotals counts orders.
type OrderTotals struct {
	Obeyed int `json:"obeyed"`
	// OldRefused and OldObeyed bore a fence below the highest one seen.
	OldRefused int `json:"oldRefused"`
	OldObeyed  int `json:"oldObeyed"`
	// NotWhole were loads with a chunk missing or of another version.
	NotWhole int `json:"notWhole"`
	Loads    int `json:"loads"`
}

// Violation is something that the product must never cause.
type Violation struct {
	Kind      string `json:"kind"`
	RequestID string `json:"requestId,omitempty"`
	Detail    string `json:"detail"`
}

// Kinds of violation.
const (
	violationCutOff      = "cutOff"             // an order cut a running request
	violationTwoRequests = "oneIdTwoRequests"   // one id came with two contents
	violationOtherResume = "resumedOtherAnswer" // resume tokens are not this answer's
)

// Ledger is the engine's record as JSON.
type Ledger struct {
	Totals         Totals             `json:"totals"`
	Orders         OrderTotals        `json:"orders"`
	MaxBegun       int                `json:"maxBegun"` // most runs of one id
	Violations     []Violation        `json:"violations"`
	ViolationCount int                `json:"violationCount"`
	Forgotten      int                `json:"forgotten"` // ids dropped at the bound
	RunsByID       map[string]Account `json:"runsById,omitempty"`
}

type ledger struct {
	mu             sync.Mutex
	totals         Totals
	orders         OrderTotals
	maxBegun       int
	violations     []Violation // at most maxViolations
	violationCount int
	forgotten      int
	accounts       map[string]*Account // at most maxAccounts
	arrivals       []string            // ring of the ids in accounts
	oldest         int                 // index in arrivals once it is full
}

func newLedger() *ledger {
	return &ledger{accounts: map[string]*Account{}}
}

// begin records that a request began to run.
func (l *ledger) begin(id, version string, content string, hit bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.accounts[id]
	if account == nil {
		account = &Account{Content: content}
		l.accounts[id] = account
		l.trackID(id)
	}
	if account.Content != content {
		l.addViolationLocked(Violation{Kind: violationTwoRequests, RequestID: id, Detail: "the id came with another prompt, model or adapter before"})
	}
	account.Begun++
	account.Version = version
	l.maxBegun = max(l.maxBegun, account.Begun)
	l.totals.Begun++
	if hit {
		l.totals.CacheHits++
	} else {
		l.totals.CacheMiss++
	}
}

func (l *ledger) trackID(id string) {
	if len(l.arrivals) < maxAccounts {
		l.arrivals = append(l.arrivals, id)
		return
	}
	delete(l.accounts, l.arrivals[l.oldest])
	l.forgotten++
	l.arrivals[l.oldest] = id
	l.oldest = (l.oldest + 1) % maxAccounts
}

// end records how a run that began ended, with the tokens it made.
func (l *ledger) end(id string, result outcome, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.accounts[id]
	if account == nil {
		account = &Account{} // forgotten since: only the totals count
	}
	l.totals.Tokens += tokens
	switch result {
	case completed:
		account.Completed++
		l.totals.Completed++
	case cutOff:
		account.CutOff++
		l.totals.CutOff++
		l.addViolationLocked(Violation{Kind: violationCutOff, RequestID: id, Detail: "an order took the weights away while the request ran"})
	case cancelled:
		account.Cancelled++
		l.totals.Cancelled++
	case broken:
		account.Broken++
		l.totals.Broken++
	}
}

func (l *ledger) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Refused++
}

// order changes the counts of orders under the lock.
func (l *ledger) order(change func(*OrderTotals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.orders)
}

// report records a violation.
func (l *ledger) report(found Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(found)
}

func (l *ledger) addViolationLocked(found Violation) {
	l.violationCount++
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, found)
	}
}

// copy returns the record; accounts only on request, as they are many.
func (l *ledger) copy(withAccounts bool) Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := Ledger{
		Totals:         l.totals,
		Orders:         l.orders,
		MaxBegun:       l.maxBegun,
		Violations:     append([]Violation{}, l.violations...),
		ViolationCount: l.violationCount,
		Forgotten:      l.forgotten,
	}
	if !withAccounts {
		return out
	}
	out.RunsByID = make(map[string]Account, len(l.accounts))
	for id, account := range l.accounts {
		out.RunsByID[id] = *account
	}
	return out
}

// Ledger returns the engine's record of what it ran.
func (e *Engine) Ledger(withAccounts bool) Ledger {
	return e.ledger.copy(withAccounts)
}
