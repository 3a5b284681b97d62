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
	Seed          uint64 // the same seed and events repeat the same choices
}

// host is a Host with what this entry knows besides its report. Hosts that
// stay across updates keep it.
type hostState struct {
	Host
	health
	inFlight int // own attempts in progress
	// atReport is inFlight when running and queued were learned: our own
	// attempts since then are not in them.
	inFlightAtReport int
	history          inFlightHistory // of inFlight
	// allotted is this entry's part of the room for large customers, in
	// requests. All entries see the same report; if each took the room that it
	// shows, together they would overfill the host many times.
	largeQuota float64
	loadAsOf   time.Time // when running and queued were true, by the local clock
	limit      *admit.Limit
}

// load estimates the requests on the host now: the last that is known, and
// our own changes since. Never less than our own.
func (h *hostState) load() int {
	return max(h.inFlight, h.Running+h.Queued+h.inFlight-h.inFlightAtReport)
}

func (h *hostState) slots() int {
	if h.Slots > 0 {
		return h.Slots
	}
	return defaultSlots
}

// Table chooses among the hosts of one model or service. It is not safe for
// concurrent use.
type Table struct {
	options   Options
	hosts     []*hostState // sorted by id
	byID      map[string]*hostState
	ring      ring
	hints     hints
	random    *rand.Rand
	nextIndex int // of the round-robin policy
	entries   int // that share the hosts; at least 1
	hadHosts  bool
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

// InFlight returns this entry's attempts in progress on a host.
func (t *Table) InFlight(id string) int {
	if host := t.byID[id]; host != nil {
		return host.inFlight
	}
	return 0
}

// Update takes the hosts that serve the model now, sorted by id, and the
// number of entries that share them.
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

// refresh returns the kept state of a host with its newest report; same is
// false where it is new, was restarted or turned to another version.
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
		state.Running, state.Queued = running, queued // a frame brought later news
		return state, true
	}
	state.loadAsOf = report.SeenAt
	state.inFlightAtReport = state.history.at(report.SeenAt)
	t.setLargeQuota(now, state)
	return state, true
}

// allot divides the room that a report shows among the entries.
func (t *Table) setLargeQuota(now time.Time, host *hostState) {
	slots := float64(host.slots()) * host.rampFraction(now)
	host.largeQuota = max(0, host.spareForLarge(slots)) / float64(t.entries)
}

func (t *Table) addReportedPrefixes(now time.Time, report Host) {
	for _, prefix := range report.Prefixes {
		t.hints.add(prefix, report.ID, now.Add(reportHintTTL))
	}
}

// Load takes a host's own report of its load, which came with a frame.
func (t *Table) Load(now time.Time, id string, running, queued int) {
	host := t.byID[id]
	if host == nil {
		return
	}
	host.Running, host.Queued = running, queued
	host.inFlightAtReport = host.inFlight
	host.loadAsOf = now
	host.limit.Queue(now, running, queued)
}

// End is how an attempt ended.
type End int

// The ends of an attempt.
const (
	EndAnswered  End = iota // whole
	EndRefused              // by the agent, for want of room or otherwise
	EndFailed               // error, time-out or an answer that was cut short
	EndCancelled            // by us or the caller: says nothing of the host
)

// Result is what an attempt showed.
type Result struct {
	End        End
	RetryAfter time.Duration // with EndRefused
	FirstToken time.Duration // from dispatch; 0 while none came
	TokenGap   time.Duration // mean; 0 while unknown
	Took       time.Duration // from dispatch to the end
}

// Finish gives back a choice.
func (t *Table) Finish(now time.Time, choice Choice, result Result) {
	host := choice.state
	host.inFlight--
	host.history.add(now, host.inFlight)
	if choice.large {
		host.largeQuota++ // the place that it had is ours to fill again
	}
	if result.FirstToken > 0 {
		host.limit.FirstToken(now, result.FirstToken)
		// Where requests waited for a slot, the wait would pass for the cost
		// of a cold prefix, and affinity would hold on to the fullest hosts.
		if choice.hadFreeSlot {
			t.typical.recordFirstToken(choice.affinity, result.FirstToken)
		}
	}
	switch result.End {
	case EndAnswered:
		host.limit.Done(now, host.inFlight)
		t.typical.recordAnswer(now, result.Took, result.TokenGap)
		host.recordTokenGap(result.TokenGap)
		if !t.ejectIfSlow(now, host) {
			host.recordSuccess()
		}
	case EndRefused:
		host.limit.Refused(now)
		host.recordRefusal(now, result.RetryAfter)
	case EndFailed:
		host.recordFailure(now)
	case EndCancelled:
	}
}

// Speed takes the time between tokens of an answer that is still coming: a
// slow host is noticed long before its first answer is whole. It reports
// whether the host is left out as slow, so that the answer may go on elsewhere.
func (t *Table) Speed(now time.Time, choice Choice, gap time.Duration) (slow bool) {
	host := choice.state
	host.recordTokenGap(gap)
	if t.ejectIfSlow(now, host) {
		return true
	}
	return host.slowUntil.After(now) && float64(gap)/float64(time.Millisecond) > slowRatio*t.medianGapMillis()
}

// judgeSlow ejects a host whose tokens come several times slower than the
// median host's: it reports healthy, and only its answers show it.
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

func (t *Table) countEjected(now time.Time) int {
	ejected := 0
	for _, host := range t.hosts {
		if now.Before(host.ejectedUntil) {
			ejected++
		}
	}
	return ejected
}

// Service estimates how long an attempt of so many tokens takes on a typical
// host; 0 while unknown.
func (t *Table) Service(now time.Time, tokens int) time.Duration {
	return t.typical.serviceTime(now, tokens)
}

// FirstToken returns the typical time to the first token; 0 while unknown.
func (t *Table) FirstToken() time.Duration { return millisToDuration(t.typical.missMillis) }

// TokenGap returns the typical time between tokens; 0 while unknown.
func (t *Table) TokenGap() time.Duration { return millisToDuration(t.typical.gapMillis) }
