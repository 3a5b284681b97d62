package engine

import (
	"sync"
)

// Limits of the ledger; the oldest request ids are dropped first.
const (
	maxAccounts   = 1 << 16
	maxViolations = 100
)

// outcome is how a run ended.
type outcome int

const (
	completed outcome = iota
	cutOff            // by an order that unloaded the weights
	cancelled         // by /cancel or a client disconnect
	broken            // by an injected fault
)

// Account counts the runs of one request id on one engine.
type Account struct {
	Begun     int    `json:"begun"`
	Completed int    `json:"completed"`
	CutOff    int    `json:"cutOff,omitempty"`
	Cancelled int    `json:"cancelled,omitempty"`
	Broken    int    `json:"broken,omitempty"`
	Version   string `json:"version"`
	// Content identifies the request's content (see answer.Content). An id must
	// not be used for two contents; a content may appear under several ids.
	Content string `json:"content"`
}

// Totals sums all accounts of one engine, including those dropped since.
type Totals struct {
	Begun     int `json:"begun"`
	Completed int `json:"completed"`
	CutOff    int `json:"cutOff"`
	Cancelled int `json:"cancelled"`
	Broken    int `json:"broken"`
	// Refused counts generations that were rejected and never ran.
	Refused   int `json:"refused"`
	Tokens    int `json:"tokens"`
	CacheHits int `json:"cacheHits"`
	CacheMiss int `json:"cacheMisses"`
}

// OrderTotals counts orders.
type OrderTotals struct {
	Obeyed int `json:"obeyed"`
	// OldRefused and OldObeyed count orders with a fence below the highest seen.
	OldRefused int `json:"oldRefused"`
	OldObeyed  int `json:"oldObeyed"`
	// NotWhole counts loads with a chunk that is missing or of another version.
	NotWhole int `json:"notWhole"`
	Loads    int `json:"loads"`
}

// Violation is an event that the system under test must never cause.
type Violation struct {
	Kind      string `json:"kind"`
	RequestID string `json:"requestId,omitempty"`
	Detail    string `json:"detail"`
}

// Kinds of violation.
const (
	violationCutOff      = "cutOff"             // an order cut a running request
	violationTwoRequests = "oneIdTwoRequests"   // one id was used for two contents
	violationOtherResume = "resumedOtherAnswer" // resume tokens belong to another answer
)

// Ledger is the JSON form of the engine's record.
type Ledger struct {
	Totals         Totals             `json:"totals"`
	Orders         OrderTotals        `json:"orders"`
	MaxBegun       int                `json:"maxBegun"` // largest number of runs of one id
	Violations     []Violation        `json:"violations"`
	ViolationCount int                `json:"violationCount"`
	Forgotten      int                `json:"forgotten"` // ids dropped because of maxAccounts
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
	arrivals       []string            // ring buffer of the ids in accounts
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
		l.addViolationLocked(Violation{Kind: violationTwoRequests, RequestID: id, Detail: "the id was used before with another prompt, model or adapter"})
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

// trackID adds an id and drops the oldest one if there are maxAccounts.
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

// end records the outcome of a run and the number of tokens it generated.
func (l *ledger) end(id string, result outcome, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.accounts[id]
	if account == nil {
		account = &Account{} // dropped since; only the totals are updated
	}
	l.totals.Tokens += tokens
	switch result {
	case completed:
		account.Completed++
		l.totals.Completed++
	case cutOff:
		account.CutOff++
		l.totals.CutOff++
		l.addViolationLocked(Violation{Kind: violationCutOff, RequestID: id, Detail: "an order unloaded the weights while the request ran"})
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

// order applies change to the order counts under the lock.
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

// copy returns the record. Accounts are included only on request, as there can be
// many.
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
