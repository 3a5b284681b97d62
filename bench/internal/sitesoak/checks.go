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
	// lossSlack is how long after a request was sent its connection may close without a loss,
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
	for _, one := range r.runs {
		byID[one.ID] = append(byID[one.ID], one)
	}
	tries := map[string]*Try{}
	entries := map[string]*site.Member{}
	for _, m := range r.site.Members(site.Entry) {
		entries[m.Callers()] = m
	}
	gone := 0
	var after abandonedWork
	for _, group := range r.callers {
		for _, one := range group.snapshot() {
			tries[one.ID] = one
			runs := byID[one.ID]
			slices.SortFunc(runs, func(left, right platformtest.Run) int { return int(left.Arrived - right.Arrived) })
			result.count(one, runs)
			r.checkTry(one, runs)
			r.checkLoss(one, runs, entries[one.Entry])
			gone += r.countLate(one, runs, entries[one.Entry])
			r.countAbandoned(&after, one, runs, entries[one.Entry])
		}
	}
	if after.total >= minAbandoned && float64(after.continued) > maxContinuedFraction*float64(after.total) {
		r.recordViolation("GONE", fmt.Sprintf("endpoints were at work on %d of %d requests %v after their callers had left", after.continued, after.total, leaveSlack))
	}
	if gone > maxLateRuns {
		r.recordViolation("GONE", fmt.Sprintf("%d requests reached endpoints over %v after their callers had left", gone, leaveSlack))
	}
	for _, one := range r.runs {
		if tries[one.ID] == nil && !isProbe(one.ID) {
			r.recordViolation("UNASKED", fmt.Sprintf("%s ran %s, which nobody sent", one.Endpoint, one.ID))
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
	for i, one := range runs {
		last[name{one.ID, one.Endpoint, one.Arrived}] = i
	}
	var kept []platformtest.Run
	for i, one := range runs {
		if last[name{one.ID, one.Endpoint, one.Arrived}] == i {
			kept = append(kept, one)
		}
	}
	return kept
}

// count adds a try to the result's counters.
func (res *Result) count(one *Try, runs []platformtest.Run) {
	res.Requests++
	res.Resumed += max(0, countBegan(runs)-1)
	switch {
	case one.Whole && one.Status < http.StatusMultipleChoices:
		res.Served++
	case one.Whole && one.Status == http.StatusServiceUnavailable:
		res.Refused++
	default:
		res.Failed++
		res.Failures[one.failure()]++
	}
	if one.Broken != "" && len(runs) > 0 && wasCutOff(lastToEnd(runs)) {
		res.CutOff++
	}
}

// failure returns the key in Result.Failures of a try that was not served.
func (t *Try) failure() string {
	switch {
	case t.Left:
		return "left"
	case t.Broken != "":
		return "broken"
	}
	return strconv.Itoa(t.Status)
}

// countBegan returns how many of the runs began at their endpoint.
func countBegan(runs []platformtest.Run) int {
	count := 0
	for _, one := range runs {
		if one.Began > 0 {
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
func (r *run) checkTry(one *Try, runs []platformtest.Run) {
	if one.Wrong != "" {
		r.recordViolation("MIXED", one.ID+": "+one.Wrong)
	}
	ran := countBegan(runs)
	if ran > 1 && !one.request.route.repeatable() {
		r.recordViolation("TWICE", fmt.Sprintf("%s ran %d times", one.ID, ran))
	}
	if ran > one.request.route.attempts {
		r.recordViolation("ATTEMPTS", fmt.Sprintf("%s ran at %d endpoints of %d", one.ID, ran, one.request.route.attempts))
	}
	promised := one.Status == http.StatusServiceUnavailable || one.Status == http.StatusTooManyRequests || one.Status == http.StatusRequestTimeout
	if promised && ran > 0 && !one.request.route.repeatable() {
		r.recordViolation("REFUSED", fmt.Sprintf("%s got %d and ran", one.ID, one.Status))
	}
	r.operator.mu.Lock()
	revoked, gone := r.operator.revoked[one.Key]
	r.operator.mu.Unlock()
	sent := time.Unix(0, one.Sent)
	if gone && ran > 0 && sent.After(revoked.Add(bounds.Revoke)) {
		r.recordViolation("REVOKED", fmt.Sprintf("%s ran with a key that was taken away %v before", one.ID, sent.Sub(revoked)))
	}
	denied := one.Status == http.StatusUnauthorized || one.Status == http.StatusNotFound || one.Status == http.StatusForbidden
	if denied && !gone {
		r.recordViolation("DENIED", fmt.Sprintf("%s got %d", one.ID, one.Status))
	}
}

// checkLoss checks that a request which its entry read was answered completely, unless the
// endpoint broke off or a fault affected the entry or the endpoint.
func (r *run) checkLoss(one *Try, runs []platformtest.Run, entry *site.Member) {
	if one.Broken == "" {
		return
	}
	sent, ended := time.Unix(0, one.Sent), time.Unix(0, one.Ended)
	span := min(one.Deadline, one.request.route.timeout)
	if ended.Sub(sent) >= span-deadlineSlack {
		return
	}
	if len(runs) == 0 && ended.Sub(sent) < lossSlack {
		return
	}
	if len(runs) > 0 {
		last := lastToEnd(runs)
		if wasCutOff(last) || r.excusedByFault(last.Endpoint, sent, ended) {
			return
		}
	}
	if r.excusedByFault(entry.ID, sent, ended) || r.stops.mayHaveCut(entry, sent, ended) {
		return
	}
	r.recordViolation("LOST", fmt.Sprintf("%s at %s %s after %v and %d events, status %d: %s; runs %s",
		one.ID, entry.Name, sent.Format("15:04:05.000"), ended.Sub(sent).Round(time.Millisecond), one.Events, one.Status, one.Broken, describe(runs)))
}

// describe formats runs for the detail of a violation.
func describe(runs []platformtest.Run) string {
	text := ""
	for _, one := range runs {
		text += fmt.Sprintf("[%s %s..%s %d events %s]", one.Endpoint,
			time.Unix(0, one.Arrived).Format("05.000"), time.Unix(0, one.Ended).Format("05.000"), one.Events, one.End)
	}
	return text
}

// excusedByFault reports whether a fault that excuses a loss affected the member with the id
// during a span or shortly before.
func (r *run) excusedByFault(id string, from, to time.Time) bool {
	return r.faultWithin(from, to, func(one *faultRecord) bool { return lossCauses[one.kind] && one.affects(id) })
}

// faultWithin reports whether a matching fault was active during a span or ended shortly
// before.
func (r *run) faultWithin(from, to time.Time, matters func(*faultRecord) bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.faultLog, func(one *faultRecord) bool {
		return one.from.Before(to) && (one.to.IsZero() || one.to.Add(bounds.Contact).After(from)) && matters(one)
	})
}

// affects reports whether the fault affects the member with the id, or all members.
func (s *faultRecord) affects(id string) bool { return s.member == nil || s.member.Was(id) }

// countLate returns how many of the runs reached an endpoint too long after the caller left.
func (r *run) countLate(one *Try, runs []platformtest.Run, entry *site.Member) int {
	if !one.Left {
		return 0
	}
	count, left := 0, time.Unix(0, one.Ended)
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
func (r *run) countAbandoned(count *abandonedWork, one *Try, runs []platformtest.Run, entry *site.Member) {
	left := time.Unix(0, one.Ended)
	if !one.Left || !one.request.route.repeatable() || r.timingExempt(entry, left, left.Add(leaveSlack)) {
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
	for id, one := range tries {
		service := one.request.route.service
		requests[service] = append(requests[service], one.Sent)
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
				r.recordViolation("BUDGET", fmt.Sprintf("%s: %d repeats within %v, %.0f allowed", service, i-first+1, bounds.Window, allowed))
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
	for _, one := range r.loads {
		sum := sha256.New()
		for _, chunk := range platformtest.Chunks(one.Version, spec.Chunks, spec.ChunkBytes) {
			sum.Write(chunk)
		}
		if want := hex.EncodeToString(sum.Sum(nil)); one.Digest != want && !r.recentlySpoilt(one) {
			r.recordViolation("WHOLE", fmt.Sprintf("%s loaded version %d from chunks that are not its own", one.member.Name, one.Version))
		}
	}
}

// recentlySpoilt reports whether a chunk was corrupted at the engine so shortly before the load
// that the load is not a violation.
func (r *run) recentlySpoilt(one engineLoad) bool {
	at := time.Unix(0, one.At)
	return slices.ContainsFunc(r.faultLog, func(struck *faultRecord) bool {
		return struck.kind == spoilChunk && struck.member == one.member && !struck.from.After(at) && struck.from.Add(spoilSlack).After(at)
	})
}
