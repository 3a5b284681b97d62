package policy

import (
	"fmt"
	"time"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/fleet"
)

const (
	// defaultPollInterval and idlePollInterval are the intervals at which an agent
	// polls its engine while requests run and while it is idle. They match the real agents.
	defaultPollInterval = 30 * time.Millisecond
	idlePollInterval    = 80 * time.Millisecond
	// maxStateInterval is the maximum interval between two state messages, unless the
	// follower's minInterval is longer.
	maxStateInterval = 250 * time.Millisecond
	// loadNoticePeriod is how long before a load entries stop sending new requests.
	loadNoticePeriod = 600 * time.Millisecond
	// stateBytes and prefillReportBytes are the sizes of state messages and prefill reports on a
	// link, including headers.
	stateBytes         = 150
	prefillReportBytes = 110
)

// host is a simulated engine with its agent.
type host struct {
	sim            *sim
	id             string
	address        string
	region         int
	loaded         uint64
	batch          *engine.Batch
	exchanges      map[*engine.Work]*exchange
	slowdown       float64 // factor by which passes take longer
	unresponsive   bool
	loading        bool // a load is about to begin or in progress
	epochs         int  // incremented by a crash or load; passes of earlier epochs are discarded
	eventsSent     int  // number of events sent
	lastState      fleet.EngineState
	pendingPrefill map[*entry]int
	followers      map[*entry]*follower
}

// follower is an entry's subscription to the state of a host.
type follower struct {
	host        *host
	entry       *entry
	minInterval time.Duration
	last        time.Duration // when the last state was sent
	scheduled   bool          // the next state is scheduled
	sent        int
}

func (s *sim) addHost(region int, loaded bool) *host {
	number := len(s.order)
	eng := &host{
		sim: s, id: fmt.Sprintf("engine-%05d", number), region: region, slowdown: 1,
		address:   fmt.Sprintf("10.%d.%d.%d:80", region, number>>8, number&255),
		batch:     engine.NewBatch(s.spec, s.load.Engine.Queue, s.load.Engine.MemoryTokens),
		exchanges: map[*engine.Work]*exchange{}, pendingPrefill: map[*entry]int{}, followers: map[*entry]*follower{},
	}
	if loaded {
		eng.loaded = 1
	}
	s.order = append(s.order, eng)
	s.engines[eng.address] = eng
	s.after(time.Duration(s.rng.Int64N(int64(defaultPollInterval))), eng.poll)
	return eng
}

// pollInterval returns the polling interval for engines that run requests.
func (s *sim) pollInterval() time.Duration {
	if s.opts.PollInterval > 0 {
		return s.opts.PollInterval
	}
	return defaultPollInterval
}

// updateSubscriptions starts and stops state subscriptions according to the entry's
// assignments.
func (e *entry) updateSubscriptions() {
	for _, eng := range e.sim.order {
		reach := e.assignments[eng.address].Reach
		if reach == deal.Outside || e.sim.without("states") {
			delete(eng.followers, e)
			delete(eng.pendingPrefill, e)
			continue
		}
		minInterval := e.sim.opts.Gaps.Near
		switch reach {
		case deal.Home:
			minInterval = e.sim.opts.Gaps.Home
		case deal.Far:
			minInterval = e.sim.opts.Gaps.Far
		}
		if eng.followers[e] == nil {
			eng.followers[e] = &follower{host: eng, entry: e, minInterval: minInterval}
			eng.followers[e].scheduleSend()
		}
		eng.followers[e].minInterval = minInterval
	}
}

// poll polls the engine and notifies the followers if its state changed.
func (h *host) poll() {
	wait := idlePollInterval
	if h.batch.Running() > 0 {
		wait = h.sim.pollInterval()
	}
	h.sim.after(wait, h.poll)
	if h.unresponsive {
		return
	}
	state := fleet.EngineState{Alive: true, Running: h.batch.Running(), Queued: h.batch.Waiting(), Slowdown: h.slowdown, Busy: h.loading}
	if state.Running != h.lastState.Running || state.Queued != h.lastState.Queued || state.Slowdown != h.lastState.Slowdown || state.Busy != h.lastState.Busy || !h.lastState.Alive {
		h.lastState = state
		h.changed()
	}
}

