package sitesoak

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"comfreyrelay.example/bench/internal/site"
	"comfreyrelay.example/platform/platformtest"
)

const (
	// lossSlack is how long after the last byte of a request was sent its connection may close without a loss,
	// if no endpoint received the request.
	lossSlack = 200 * time.Millisecond
	// leaveSlack is how long after its caller left a request may still reach an endpoint.
	leaveSlack = 500 * time.Millisecond
	// maxLateRuns is how many requests may do so even later.
	maxLateRuns = 3
	// maxContinuedFraction is the fraction of abandoned requests that may still run after
	// leaveSlack. It is checked only if there are at least minAbandoned of them.
	maxContinuedFraction = 0.25
	minAbandoned         = 8
	// deadlineSlack is how long before its deadline a request already counts as timed out.
	deadlineSlack = 150 * time.Millisecond
	// spoilSlack is how long before a load a chunk may have been corrupted without the load
	// counting as a violation.
	spoilSlack = 3 * time.Second
)

// checkRecords checks all rules and fills in the result.
func (r *run) checkRecords(result *Result) {
	byID := map[string][]platformtest.Run{}
	r.runs = dropDuplicates(r.runs)
	for _, execution := range r.runs {
		byID[execution.ID] = append(byID[execution.ID], execution)
	}
	tries := map[string]*Try{}
	entries := map[string]*site.Member{}
	for _, m := range r.site.Members(site.Entry) {
		entries[m.Callers()] = m
	}
	gone := 0
	var after abandonedWork
	for _, group := range r.callers {
		for _, try := range group.snapshot() {
			tries[try.ID] = try
			runs := byID[try.ID]
			slices.SortFunc(runs, func(left, right platformtest.Run) int { return int(left.Arrived - right.Arrived) })
			result.count(try, runs)
			r.checkTry(try, runs)
			r.checkLoss(try, runs, entries[try.Entry])
			gone += r.countLate(try, runs, entries[try.Entry])
			r.countAbandoned(&after, try, runs, entries[try.Entry])
		}
	}
	if after.total >= minAbandoned && float64(after.continued) > maxContinuedFraction*float64(after.total) {
		r.recordViolation("GONE", fmt.Sprintf("endpoints were still processing %d of %d requests %v after their callers had disconnected", after.continued, after.total, leaveSlack))
	}
	if gone > maxLateRuns {
		r.recordViolation("GONE", fmt.Sprintf("%d requests reached endpoints more than %v after their callers had disconnected", gone, leaveSlack))
	}
	for _, execution := range r.runs {
		if tries[execution.ID] == nil && !isProbe(execution.ID) {
			r.recordViolation("UNASKED", fmt.Sprintf("endpoint %s ran request %s, which no caller sent", execution.Endpoint, execution.ID))
		}
	}
	r.checkRepeats(byID, tries)
	r.checkLoads()
	r.checkVersions(tries, entries)
	r.checkDrains(tries, entries)
	r.checkConfigs(r.operator.changes)
	r.checkRecovery()
	result.Connections, result.Reset = map[string]float64{}, r.reset
	for kind, most := range r.peaks {
		result.Connections[kind] = float64(most) / float64(r.operator.maxConns[kind])
	}
	result.Extra, result.Dialled = r.extra, r.dialled
	result.Broken, result.Examples, result.Missing, result.Stalls = r.broken, r.examples, r.missing, r.stalls.count()
}

// dropDuplicates drops runs that were read twice, which happens when two events end the same
// endpoint at overlapping times. It keeps the later reading, which says how the run ended.
func dropDuplicates(runs []platformtest.Run) []platformtest.Run {
	type name struct {
		id, endpoint string
		arrived      int64
	}
	last := map[name]int{}
	for i, execution := range runs {
		last[name{execution.ID, execution.Endpoint, execution.Arrived}] = i
	}
	var kept []platformtest.Run
	for i, execution := range runs {
		if last[name{execution.ID, execution.Endpoint, execution.Arrived}] == i {
			kept = append(kept, execution)
		}
	}
	return kept
}

// count adds a try to the result's counters.
func (res *Result) count(try *Try, runs []platformtest.Run) {
	res.Requests++
	res.Resumed += max(0, countBegan(runs)-1)
	res.countRejected(try, runs)
	switch {
	case try.Whole && try.Status < http.StatusMultipleChoices:
		res.Served++
	case try.Whole && try.Status == http.StatusServiceUnavailable:
		res.Refused++
	default:
		res.Failed++
		res.Failures[try.failure()]++
	}
	if try.Broken != "" && len(runs) > 0 && wasCutOff(lastToEnd(runs)) {
		res.CutOff++
	}
}

