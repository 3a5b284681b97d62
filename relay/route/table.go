package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"comfreyrelay.example/relay/admit"
)

// Options configures a Table.
type Options struct {
	Policy        Policy
	Region        string // of this entry
	FailureDomain string
	Seed          uint64 // of random choices; the same seed and events give the same choices
}

// hostState is a host's latest report and what this entry observed itself. It is
// kept across updates while the host runs the same process and version.
type hostState struct {
	Host
	health
	inFlight int // this entry's attempts in progress
	// inFlightAtReport is the value of inFlight at the time of the reported load.
	// Attempts that this entry started later are not part of Running and Queued.
	inFlightAtReport int
	history          inFlightHistory // recent values of inFlight
	// largeQuota is the number of requests of large customers that this entry may
	// still start on the host. All entries see the same report: if each used all
	// free slots that it shows, together they would overload the host many times.
	largeQuota float64
	loadAsOf   time.Time // local time at which Running and Queued were measured
	limit      *admit.Limit
}

// load estimates the current number of requests on the host: the last reported
// load plus the change of this entry's own attempts since then. It is never less
// than this entry's own attempts.
func (h *hostState) load() int {
	return max(h.inFlight, h.Running+h.Queued+h.inFlight-h.inFlightAtReport)
}

// slots returns the host's slots, or a default if it does not report them.
func (h *hostState) slots() int {
	if h.Slots > 0 {
		return h.Slots
	}
	return defaultSlots
}

// Table selects among the hosts of one model or service. It is not safe for
// concurrent use.
type Table struct {
	options   Options
	hosts     []*hostState // sorted by id
	byID      map[string]*hostState
	ring      ring
	hints     hints
	random    *rand.Rand
	nextIndex int  // of the round-robin policy
	entries   int  // entries that share the hosts; at least 1
	hadHosts  bool // an update contained hosts; hosts that appear later are ramped up
	typical   typicalTimes
}

// NewTable returns a Table without hosts.
func NewTable(options Options) *Table {
	return &Table{
		options: options,
		byID:    make(map[string]*hostState),
		hints:   newHints(),
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)), //nolint:gosec // choices, not secrets
		entries: 1,
		typical: newTypicalTimes(),
	}
}

// Hosts returns the number of hosts.
func (t *Table) Hosts() int { return len(t.hosts) }

// InFlight returns the number of this entry's attempts in progress on a host.
func (t *Table) InFlight(id string) int {
	if host := t.byID[id]; host != nil {
		return host.inFlight
	}
	return 0
}

// Update replaces the set of hosts. hosts is sorted by id; entries is the number
// of entries that share them.
func (t *Table) Update(now time.Time, hosts []Host, entries int) {
	t.entries = max(1, entries)
	changed := len(hosts) != len(t.hosts)
	states := make([]*hostState, 0, len(hosts))
	for i := range hosts {
		host, unchanged := t.updateHost(now, hosts[i])
		changed = changed || !unchanged || t.hosts[i] != host
		states = append(states, host)
	}
	t.hadHosts = t.hadHosts || len(hosts) > 0
	t.hosts = states
	if !changed {
		return
	}
	t.byID = make(map[string]*hostState, len(states))
	for _, host := range states {
		t.byID[host.ID] = host
	}
	t.ring = newRing(states)
}

// updateHost returns the state of a host with its newest report applied.
// unchanged is false if the host is new, restarted or switched to another
// version; its state then starts afresh.
func (t *Table) updateHost(now time.Time, report Host) (state *hostState, unchanged bool) {
	state = t.byID[report.ID]
	if state == nil || state.Incarnation != report.Incarnation || state.Version != report.Version {
		created := &hostState{Host: report, limit: admit.NewLimit(report.Slots), loadAsOf: report.SeenAt}
		if t.hadHosts {
			created.joinedAt = now
		}
		t.addReportedPrefixes(now, report)
		t.setLargeQuota(now, created)
		return created, false
	}
	if report.Sequence == state.Sequence {
		return state, true
	}
	t.addReportedPrefixes(now, report)
	running, queued := state.Running, state.Queued
	state.Host = report
	if report.SeenAt.Before(state.loadAsOf) {
		state.Running, state.Queued = running, queued // a response frame carried a newer load
		return state, true
	}
	state.loadAsOf = report.SeenAt
	state.inFlightAtReport = state.history.at(report.SeenAt)
	t.setLargeQuota(now, state)
	return state, true
}

// setLargeQuota sets this entry's share of the slots that the host's load leaves
// for large customers.
func (t *Table) setLargeQuota(now time.Time, host *hostState) {
	slots := float64(host.slots()) * host.rampFraction(now)
	host.largeQuota = max(0, host.spareForLarge(slots)) / float64(t.entries)
}

// addReportedPrefixes records the prefixes that the host reports as cached.
func (t *Table) addReportedPrefixes(now time.Time, report Host) {
	for _, prefix := range report.Prefixes {
		t.hints.add(prefix, report.ID, now.Add(reportHintTTL))
	}
}

