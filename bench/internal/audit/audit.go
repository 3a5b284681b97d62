// Package audit compares the results that callers received with the requests
// that back ends executed. It uses the records of the callers and back ends
// only, never those of the system under test.
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
	// maxRecordLine is the maximum length in bytes of a line in the caller's record.
	maxRecordLine = 1 << 20
	// maxExamples is the maximum number of breaches listed in Findings.Examples.
	maxExamples = 20
)

// Outcomes in the caller's record that the audit checks.
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
	Millis     int64  `json:"millis"`  // from arrival to outcome
}

// Death records the kill of an entry. A killed entry truncates the responses
// that it is sending; apart from Excuses.Deadline, nothing else may do so.
type Death struct {
	Address string // address of the entry that callers connect to
	At      time.Time
}

// Excuses holds the permitted causes of a truncated response.
type Excuses struct {
	Deaths []Death
	// Deadline is the deadline of the requests. A truncated
	// response that ended after it, for example because its entry was paused
	// past the deadline, is not a breach. 0 excuses nothing.
	Deadline time.Duration
}

// missedDeadline reports whether the request ended at or after its deadline.
func (e Excuses) missedDeadline(line Line) bool {
	return e.Deadline > 0 && line.Millis >= e.Deadline.Milliseconds()
}

// maxDeathSkew is the maximum time between the kill of an entry and a truncated
// response attributed to it.
const maxDeathSkew = time.Second

// explains reports whether the kill of the entry accounts for the truncated
// response in line.
func (d Death) explains(line Line) bool {
	apart := time.UnixMilli(line.EndedAt).Sub(d.At).Abs()
	return line.Address == d.Address && apart <= maxDeathSkew
}

// Runs counts how often back ends started each request. Requests are identified
// by their content, which is unique to each caller request, because the system
// may run one request under several ids.
type Runs struct {
	byContent map[string]int
	// forgotten counts ids that back ends have dropped from their records. The
	// audit is complete only if it is 0.
	forgotten int
	breaches  []Breach
}

// NewRuns returns a Runs without any recorded requests.
func NewRuns() *Runs { return &Runs{byContent: map[string]int{}} }

// AddEngine adds the runs and violations in the record of the engine on host.
func (r *Runs) AddEngine(host string, ledger deployment.EngineLedger) {
	for _, account := range ledger.RunsByID {
		r.byContent[account.Content] += account.Begun
	}
	r.forgotten += ledger.Forgotten
	for _, seen := range ledger.Violations {
		r.breaches = append(r.breaches, Breach{Kind: seen.Kind, RequestID: seen.RequestID, Detail: host + ": " + seen.Detail})
	}
}

// AddService adds the runs in the record of a plain service.
func (r *Runs) AddService(ledger deployment.ServiceLedger) {
	for id, runs := range ledger.RunsByID {
		r.byContent[ledger.Contents[id]] += runs
	}
	r.forgotten += ledger.Forgotten
}

// Kinds of breach, in addition to the violations that engines report.
const (
	KindDoubled    = "doubled"
	KindRanNotRun  = "notRunButRan"
	KindUnverified = "unverified"
	KindNeverRan   = "answeredButNeverRan"
	KindCutShort   = "cutShort"
	kindCutOff     = "cutOff"
)

// Breach is one violation of a guarantee that the system gives to callers.
type Breach struct {
	Kind      string `json:"kind"`
	RequestID string `json:"requestId"`
	Detail    string `json:"detail"`
}

// Findings is the result of an audit.
type Findings struct {
	// Doubled counts non-repeatable requests that ran more than once.
	Doubled int
	// NotRunButRan counts requests that were reported as not run although a
	// back end started them.
	NotRunButRan int
	// CutOff counts runs that were interrupted by an order to the engine.
	CutOff int
	// CutShort counts truncated responses without a permitted cause. CutByDeath
	// counts those whose entry was killed, CutLate those whose deadline had
	// passed.
	CutShort, CutByDeath, CutLate int
	// Other counts all other violations that engines reported.
	Other int
	// Unverified counts ids that back ends have dropped from their records.
	Unverified int
	// NeverRan counts answered requests that appear in no back end's record. It
	// is not a breach: the record of a back end is lost when the back end dies.
	NeverRan int
	// Examples holds the first breaches.
	Examples []Breach
}

// Breaches returns the total number of breaches; it must be 0.
func (f Findings) Breaches() int {
	return f.Doubled + f.NotRunButRan + f.CutOff + f.CutShort + f.Other
}

// add appends the breach to Examples unless maxExamples is reached.
func (f *Findings) add(breach Breach) {
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, breach)
	}
}

// Compare reads the caller's record, which has one JSON object per line, and
// checks each request against runs.
func Compare(record io.Reader, runs *Runs, excuses Excuses) (Findings, error) {
	findings := Findings{Unverified: runs.forgotten}
	for _, breach := range runs.breaches {
		if breach.Kind == kindCutOff {
			findings.CutOff++
		} else {
			findings.Other++
		}
		findings.add(breach)
	}
	lines := bufio.NewScanner(record)
	lines.Buffer(nil, maxRecordLine)
	for lines.Scan() {
		var line Line
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return findings, fmt.Errorf("the caller's record cannot be read: %w", err)
		}
		findings.checkRuns(line, runs)
		findings.classifyTruncation(line, excuses)
	}
	return findings, lines.Err()
}

// checkRuns checks the outcome of one request against the number of its runs.
func (f *Findings) checkRuns(line Line, runs *Runs) {
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

// classifyTruncation classifies a truncated response by its cause.
func (f *Findings) classifyTruncation(line Line, excuses Excuses) {
	if line.Outcome != outcomeCutOff {
		return
	}
	for _, death := range excuses.Deaths {
		if death.explains(line) {
			f.CutByDeath++
			return
		}
	}
	if excuses.missedDeadline(line) {
		f.CutLate++
		return
	}
	f.CutShort++
	f.add(Breach{Kind: KindCutShort, RequestID: line.RequestID, Detail: fmt.Sprintf("request %d at %s: %s", line.ID, line.Address, line.Detail)})
}
