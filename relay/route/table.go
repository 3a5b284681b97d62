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
type host struct {
	Host
	health
	inFlight int // own attempts in progress
	// atReport is inFlight when running and queued were learned: our own
	// attempts since then are not in them.
	atReport int
	trace    trace // of inFlight
	// allotted is this entry's part of the room for large customers, in
	// requests. All entries see the same report; if each took the room that it
	// shows, together they would overfill the host many times.
	allotted float64
	learned  time.Time // when running and queued were true, by the local clock
	limit    *admit.Limit
}

// load estimates the requests on the host now: the last that is known, and
// our own changes since. Never less than our own.
func (h *host) load() int {
	return max(h.inFlight, h.Running+h.Queued+h.inFlight-h.atReport)
}

func (h *host) slots() int {
	if h.Slots > 0 {
		return h.Slots
	}
	return defaultSlots
}

// Table chooses among the hosts of one model or service. It is not safe for
// concurrent use.
type Table struct {
	options Options
	hosts   []*host // sorted by id
	byID    map[string]*host
	ring    ring
	hints   hints
	random  *rand.Rand
	turn    int // of the round-robin policy
	entries int // that share the hosts; at least 1
	started bool
	typical typical
}

// NewTable returns a Table without hosts.
func NewTable(options Options) *Table {
	return &Table{
		options: options,
		byID:    make(map[string]*host),
		hints:   newHints(),
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)), //nolint:gosec // choices, not secrets
		entries: 1,
		typical: newTypical(),
	}
}

// Hosts returns the number of hosts.
func (t *Table) Hosts() int { return len(t.hosts) }

// InFlight returns this entry's attempts in progress on a host.
func (t *Table) InFlight(id string) int {
	if each := t.byID[id]; each != nil {
		return each.inFlight
	}
	return 0
}

// Update takes the hosts that serve the model now, sorted by id, and the
// number of entries that share them.
func (t *Table) Update(now time.Time, hosts []Host, entries int) {
	t.entries = max(1, entries)
	changed := len(hosts) != len(t.hosts)
	next := make([]*host, 0, len(hosts))
	for i := range hosts {
		each, same := t.refresh(now, hosts[i])
		changed = changed || !same || t.hosts[i] != each
		next = append(next, each)
	}
	t.started = t.started || len(hosts) > 0
	t.hosts = next
	if !changed {
		return
	}
	t.byID = make(map[string]*host, len(next))
	for _, each := range next {
		t.byID[each.ID] = each
	}
	t.ring = newRing(next)
}

// refresh returns the kept state of a host with its newest report; same is
// false where it is new, was restarted or turned to another version.
func (t *Table) refresh(now time.Time, report Host) (kept *host, same bool) {
	kept = t.byID[report.ID]
	if kept == nil || kept.Incarnation != report.Incarnation || kept.Version != report.Version {
		fresh := &host{Host: report, limit: admit.NewLimit(report.Slots), learned: report.SeenAt}
		if t.started {
			fresh.joinedAt = now
		}
		t.note(now, report)
		t.allot(now, fresh)
		return fresh, false
	}
	if report.Sequence == kept.Sequence {
		return kept, true
	}
	t.note(now, report)
	running, queued := kept.Running, kept.Queued
	kept.Host = report
	if report.SeenAt.Before(kept.learned) {
		kept.Running, kept.Queued = running, queued // a frame brought later news
		return kept, true
	}
	kept.learned = report.SeenAt
	kept.atReport = kept.trace.at(report.SeenAt)
	t.allot(now, kept)
	return kept, true
}

// allot divides the room that a report shows among the entries.
func (t *Table) allot(now time.Time, each *host) {
	slots := float64(each.slots()) * each.ramp(now)
	each.allotted = max(0, each.spare(slots)) / float64(t.entries)
}

func (t *Table) note(now time.Time, report Host) {
	for _, prefix := range report.Prefixes {
		t.hints.add(prefix, report.ID, now.Add(reportedHintAge))
	}
}

// Load takes a host's own report of its load, which came with a frame.
func (t *Table) Load(now time.Time, id string, running, queued int) {
	each := t.byID[id]
	if each == nil {
		return
	}
	each.Running, each.Queued = running, queued
	each.atReport = each.inFlight
	each.learned = now
	each.limit.Queue(now, running, queued)
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
	each := choice.kept
	each.inFlight--
	each.trace.add(now, each.inFlight)
	if choice.large {
		each.allotted++ // the place that it had is ours to fill again
	}
	if result.FirstToken > 0 {
		each.limit.FirstToken(now, result.FirstToken)
		// Where requests waited for a slot, the wait would pass for the cost
		// of a cold prefix, and affinity would hold on to the fullest hosts.
		if choice.calm {
			t.typical.firstToken(choice.affinity, result.FirstToken)
		}
	}
	switch result.End {
	case EndAnswered:
		each.limit.Done(now, each.inFlight)
		t.typical.answered(now, result.Took, result.TokenGap)
		each.sample(result.TokenGap)
		if !t.judgeSlow(now, each) {
			each.answered()
		}
	case EndRefused:
		each.limit.Refused(now)
		each.refused(now, result.RetryAfter)
	case EndFailed:
		each.failed(now)
	case EndCancelled:
	}
}

// Speed takes the time between tokens of an answer that is still coming: a
// slow host is noticed long before its first answer is whole. It reports
// whether the host is left out as slow, so that the answer may go on elsewhere.
func (t *Table) Speed(now time.Time, choice Choice, gap time.Duration) (slow bool) {
	each := choice.kept
	each.sample(gap)
	if t.judgeSlow(now, each) {
		return true
	}
	return each.slowUntil.After(now) && float64(gap)/float64(time.Millisecond) > slowRatio*t.medianGap()
}

// judgeSlow ejects a host whose tokens come several times slower than the
// median host's: it reports healthy, and only its answers show it.
func (t *Table) judgeSlow(now time.Time, each *host) (slow bool) {
	if each.gapSamples < slowSamples || len(t.hosts) < minHostsForSlow {
		return false
	}
	median := t.medianGap()
	if median <= 0 || each.gap < slowRatio*median {
		return false
	}
	if t.ejectedHosts(now) >= max(1, len(t.hosts)/ejectableShare) {
		return false
	}
	each.eject(now, slowEjection)
	each.slowUntil = each.ejectedUntil
	return true
}

func (t *Table) medianGap() float64 {
	gaps := make([]float64, 0, len(t.hosts))
	for _, each := range t.hosts {
		if each.gapSamples > 0 {
			gaps = append(gaps, each.gap)
		}
	}
	if len(gaps) < minHostsForSlow {
		return 0
	}
	slices.Sort(gaps)
	return gaps[(len(gaps)-1)/2]
}

func (t *Table) ejectedHosts(now time.Time) int {
	ejected := 0
	for _, each := range t.hosts {
		if now.Before(each.ejectedUntil) {
			ejected++
		}
	}
	return ejected
}

// Service estimates how long an attempt of so many tokens takes on a typical
// host; 0 while unknown.
func (t *Table) Service(now time.Time, tokens int) time.Duration {
	return t.typical.service(now, tokens)
}

// FirstToken returns the typical time to the first token; 0 while unknown.
func (t *Table) FirstToken() time.Duration { return millis(t.typical.missMillis) }

// TokenGap returns the typical time between tokens; 0 while unknown.
func (t *Table) TokenGap() time.Duration { return millis(t.typical.gapMillis) }