// countRejected counts a request that must run once if an endpoint rejected it.
func (res *Result) countRejected(try *Try, runs []platformtest.Run) {
	rejected := slices.ContainsFunc(runs, func(found platformtest.Run) bool { return found.End == platformtest.Refusal })
	if !rejected || try.request.route.repeatable() {
		return
	}
	res.OnceRejected++
	if len(runs) > 1 {
		res.OnceResent++
	}
	if try.Whole && try.Status < http.StatusMultipleChoices {
		res.OnceServed++
	}
}

// failure returns the key in Result.Failures of a try that was not served.
func (t *Try) failure() string {
	switch {
	case t.Left:
		return "left"
	case t.Broken != "" && t.SentWhole == 0:
		return "broken while sending"
	case t.Broken != "":
		return "broken"
	}
	return strconv.Itoa(t.Status)
}

// countBegan returns how many of the runs began at their endpoint.
func countBegan(runs []platformtest.Run) int {
	count := 0
	for _, execution := range runs {
		if execution.Began > 0 {
			count++
		}
	}
	return count
}

// lastToEnd returns the run that ended last. The order of arrival is not reliable, because a
// suspended endpoint records a request that was moved to another one only after that one did.
func lastToEnd(runs []platformtest.Run) platformtest.Run {
	return slices.MaxFunc(runs, func(left, right platformtest.Run) int {
		switch {
		case left.Ended == 0:
			return 1
		case right.Ended == 0:
			return -1
		}
		return cmp.Compare(left.Ended, right.Ended)
	})
}

func wasCutOff(last platformtest.Run) bool { return last.End == platformtest.Cut }

// checkTry checks the rules that apply to a single request.
func (r *run) checkTry(try *Try, runs []platformtest.Run) {
	if try.Wrong != "" {
		r.recordViolation("MIXED", try.ID+": "+try.Wrong)
	}
	ran := countBegan(runs)
	if ran > 1 && !try.request.route.repeatable() {
		r.recordViolation("TWICE", fmt.Sprintf("request %s ran %d times, but its route is not repeatable", try.ID, ran))
	}
	if ran > try.request.route.attempts {
		r.recordViolation("ATTEMPTS", fmt.Sprintf("request %s ran %d times, but its route allows %d attempts", try.ID, ran, try.request.route.attempts))
	}
	if promisesNotRun(try.Status) && ran > 0 && !try.request.route.repeatable() {
		r.recordViolation("REFUSED", fmt.Sprintf("request %s was refused with status %d but ran", try.ID, try.Status))
	}
	r.operator.mu.Lock()
	revoked, gone := r.operator.revoked[try.Key]
	r.operator.mu.Unlock()
	sent := time.Unix(0, try.Sent)
	if gone && ran > 0 && sent.After(revoked.Add(bounds.Revoke)) {
		r.recordViolation("REVOKED", fmt.Sprintf("request %s ran with a key that was revoked %v earlier", try.ID, sent.Sub(revoked)))
	}
	denied := try.Status == http.StatusUnauthorized || try.Status == http.StatusNotFound || try.Status == http.StatusForbidden
	if denied && !gone {
		r.recordViolation("DENIED", fmt.Sprintf("request %s was denied with status %d", try.ID, try.Status))
	}
}

// promisesNotRun reports whether a status tells the caller that the request did not run and will not.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkLoss checks that a request which its entry could read completely was answered completely, unless the
// endpoint broke off or a fault affected the entry or the endpoint.
func (r *run) checkLoss(try *Try, runs []platformtest.Run, entry *site.Member) {
	if try.Broken == "" || try.SentWhole == 0 {
		return
	}
	sent, ended := time.Unix(0, try.Sent), time.Unix(0, try.Ended)
	span := min(try.Deadline, try.request.route.timeout)
	if ended.Sub(sent) >= span-deadlineSlack {
		return
	}
	if len(runs) == 0 && ended.Sub(time.Unix(0, try.SentWhole)) < lossSlack {
		return
	}
	if len(runs) > 0 {
		last := lastToEnd(runs)
		if wasCutOff(last) || r.excusedByFault(last.Endpoint, sent, ended) {
			return
		}
	}
	if r.excusedByFault(entry.ID, sent, ended) || r.stops.mayHaveCut(entry, sent, runs) {
		return
	}
	r.recordViolation("LOST", fmt.Sprintf("request %s to %s, sent at %s, broke off after %v and %d events with status %d: %s; runs %s",
		try.ID, entry.Name, sent.Format("15:04:05.000"), ended.Sub(sent).Round(time.Millisecond), try.Events, try.Status, try.Broken, describe(runs)))
}

// describe formats runs for the detail of a violation.
func describe(runs []platformtest.Run) string {
	text := ""
	for _, execution := range runs {
		text += fmt.Sprintf("[%s %s..%s %d events %s]", execution.Endpoint,
			time.Unix(0, execution.Arrived).Format("05.000"), time.Unix(0, execution.Ended).Format("05.000"), execution.Events, execution.End)
	}
	return text
}