// changed schedules a state message to each follower.
func (h *host) changed() {
	for _, ent := range h.sim.entries {
		if to := h.followers[ent]; to != nil {
			to.scheduleSend()
		}
	}
}

// scheduleSend schedules a state message, at least minInterval after the previous one.
func (f *follower) scheduleSend() {
	if f.scheduled || f.host.followers[f.entry] != f {
		return
	}
	f.scheduled = true
	s := f.host.sim
	s.after(f.last+f.minInterval-s.now, f.send)
}

// send sends the current state to the entry and schedules the next message after
// maxStateInterval.
func (f *follower) send() {
	h, s := f.host, f.host.sim
	f.scheduled = false
	if h.unresponsive || h.followers[f.entry] != f {
		return
	}
	f.last = s.now
	f.sent++
	state := h.lastState
	state.Loaded = map[string]uint64{}
	if h.loaded > 0 {
		state.Loaded[model] = h.loaded
	}
	for ent, tokens := range h.pendingPrefill {
		if ent != f.entry {
			state.PendingPrefill += tokens
		}
	}
	s.tally.states++
	s.tally.message(h.region, f.entry.region, stateBytes)
	ent := f.entry
	s.after(s.delay(h.region, ent.region), func() {
		ent.fleet.Observe(service, h.address, state)
		ent.dispatchWaiting()
	})
	number := f.sent
	s.after(max(f.minInterval, maxStateInterval), func() {
		if f.sent == number {
			f.scheduleSend()
		}
	})
}

// observePendingPrefill records the unread prompt tokens that an entry reported.
func (h *host) observePendingPrefill(from *entry, tokens int) {
	if h.followers[from] == nil {
		return
	}
	h.pendingPrefill[from] = tokens
	h.changed()
}

// arrive accepts a request, or replies that it did not run. An unresponsive engine
// does not reply.
func (h *host) arrive(x *exchange, work *engine.Work) {
	s := h.sim
	if h.unresponsive {
		return
	}
	replyDelay := s.delay(h.region, x.entry.region)
	if h.loaded == 0 || h.loading && len(h.exchanges) == 0 || x.request.done || !h.batch.Add(work) {
		s.after(replyDelay, func() {
			if x.work == work {
				x.handleFailure(fleet.Refused)
			}
		})
		return
	}
	h.exchanges[work] = x
	h.pass()
}

// drop removes a request whose caller has gone.
func (h *host) drop(work *engine.Work) {
	h.batch.Remove(work)
	delete(h.exchanges, work)
}

// pass begins the next pass if there is work.
func (h *host) pass() {
	passDuration, ok := h.batch.Begin()
	if !ok {
		return
	}
	number := h.epochs
	h.sim.after(time.Duration(float64(passDuration)*h.slowdown), func() {
		if number == h.epochs && !h.unresponsive {
			h.endPass()
		}
	})
}

// endPass sends the events and completions of a pass and begins the next one.
func (h *host) endPass() {
	s := h.sim
	wrote, done := h.batch.End()
	for _, work := range wrote {
		x := h.exchanges[work]
		if x == nil {
			continue
		}
		h.eventsSent++
		s.tally.events++
		tokens := work.LastPassTokens()
		eventDelay := s.delay(h.region, x.entry.region)
		if work.Written() == tokens {
			eventDelay += millis(s.load.Engine.FirstMillis)
		}
		s.after(eventDelay, func() { x.event(work, tokens) })
	}
	for _, work := range done {
		x := h.exchanges[work]
		delete(h.exchanges, work)
		if x != nil {
			s.after(s.delay(h.region, x.entry.region)+millis(s.load.Engine.FirstMillis), func() { x.complete(work) })
		}
	}
	h.pass()
}

// abortAll aborts all requests of the engine; the entries see broken answers.
func (h *host) abortAll() {
	h.epochs++
	for _, work := range h.batch.Clear() {
		x := h.exchanges[work]
		if x == nil {
			continue
		}
		h.sim.after(h.sim.delay(h.region, x.entry.region), func() {
			if x.work == work {
				x.handleFailure(fleet.Broken)
			}
		})
	}
	clear(h.exchanges)
}
