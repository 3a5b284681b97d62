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
	// Goodput is the rate of engines' answers in time over the engines'
	// capacity, while arrivals went on. Calls to plain services are in the
	// counts below alone.
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
	// CutByDeath counts answers cut by the death of the entry that sent them;
	// their callers know them as unknown, and they are no violation.
	CutByDeath int `json:"cutByDeath"`
	// CutLate are those whose deadline had passed.
	CutLate       int `json:"cutLate"`
	NotRunButRan  int `json:"notRunButRan"`
	OtherBreaches int `json:"otherBreaches"`
	// Use of the entries; 0 where they restarted.
	EntryCPUUsPerRequest      float64 `json:"entryCpuUsPerRequest"`
	EntryAllocBytesPerRequest float64 `json:"entryAllocBytesPerRequest"`
	AddedMsP50                float64 `json:"addedMsP50"`
	// Calm and Small are set where the case compares with the same load before
	// the trouble: all customers, and the small ones beside a greedy one.
	Calm  *Comparison `json:"calm,omitempty"`
	Small *Comparison `json:"small,omitempty"`
	// Failures counts the last failures of requests without an answer by kind.
	Failures map[string]int `json:"failures,omitempty"`
	Examples []audit.Breach `json:"examples,omitempty"`
	// Error says why the case did not come to its end; the figures are void.
	Error string `json:"error,omitempty"`
}

// Compared holds percentiles before and during the trouble.
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

// Violations returns the sum of all that must be 0.
func (r Result) Violations() int {
	return r.Doubled + r.WrongAnswer + r.WrongVersion + r.CutOff + r.NotRunButRan + r.OtherBreaches
}

// Named returns the line's fields that are known before the case runs.
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

// offered is the rate of all callers together.
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

// addUse adds what the entries used for each request of all callers.
func (r *Result) addUsage(before, after entryUsage, loadRuns []*loadRun) {
	sent := 0
	for _, lr := range loadRuns {
		sent += lr.summary.Requests
	}
	if sent == 0 || after.cpu < before.cpu {
		return // entries restarted: their counts began anew
	}
	r.EntryCPUUsPerRequest = float64((after.cpu - before.cpu).Microseconds()) / float64(sent)
	r.EntryAllocBytesPerRequest = (after.allocated - before.allocated) / float64(sent)
}

// addCalm compares with the same load before the trouble; beside a greedy
// customer these are the small ones.
func (r *Result) addComparison(c Case, before, during deployment.LoadCounts) {
	if c.Greedy {
		r.Small = compare(before, during)
		return
	}
	r.Calm = compare(before, during)
}

// addCounts adds the outcomes of one run of callers.
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
