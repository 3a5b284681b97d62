package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 3
)

// Limits of the examples and of the distinct names (kinds, versions) counted.
const (
	maxExamples = 20
	maxKinds    = 50
)

// Counts holds the number of requests by outcome. Requests is the sum of the six
// outcomes; Late and NotRunThenAnswered are included in Answered.
type Counts struct {
	Requests           int `json:"requests"`
	Answered           int `json:"answered"`
	Late               int `json:"late"`
	NotRun             int `json:"notRun"`
	NotRunThenAnswered int `json:"notRunThenAnswered"`
	Unknown            int `json:"unknown"`
	WrongAnswer        int `json:"wrongAnswer"`
	WrongVersion       int `json:"wrongVersion"`
	CutOff             int `json:"cutOff"`
	// Attempts counts all attempts of all requests.
	Attempts int `json:"attempts"`
	// Tokens counts the tokens of complete, correct answers.
	Tokens int `json:"tokens"`
	// Contradicted counts requests that were sent twice, of which one copy was
	// answered and the other was reported as not run.
	Contradicted int `json:"contradicted"`
}

// Times holds latency percentiles in milliseconds. First token and answer are
// measured from the planned arrival and include the delays of retries.
type Times struct {
	FirstTokenMsP50    float64 `json:"firstTokenMsP50"`
	FirstTokenMsP95    float64 `json:"firstTokenMsP95"`
	FirstTokenMsP99    float64 `json:"firstTokenMsP99"`
	BetweenTokensMsP50 float64 `json:"betweenTokensMsP50"`
	BetweenTokensMsP95 float64 `json:"betweenTokensMsP95"`
	BetweenTokensMsP99 float64 `json:"betweenTokensMsP99"`
	AnswerMsP50        float64 `json:"answerMsP50"`
	AnswerMsP95        float64 `json:"answerMsP95"`
	AnswerMsP99        float64 `json:"answerMsP99"`
}

// Share holds the counts and latencies of one customer, or of all.
type Share struct {
	Counts
	Times
}

// Example is one request with an outcome other than answered.
type Example struct {
	RequestID string `json:"requestId"`
	Outcome   string `json:"outcome"`
	Detail    string `json:"detail"`
}

// Summary is the result of a load run.
type Summary struct {
	Share
	Seconds float64 `json:"seconds"`
	// Overrun counts requests that were not sent because too many were in flight.
	Overrun    int              `json:"overrun"`
	ByVersion  map[string]int   `json:"byVersion"`
	Failures   map[string]int   `json:"failures"` // requests that were not answered, by the kind of their last failure
	ByCustomer map[string]Share `json:"byCustomer"`
	Examples   []Example        `json:"examples"`
}

// account collects the counts and latencies of one customer, or of all.
type account struct {
	counts     Counts
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

func newAccount() *account {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	return &account{firstToken: histogram(), between: histogram(), whole: histogram()}
}

// add counts one result. Only correct answers are recorded as latencies, because
// failures often end sooner and would lower the percentiles.
func (a *account) add(res result, arrived time.Time, deadline time.Duration) {
	a.counts.Requests++
	a.counts.Attempts += res.attempts
	if res.contradicted {
		a.counts.Contradicted++
	}
	switch res.outcome {
	case Answered:
		a.addAnswer(res, arrived, deadline)
	case NotRun:
		a.counts.NotRun++
	case WrongAnswer:
		a.counts.WrongAnswer++
	case WrongVersion:
		a.counts.WrongVersion++
	case CutOff:
		a.counts.CutOff++
	default:
		a.counts.Unknown++
	}
}

func (a *account) addAnswer(res result, arrived time.Time, deadline time.Duration) {
	a.counts.Answered++
	a.counts.Tokens += res.tokens
	if res.took > deadline {
		a.counts.Late++
	}
	if res.refused {
		a.counts.NotRunThenAnswered++
	}
	record(a.whole, res.took)
	if !res.firstToken.IsZero() {
		record(a.firstToken, res.firstToken.Sub(arrived))
	}
	for _, gap := range res.gaps {
		record(a.between, gap)
	}
}

// record clamps the value to the histogram's range, so that no value is dropped.
func record(histogram *hdrhistogram.Histogram, took time.Duration) {
	micros := min(max(took.Microseconds(), lowestMicros), highestMicros)
	_ = histogram.RecordValue(micros) // within the range it never fails
}

func (a *account) share() Share {
	return Share{Counts: a.counts, Times: Times{
		FirstTokenMsP50:    quantile(a.firstToken, 50),
		FirstTokenMsP95:    quantile(a.firstToken, 95),
		FirstTokenMsP99:    quantile(a.firstToken, 99),
		BetweenTokensMsP50: quantile(a.between, 50),
		BetweenTokensMsP95: quantile(a.between, 95),
		BetweenTokensMsP99: quantile(a.between, 99),
		AnswerMsP50:        quantile(a.whole, 50),
		AnswerMsP95:        quantile(a.whole, 95),
		AnswerMsP99:        quantile(a.whole, 99),
	}}
}

// quantile returns a percentile in milliseconds.
func quantile(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}

// tally collects the results of all customers. It is safe for concurrent use.
type tally struct {
	deadline time.Duration

	mu         sync.Mutex
	all        *account
	byCustomer map[string]*account
	byVersion  map[string]int
	failures   map[string]int // at most maxKinds
	overrun    int
	examples   []Example // at most maxExamples
}

func newTally(customers []Customer, deadline time.Duration) *tally {
	made := &tally{
		deadline:   deadline,
		all:        newAccount(),
		byCustomer: map[string]*account{},
		byVersion:  map[string]int{},
		failures:   map[string]int{},
	}
	for _, customer := range customers {
		made.byCustomer[customer.Name] = newAccount()
	}
	return made
}

func (t *tally) add(customer string, res result, arrived time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.add(res, arrived, t.deadline)
	t.byCustomer[customer].add(res, arrived, t.deadline)
	if res.outcome == Answered {
		t.count(t.byVersion, res.version)
		return
	}
	t.count(t.failures, res.kind)
	t.addExample(res)
}

// addExample keeps the details of a failed request. Refusals and unknown outcomes
// fill at most half of the list, so that room is left for faults.
func (t *tally) addExample(res result) {
	if len(t.examples) >= maxExamples {
		return
	}
	if severity[res.outcome] < severity[Answered] && len(t.examples) >= maxExamples/2 {
		return
	}
	t.examples = append(t.examples, Example{RequestID: res.requestID, Outcome: res.outcome, Detail: res.detail})
}

func (t *tally) count(counts map[string]int, name string) {
	if _, known := counts[name]; !known && len(counts) >= maxKinds {
		name = "other"
	}
	counts[name]++
}

func (t *tally) countOverrun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overrun++
}

func (t *tally) counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all.counts
}

func (t *tally) summary(seconds float64) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Summary{
		Share:      t.all.share(),
		Seconds:    seconds,
		Overrun:    t.overrun,
		ByVersion:  map[string]int{},
		Failures:   map[string]int{},
		ByCustomer: map[string]Share{},
		Examples:   append([]Example{}, t.examples...),
	}
	for version, count := range t.byVersion {
		out.ByVersion[version] = count
	}
	for kind, count := range t.failures {
		out.Failures[kind] = count
	}
	for name, one := range t.byCustomer {
		out.ByCustomer[name] = one.share()
	}
	return out
}