// RecordLoad records the load that a host reported in a response frame.
func (t *Table) RecordLoad(now time.Time, id string, running, queued int) {
	host := t.byID[id]
	if host == nil {
		return
	}
	host.Running, host.Queued = running, queued
	host.inFlightAtReport = host.inFlight
	host.loadAsOf = now
	host.limit.RecordQueue(now, running, queued)
}

// End is the outcome of an attempt.
type End int

// Outcomes of an attempt.
const (
	EndAnswered  End = iota // complete answer
	EndRefused              // refused by the agent, for lack of capacity or another reason
	EndFailed               // error, timeout or truncated answer
	EndCancelled            // by this entry or the caller; not counted against the host
)

// Result is the outcome of an attempt and its timings.
type Result struct {
	End        End
	RetryAfter time.Duration // with EndRefused
	FirstToken time.Duration // from dispatch to the first token; 0 if none arrived
	TokenGap   time.Duration // mean time between tokens; 0 if unknown
	Took       time.Duration // from dispatch to the end
}

// Finish releases a choice and updates the host's state with the result.
func (t *Table) Finish(now time.Time, choice Choice, result Result) {
	host := choice.state
	host.inFlight--
	host.history.add(now, host.inFlight)
	if choice.large {
		host.largeQuota++ // this entry may reuse the slot
	}
	if result.FirstToken > 0 {
		host.limit.RecordFirstToken(now, result.FirstToken)
		// If no slot was free, the time includes queueing. Counted as the cost of
		// a cold prefix, it would make affinity prefer the most loaded hosts.
		if choice.hadFreeSlot {
			t.typical.recordFirstToken(choice.affinity, result.FirstToken)
		}
	}
	switch result.End {
	case EndAnswered:
		host.limit.RecordAnswer(now, host.inFlight)
		t.typical.recordAnswer(now, result.Took, result.TokenGap)
		host.recordTokenGap(result.TokenGap)
		if !t.ejectIfSlow(now, host) {
			host.recordSuccess()
		}
	case EndRefused:
		host.limit.RecordRefusal(now)
		host.recordRefusal(now, result.RetryAfter)
	case EndFailed:
		host.recordFailure(now)
	case EndCancelled:
	}
}

// RecordTokenGap records the time between tokens of an answer in progress, so that a slow
// host is detected long before its first answer is complete. It reports whether
// the host is ejected as slow, in which case the answer may continue on another.
func (t *Table) RecordTokenGap(now time.Time, choice Choice, gap time.Duration) (slow bool) {
	host := choice.state
	host.recordTokenGap(gap)
	if t.ejectIfSlow(now, host) {
		return true
	}
	return host.slowUntil.After(now) && float64(gap)/float64(time.Millisecond) > slowRatio*t.medianGapMillis()
}

// ejectIfSlow ejects a host whose time between tokens is several times the median
// of all hosts. Such a host reports itself healthy; only its answers show it. At
// most a third of the hosts, but at least one, may be ejected at a time.
func (t *Table) ejectIfSlow(now time.Time, host *hostState) (slow bool) {
	if host.gapSamples < minSlowSamples || len(t.hosts) < minHostsForSlow {
		return false
	}
	median := t.medianGapMillis()
	if median <= 0 || host.gapMillis < slowRatio*median {
		return false
	}
	if t.countEjected(now) >= max(1, len(t.hosts)/slowEjectionDivisor) {
		return false
	}
	host.eject(now, slowEjection)
	host.slowUntil = host.ejectedUntil
	return true
}

// medianGapMillis returns the median time between tokens over all hosts, or 0 if
// too few hosts have been measured.
func (t *Table) medianGapMillis() float64 {
	gaps := make([]float64, 0, len(t.hosts))
	for _, host := range t.hosts {
		if host.gapSamples > 0 {
			gaps = append(gaps, host.gapMillis)
		}
	}
	if len(gaps) < minHostsForSlow {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

// countEjected returns the number of hosts ejected at the moment.
func (t *Table) countEjected(now time.Time) int {
	ejected := 0
	for _, host := range t.hosts {
		if now.Before(host.ejectedUntil) {
			ejected++
		}
	}
	return ejected
}

// EstimateDuration estimates the duration of an attempt that generates up to the given
// number of tokens on a typical host. It returns 0 if unknown.
func (t *Table) EstimateDuration(now time.Time, tokens int) time.Duration {
	return t.typical.serviceTime(now, tokens)
}

// TypicalFirstToken returns the typical time to the first token without a cached
// prefix, or 0 if unknown.
func (t *Table) TypicalFirstToken() time.Duration { return millisToDuration(t.typical.missMillis) }

// TypicalTokenGap returns the typical time between tokens, or 0 if unknown.
func (t *Table) TypicalTokenGap() time.Duration { return millisToDuration(t.typical.gapMillis) }
