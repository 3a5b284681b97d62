package requests

import (
	"comfreyrelay.example/bench/internal/audit"
	"comfreyrelay.example/bench/internal/deployment"
)

// Result is the JSON line of one case.
type Result struct {
	Bench             string  `json:"bench"`
	Case              string  `json:"case"`
	Policy            string  `json:"policy"`
	Entries           int     `json:"entries"`
	Endpoints         int     `json:"endpoints"`
	CapacityPerSecond float64 `json:"capacityPerSecond"`
	OfferedPerSecond  float64 `json:"offeredPerSecond"`
	AnsweredPerSecond float64 `json:"answeredPerSecond"`
	// Goodput is the rate of engine answers within the deadline, as a fraction of
	// the engines' capacity, while requests arrived. Calls to plain services are
	// included only in the counts below.
	Goodput            float64 `json:"goodput"`
	FirstTokenMsP50    float64 `json:"firstTokenMsP50"`
	FirstTokenMsP95    float64 `json:"firstTokenMsP95"`
	FirstTokenMsP99    float64 `json:"firstTokenMsP99"`
	BetweenTokensMsP95 float64 `json:"betweenTokensMsP95"`
	AnswerMsP99        float64 `json:"answerMsP99"`
	CacheHitRatio      float64 `json:"cacheHitRatio"`
	Requests           int     `json:"requests"`
	Answered           int     `json:"answered"`
	NotRunThenAnswered int     `json:"notRunThenAnswered"`
	NotRun             int     `json:"notRun"`
	Unknown            int     `json:"unknown"`
	Doubled            int     `json:"doubled"`
	WrongAnswer        int     `json:"wrongAnswer"`
	WrongVersion       int     `json:"wrongVersion"`
	CutOff             int     `json:"cutOff"`
	// CutByDeath counts answers that were cut off because the entry that sent them
	// was killed. Their callers report the outcome unknown; they are no violation.
	CutByDeath int `json:"cutByDeath"`
	// CutLate counts answers cut off after their deadline.
	CutLate       int `json:"cutLate"`
	NotRunButRan  int `json:"notRunButRan"`
	OtherBreaches int `json:"otherBreaches"`
	// Resource usage of the entries; 0 if they were restarted.
	EntryCPUUsPerRequest      float64 `json:"entryCpuUsPerRequest"`
	EntryAllocBytesPerRequest float64 `json:"entryAllocBytesPerRequest"`
	AddedMsP50                float64 `json:"addedMsP50"`
	// Calm and Small are set if the case compares with the same load before the
	// fault: Calm for all customers, Small for those beside a greedy one.
	Calm  *Comparison `json:"calm,omitempty"`
	Small *Comparison `json:"small,omitempty"`
	// Failures counts unanswered requests by the kind of their last failure.
	Failures map[string]int `json:"failures,omitempty"`
	Examples []audit.Breach `json:"examples,omitempty"`
	// Error says why the case was aborted; the figures are then invalid.
	Error string `json:"error,omitempty"`
}

// Comparison holds percentiles before and during the fault.
type Comparison struct {
	FirstTokenMsP95Before float64 `json:"firstTokenMsP95Before"`
	FirstTokenMsP95       float64 `json:"firstTokenMsP95"`
	FirstTokenMsP99Before float64 `json:"firstTokenMsP99Before"`
	FirstTokenMsP99       float64 `json:"firstTokenMsP99"`
	AnswerMsP99Before     float64 `json:"answerMsP99Before"`
	AnswerMsP99           float64 `json:"answerMsP99"`
}

func compare(before, during deployment.LoadCounts) *Comparison {
	return &Comparison{
		FirstTokenMsP95Before: before.FirstTokenMsP95,
		FirstTokenMsP95:       during.FirstTokenMsP95,
		FirstTokenMsP99Before: before.FirstTokenMsP99,
		FirstTokenMsP99:       during.FirstTokenMsP99,
		AnswerMsP99Before:     before.AnswerMsP99,
		AnswerMsP99:           during.AnswerMsP99,
	}
}

// Violations returns the sum of all counts that must be 0.
func (r Result) Violations() int {
	return r.Doubled + r.WrongAnswer + r.WrongVersion + r.CutOff + r.NotRunButRan + r.OtherBreaches
}

// Named returns a Result with the fields that are known before the case runs.
func Named(c Case) Result {
	policy := c.Policy
	if policy == "" {
		policy = "affinity"
	}
	return Result{
		Bench:             "requests",
		Case:              c.Name,
		Policy:            policy,
		Entries:           entryCount,
		Endpoints:         hostCount + serviceCount,
		CapacityPerSecond: capacity(),
		OfferedPerSecond:  c.offered(),
	}
}

// offered returns the request rate of all callers together.
func (c Case) offered() float64 {
	load := c.Load
	if c.Greedy {
		load += greedyLoad
	}
	return load * capacity()
}

func (r *Result) addRates(lr *loadRun) {
	all, inTime := lr.rates()
	r.AnsweredPerSecond += all
	r.Goodput += inTime / r.CapacityPerSecond
}

// addUsage sets the resources that the entries used per request of all callers.
func (r *Result) addUsage(before, after entryUsage, loadRuns []*loadRun) {
	sent := 0
	for _, lr := range loadRuns {
		sent += lr.summary.Requests
	}
	if sent == 0 || after.cpu < before.cpu {
		return // entries were restarted, so their counters were reset
	}
	r.EntryCPUUsPerRequest = float64((after.cpu - before.cpu).Microseconds()) / float64(sent)
	r.EntryAllocBytesPerRequest = (after.allocated - before.allocated) / float64(sent)
}

// addComparison compares with the same load before the fault. In the greedy case it
// compares the small customers only.
func (r *Result) addComparison(c Case, before, during deployment.LoadCounts) {
	if c.Greedy {
		r.Small = compare(before, during)
		return
	}
	r.Calm = compare(before, during)
}

// addCounts adds the request outcomes of one load run.
func (r *Result) addCounts(summary deployment.LoadSummary) {
	r.Requests += summary.Requests
	r.Answered += summary.Answered
	r.NotRunThenAnswered += summary.NotRunThenAnswered
	r.NotRun += summary.NotRun
	r.Unknown += summary.Unknown
	r.WrongAnswer += summary.WrongAnswer
	r.WrongVersion += summary.WrongVersion
	r.NotRunButRan += summary.Contradicted
	for kind, count := range summary.Failures {
		if r.Failures == nil {
			r.Failures = map[string]int{}
		}
		r.Failures[kind] += count
	}
}

func (r *Result) addTimes(summary deployment.LoadSummary) {
	r.FirstTokenMsP50 = summary.FirstTokenMsP50
	r.FirstTokenMsP95 = summary.FirstTokenMsP95
	r.FirstTokenMsP99 = summary.FirstTokenMsP99
	r.BetweenTokensMsP95 = summary.BetweenTokensMsP95
	r.AnswerMsP99 = summary.AnswerMsP99
}

func (r *Result) addFindings(found audit.Findings) {
	r.Doubled += found.Doubled
	r.NotRunButRan += found.NotRunButRan
	r.CutOff += found.CutOff + found.CutShort
	r.CutByDeath += found.CutByDeath
	r.CutLate += found.CutLate
	r.OtherBreaches += found.Other + found.NeverRan + found.Unverified
	r.Examples = append(r.Examples, found.Examples...)
}
