// Package audit compares what the callers got with what the back ends
// ran, both from their own records, never from the system's.
package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

const (
	// maxLine bounds one line of the caller's record.
	maxLine = 1 << 20
	// maxExamples bounds the breaches listed in detail.
	maxExamples = 20
)

// Outcomes in the caller's record that the audit looks at.
const (
	outcomeNotRun   = "notRun"
	outcomeAnswered = "answered"
	outcomeCutOff   = "cutOff"
)

// Line is one request in the caller's record.
type Line struct {
	ID         int    `json:"id"`
	RequestID  string `json:"requestId"`
	Key        string `json:"key"`
	Content    string `json:"content"`
	Customer   string `json:"customer"`
	Service    string `json:"service"`
	Repeatable bool   `json:"repeatable"`
	Outcome    string `json:"outcome"`
	Detail     string `json:"detail"`
	Version    string `json:"version"`
	Attempts   int    `json:"attempts"`
	Address    string `json:"address"`
	EndedAt    int64  `json:"endedAt"` // Unix milliseconds
	Millis     int64  `json:"millis"`  // from the arrival to the outcome
}

// Death is an entry that was killed: it cuts the answers that it was sending,
// and nothing else may.
type Death struct {
	Address string // of the entry for callers
	At      time.Time
}

// Excuses are what explains an answer without its end.
type Excuses struct {
	Deaths []Death
	// Deadline of the requests: an answer that ends after it was late already,
	// as when its entry was paused past it. 0 excuses nothing.
	Deadline time.Duration
}

func (e Excuses) late(line Line) bool {
	return e.Deadline > 0 && line.Millis >= e.Deadline.Milliseconds()
}

// deathSlack is how far apart a death and the cut that it explains may be.
const deathSlack = time.Second

func (d Death) explains(line Line) bool {
	apart := time.UnixMilli(line.EndedAt).Sub(d.At).Abs()
	return line.Address == d.Address && apart <= deathSlack
}

// Runs counts how often back ends began each request. Contents, unique to each
// request of the callers, distinguish requests: the system may run one request
// under several ids.
type Runs struct {
	byContent map[string]int
	// forgotten counts ids that a back end no longer remembers: the audit is
	// incomplete unless it is 0.
	forgotten int
	breaches  []Breach
}

// NewRuns returns an empty count.
func NewRuns() *Runs { return &Runs{byContent: map[string]int{}} }

// AddEngine adds one engine's record.
func (r *Runs) AddEngine(host string, ledger deployment.EngineLedger) {
	for _, account := range ledger.RunsByID {
		r.byContent[account.Content] += account.Begun
	}
	r.forgotten += ledger.Forgotten
	for _, seen := range ledger.Violations {
		r.breaches = append(r.breaches, Breach{Kind: seen.Kind, RequestID: seen.RequestID, Detail: host + ": " + seen.Detail})
	}
}

// AddService adds one plain service's record.
func (r *Runs) AddService(ledger deployment.ServiceLedger) {
	for id, runs := range ledger.RunsByID {
		r.byContent[ledger.Contents[id]] += runs
	}
	r.forgotten += ledger.Forgotten
}

// Kinds of breach beside those that engines see.
const (
	KindDoubled    = "doubled"
	KindRanNotRun  = "notRunButRan"
	KindUnverified = "unverified"
	KindNeverRan   = "answeredButNeverRan"
	KindCutShort   = "cutShort"
	kindCutOff     = "cutOff"
)

// Breach is one broken promise.
type Breach struct {
	Kind      string `json:"kind"`
	RequestID string `json:"requestId"`
	Detail    string `json:"detail"`
}

// Findings is the result of an audit.
type Findings struct {
	// Doubled counts requests that are not repeatable and ran more than once.
	Doubled int
	// NotRunButRan counts requests called not run that a back end began.
	NotRunButRan int
	// CutOff counts runs that an order to the engine cut.
	CutOff int
	// CutShort counts answers that a caller got without an end though the entry
	// lived; CutByDeath those whose entry was killed, CutLate those whose
	// deadline had passed.
	CutShort, CutByDeath, CutLate int
	// Other counts what else engines saw and must never happen.
	Other int
	// Unverified counts ids that a back end forgot.
	Unverified int
	// NeverRan counts answers to requests that no record shows; records of
	// back ends that died are gone with them.
	NeverRan int
	// Examples holds the first breaches.
	Examples []Breach
}

// Breaches returns the sum of all that must be 0.
func (f Findings) Breaches() int {
	return f.Doubled + f.NotRunButRan + f.CutOff + f.CutShort + f.Other
}

func (f *Findings) add(breach Breach) {
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, breach)
	}
}

// Compare reads the caller's record, one JSON object a line, and compares it
// with the runs.
func Compare(record io.Reader, runs *Runs, excuses Excuses) (Findings, error) {
	found := Findings{Unverified: runs.forgotten}
	for _, breach := range runs.breaches {
		if breach.Kind == kindCutOff {
			found.CutOff++
		} else {
			found.Other++
		}
		found.add(breach)
	}
	lines := bufio.NewScanner(record)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var line Line
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return found, fmt.Errorf("the caller's record cannot be read: %w", err)
		}
		found.compare(line, runs)
		found.compareEnd(line, excuses)
	}
	return found, lines.Err()
}

func (f *Findings) compare(line Line, runs *Runs) {
	id := line.RequestID
	if line.Key != "" {
		id = line.Key
	}
	count := runs.byContent[line.Content]
	if !line.Repeatable && count > 1 {
		f.Doubled++
		f.add(Breach{Kind: KindDoubled, RequestID: id, Detail: fmt.Sprintf("request %d ran %d times", line.ID, count)})
	}
	if line.Outcome == outcomeNotRun && count > 0 {
		f.NotRunButRan++
		f.add(Breach{Kind: KindRanNotRun, RequestID: id, Detail: fmt.Sprintf("request %d: got %q, ran %d times", line.ID, line.Detail, count)})
	}
	if line.Outcome == outcomeAnswered && count == 0 {
		f.NeverRan++
		f.add(Breach{Kind: KindNeverRan, RequestID: id, Detail: fmt.Sprintf("request %d was answered, no record shows a run", line.ID)})
	}
}

func (f *Findings) compareEnd(line Line, excuses Excuses) {
	if line.Outcome != outcomeCutOff {
		return
	}
	for _, death := range excuses.Deaths {
		if death.explains(line) {
			f.CutByDeath++
			return
		}
	}
	if excuses.late(line) {
		f.CutLate++
		return
	}
	f.CutShort++
	f.add(Breach{Kind: KindCutShort, RequestID: line.RequestID, Detail: fmt.Sprintf("request %d at %s: %s", line.ID, line.Address, line.Detail)})
}