// excusedByFault reports whether a fault that excuses a loss affected the member with the id
// during a span or shortly before.
func (r *run) excusedByFault(id string, from, to time.Time) bool {
	return r.faultWithin(from, to, func(fault *faultRecord) bool { return lossCauses[fault.kind] && fault.affects(id) })
}

// faultWithin reports whether a matching fault was active during a span or ended shortly
// before.
func (r *run) faultWithin(from, to time.Time, matters func(*faultRecord) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.faultLog, func(fault *faultRecord) bool {
		return fault.from.Before(to) && (fault.to.IsZero() || fault.to.Add(bounds.Contact).After(from)) && matters(fault)
	})
}

// affects reports whether the fault affects the member with the id, or all members.
func (s *faultRecord) affects(id string) bool { return s.member == nil || s.member.Was(id) }

// countLate returns how many of the runs reached an endpoint too long after the caller left.
func (r *run) countLate(try *Try, runs []platformtest.Run, entry *site.Member) int {
	if !try.Left {
		return 0
	}
	count, left := 0, time.Unix(0, try.Ended)
	for _, found := range runs {
		at := time.Unix(0, found.Arrived)
		if at.After(left.Add(leaveSlack)) && !r.timingExempt(entry, left, at) && !r.excusedByFault(found.Endpoint, left, at) {
			count++
		}
	}
	return count
}

// abandonedWork counts runs whose callers left while they ran, and those that continued.
type abandonedWork struct{ total, continued int }

// countAbandoned counts the runs of a repeatable request, unless timing is exempt.
func (r *run) countAbandoned(count *abandonedWork, try *Try, runs []platformtest.Run, entry *site.Member) {
	left := time.Unix(0, try.Ended)
	if !try.Left || !try.request.route.repeatable() || r.timingExempt(entry, left, left.Add(leaveSlack)) {
		return
	}
	for _, found := range runs {
		began, ended := time.Unix(0, found.Began), time.Unix(0, found.Ended)
		if found.Began == 0 || began.After(left) || found.Ended != 0 && ended.Before(left) {
			continue
		}
		goesOn := found.Ended == 0 || ended.After(left.Add(leaveSlack))
		if goesOn {
			count.continued++
		}
		if goesOn || found.End == platformtest.Gone {
			count.total++
		}
	}
}

// checkRepeats checks the retry budget that all entries share.
func (r *run) checkRepeats(byID map[string][]platformtest.Run, tries map[string]*Try) {
	requests, repeats := map[string][]int64{}, map[string][]int64{}
	for id, try := range tries {
		service := try.request.route.service
		requests[service] = append(requests[service], try.Sent)
		for i, found := range byID[id] {
			if i > 0 {
				repeats[service] = append(repeats[service], found.Arrived)
			}
		}
	}
	for service, list := range repeats {
		slices.Sort(list)
		slices.Sort(requests[service])
		for i, at := range list {
			from := at - bounds.Window.Nanoseconds()
			first, _ := slices.BinarySearch(list, from)
			most := 0
			for _, back := range []time.Duration{0, bounds.Window / 2, bounds.Window} {
				most = max(most, between(requests[service], from-back.Nanoseconds(), at-back.Nanoseconds()))
			}
			if allowed := bounds.Ratio*float64(most) + bounds.Slack; float64(i-first+1) > allowed {
				r.recordViolation("BUDGET", fmt.Sprintf("service %s: %d repeats within %v, at most %.0f allowed", service, i-first+1, bounds.Window, allowed))
				break
			}
		}
	}
}

// between returns how many of the sorted times lie within the span.
func between(sorted []int64, from, to int64) int {
	first, _ := slices.BinarySearch(sorted, from)
	last, _ := slices.BinarySearch(sorted, to)
	return last - first
}

// checkLoads checks that engines loaded complete versions, unless a chunk was corrupted right
// before the load.
func (r *run) checkLoads() {
	for _, load := range r.loads {
		sum := sha256.New()
		for _, chunk := range platformtest.Chunks(load.Version, spec.Chunks, spec.ChunkBytes) {
			sum.Write(chunk)
		}
		if want := hex.EncodeToString(sum.Sum(nil)); load.Digest != want && !r.recentlySpoilt(load) {
			r.recordViolation("WHOLE", fmt.Sprintf("%s loaded version %d with a digest that does not match its chunks", load.member.Name, load.Version))
		}
	}
}

// recentlySpoilt reports whether a chunk was corrupted at the engine so shortly before the load
// that the load is not a violation.
func (r *run) recentlySpoilt(load engineLoad) bool {
	at := time.Unix(0, load.At)
	return slices.ContainsFunc(r.faultLog, func(struck *faultRecord) bool {
		return struck.kind == spoilChunk && struck.member == load.member && !struck.from.After(at) && struck.from.Add(spoilSlack).After(at)
	})
}
