package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simHost is a simulated host with slots, a small prefix cache and a speed. Entries
// learn its load and cached prefixes only from its reports.
type simHost struct {
	id      string
	gap     time.Duration // between tokens
	failing bool          // fails every request immediately
	running int
	cache   []uint64 // least recently used first
	picked  int      // requests routed to it
	reports []Host   // newest last; entries see an older one
}

// sim runs entries, each with its own Table, against hosts on a virtual clock.
type sim struct {
	now             time.Time
	random          *rand.Rand
	hosts           []*simHost
	entries         []*Table
	events          simEvents
	arrived         int
	hits            int
	firstTokenTimes []time.Duration // time to first token, by request
	rejected        int             // requests for which no host had capacity
}

const (
	simSlots          = 8                      // per host
	simCacheSize      = 24                     // cached prefixes per host
	simTokens         = 16                     // per answer
	simPrefill        = 60 * time.Millisecond  // time to the first token with a cold prefix
	simCachedPrefill  = 10 * time.Millisecond  // time to the first token with a cached prefix
	simGap            = 10 * time.Millisecond  // between tokens
	simReportAge      = 2 * time.Second        // of the reports that entries see
	simReportInterval = 500 * time.Millisecond // between a host's reports
	simPrefixes       = 160                    // distinct prefixes
)

var simStart = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func newSim(policy Policy, hosts, entries int) *sim {
	s := &sim{now: simStart, random: rand.New(rand.NewPCG(1, 2))}
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{id: fmt.Sprintf("h%02d", i), gap: simGap})
	}
	for i := range entries {
		s.entries = append(s.entries, NewTable(Options{Policy: policy, Seed: uint64(i + 1)}))
	}
	s.report()
	return s
}

// simEvent is a function call scheduled on the virtual clock.
type simEvent struct {
	at time.Time
	do func()
}

// simEvents is a heap of events ordered by time.
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// after schedules a function call.
func (s *sim) after(wait time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now.Add(wait), do})
}

// report makes a report of each host and updates the entries with the reports made
// simReportAge ago.
func (s *sim) report() {
	var seen []Host
	for _, host := range s.hosts {
		host.reports = append(host.reports, Host{
			ID: host.id, Incarnation: "1", Version: "v", Slots: simSlots,
			Running: host.running, Sequence: uint64(len(host.reports) + 1), SeenAt: s.now,
			Prefixes: slices.Clone(host.cache),
		})
		old := max(0, len(host.reports)-1-int(simReportAge/simReportInterval))
		seen = append(seen, host.reports[old])
	}
	for _, table := range s.entries {
		table.Update(s.now, seen, len(s.entries))
	}
}

// run simulates requests that arrive at the given rate per second.
func (s *sim) run(rate float64, length time.Duration) {
	end := s.now.Add(length)
	var arrive, report func()
	arrive = func() {
		s.request()
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	report = func() {
		s.report()
		s.after(simReportInterval, report)
	}
	s.after(0, arrive)
	s.after(simReportInterval, report)
	for s.events[0].at.Before(end) {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.do()
	}
	s.events = nil
}

// request routes a prompt with a random prefix. A few prefixes are much more common
// than the rest.
func (s *sim) request() {
	s.arrived++
	prefix := uint64(s.random.IntN(simPrefixes))
	if s.random.IntN(4) == 0 {
		prefix %= 8
	}
	table := s.entries[s.random.IntN(len(s.entries))]
	choice, reason := table.Pick(s.now, Requirements{Prefix: prefix, Tokens: simTokens, Versions: []string{"v"}})
	if reason != Chosen {
		s.rejected++
		return
	}
	host := s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.id == choice.Host.ID })]
	host.picked++
	if host.failing {
		s.after(time.Millisecond, func() { table.Finish(s.now, choice, Result{End: EndFailed}) })
		return
	}
	untilFirst := s.firstToken(host, prefix)
	host.running++
	s.firstTokenTimes = append(s.firstTokenTimes, untilFirst)
	took := untilFirst + simTokens*host.gap
	s.after(took, func() {
		host.running--
		table.RecordLoad(s.now, host.id, host.running, 0)
		table.Finish(s.now, choice, Result{End: EndAnswered, FirstToken: untilFirst, TokenGap: host.gap, Took: took})
	})
}

// firstToken returns the time to the first token and updates the host's cache.
// Requests beyond the slots wait.
func (s *sim) firstToken(host *simHost, prefix uint64) time.Duration {
	first := simPrefill
	if at := slices.Index(host.cache, prefix); at >= 0 {
		first = simCachedPrefill
		s.hits++
		host.cache = slices.Delete(host.cache, at, at+1)
	}
	host.cache = append(host.cache, prefix)
	if len(host.cache) > simCacheSize {
		host.cache = host.cache[1:]
	}
	if over := host.running + 1 - simSlots; over > 0 {
		first += time.Duration(over) * simTokens * host.gap / simSlots
	}
	return first
}

func (s *sim) hitRatio() float64 { return float64(s.hits) / float64(s.arrived) }

// firstTokenQuantile returns a quantile of the time to the first token.
func (s *sim) firstTokenQuantile(quantile float64) time.Duration {
	slices.Sort(s.firstTokenTimes)
	return s.firstTokenTimes[int(quantile*float64(len(s.firstTokenTimes)-1))]
}
