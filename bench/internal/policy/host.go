package policy

import (
	"fmt"
	"time"

	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/fleet"
)

const (
	// usualLooks and idleLooks are the intervals at which an agent polls its engine
	// while requests run and while it is idle. They match the real agents.
	usualLooks = 30 * time.Millisecond
	idleLooks  = 80 * time.Millisecond
	// sendAnyway is the maximum interval between two state messages, unless the
	// follower's gap is longer.
	sendAnyway = 250 * time.Millisecond
	// noticeTime is how long before a load entries stop sending new requests.
	noticeTime = 600 * time.Millisecond
	// stateBytes and readingBytes are the sizes of state and reading messages on a
	// link, including headers.
	stateBytes   = 150
	readingBytes = 110
)

// host is a simulated engine with its agent.
type host struct {
	sim       *sim
	id        string
	address   string
	region    int
	loaded    uint64
	batch     *engine.Batch
	works     map[*engine.Work]*exchange
	slow      float64 // factor by which passes take longer
	dark      bool
	ordering  bool // a load is about to begin or in progress
	epochs    int  // incremented by a crash or load; passes of earlier epochs are discarded
	served    int  // number of events sent
	seen      fleet.EngineState
	reading   map[*entry]int
	followers map[*entry]*follower
}

// follower is an entry's subscription to the state of a host.
type follower struct {
	host    *host
	entry   *entry
	gap     time.Duration
	last    time.Duration // when the last state was sent
	planned bool          // the next state is scheduled
	sent    int
}

func (s *sim) addHost(region int, loaded bool) *host {
	number := len(s.order)
	one := &host{
		sim: s, id: fmt.Sprintf("engine-%05d", number), region: region, slow: 1,
		address: fmt.Sprintf("10.%d.%d.%d:80", region, number>>8, number&255),
		batch:   engine.NewBatch(s.spec, s.load.Engine.Queue, s.load.Engine.MemoryTokens),
		works:   map[*engine.Work]*exchange{}, reading: map[*entry]int{}, followers: map[*entry]*follower{},
	}
	if loaded {
		one.loaded = 1
	}
	s.order = append(s.order, one)
	s.engines[one.address] = one
	s.after(time.Duration(s.rng.Int64N(int64(usualLooks))), one.look)
	return one
}

// looks returns the polling interval for engines that run requests.
func (s *sim) looks() time.Duration {
	if s.opts.Looks > 0 {
		return s.opts.Looks
	}
	return usualLooks
}

// followAll starts and stops state subscriptions according to the entry's parts.
func (e *entry) followAll() {
	for _, one := range e.sim.order {
		reach := e.parts[one.address].Reach
		if reach == deal.Outside || e.sim.without("states") {
			delete(one.followers, e)
			delete(one.reading, e)
			continue
		}
		gap := e.sim.opts.Gaps.Near
		switch reach {
		case deal.Home:
			gap = e.sim.opts.Gaps.Home
		case deal.Far:
			gap = e.sim.opts.Gaps.Far
		}
		if one.followers[e] == nil {
			one.followers[e] = &follower{host: one, entry: e, gap: gap}
			one.followers[e].poke()
		}
		one.followers[e].gap = gap
	}
}

// look polls the engine and notifies the followers if its state changed.
func (h *host) look() {
	wait := idleLooks
	if h.batch.Running() > 0 {
		wait = h.sim.looks()
	}
	h.sim.after(wait, h.look)
	if h.dark {
		return
	}
	seen := fleet.EngineState{Alive: true, Running: h.batch.Running(), Queued: h.batch.Waiting(), Slowdown: h.slow, Busy: h.ordering}
	if seen.Running != h.seen.Running || seen.Queued != h.seen.Queued || seen.Slowdown != h.seen.Slowdown || seen.Busy != h.seen.Busy || !h.seen.Alive {
		h.seen = seen
		h.changed()
	}
}

// changed schedules a state message to each follower.
func (h *host) changed() {
	for _, ent := range h.sim.entries {
		if to := h.followers[ent]; to != nil {
			to.poke()
		}
	}
}

// poke schedules a state message, at least gap after the previous one.
func (f *follower) poke() {
	if f.planned || f.host.followers[f.entry] != f {
		return
	}
	f.planned = true
	s := f.host.sim
	s.after(f.last+f.gap-s.now, f.send)
}

// send sends the current state to the entry and schedules the next message after
// sendAnyway.
func (f *follower) send() {
	h, s := f.host, f.host.sim
	f.planned = false
	if h.dark || h.followers[f.entry] != f {
		return
	}
	f.last = s.now
	f.sent++
	state := h.seen
	state.Loaded = map[string]uint64{}
	if h.loaded > 0 {
		state.Loaded[model] = h.loaded
	}
	for ent, tokens := range h.reading {
		if ent != f.entry {
			state.PendingPrefill += tokens
		}
	}
	s.out.states++
	s.out.message(h.region, f.entry.region, stateBytes)
	ent := f.entry
	s.after(s.delay(h.region, ent.region), func() {
		ent.fleet.Observe(service, h.address, state)
		ent.look()
	})
	number := f.sent
	s.after(max(f.gap, sendAnyway), func() {
		if f.sent == number {
			f.poke()
		}
	})
}

// observeReading records the unread prompt tokens that an entry reported.
func (h *host) observeReading(from *entry, tokens int) {
	if h.followers[from] == nil {
		return
	}
	h.reading[from] = tokens
	h.changed()
}

// arrive accepts a request, or replies that it did not run. A dark engine does not
// reply.
func (h *host) arrive(x *exchange, work *engine.Work) {
	s := h.sim
	if h.dark {
		return
	}
	back := s.delay(h.region, x.entry.region)
	if h.loaded == 0 || h.ordering && len(h.works) == 0 || x.ask.over || !h.batch.Add(work) {
		s.after(back, func() {
			if x.work == work {
				x.ended(fleet.Refused)
			}
		})
		return
	}
	h.works[work] = x
	h.pass()
}

// drop removes a request whose caller has gone.
func (h *host) drop(work *engine.Work) {
	h.batch.Remove(work)
	delete(h.works, work)
}

// pass begins the next pass if there is work.
func (h *host) pass() {
	took, ok := h.batch.Begin()
	if !ok {
		return
	}
	number := h.epochs
	h.sim.after(time.Duration(float64(took)*h.slow), func() {
		if number == h.epochs && !h.dark {
			h.endPass()
		}
	})
}

// endPass sends the events and completions of a pass and begins the next one.
func (h *host) endPass() {
	s := h.sim
	wrote, done := h.batch.End()
	for _, work := range wrote {
		x := h.works[work]
		if x == nil {
			continue
		}
		h.served++
		s.out.events++
		tokens := work.LastPassTokens()
		way := s.delay(h.region, x.entry.region)
		if work.Written() == tokens {
			way += millis(s.load.Engine.FirstMillis)
		}
		s.after(way, func() { x.event(work, tokens) })
	}
	for _, work := range done {
		x := h.works[work]
		delete(h.works, work)
		if x != nil {
			s.after(s.delay(h.region, x.entry.region)+millis(s.load.Engine.FirstMillis), func() { x.served(work) })
		}
	}
	h.pass()
}

// cut aborts all requests of the engine; the entries see broken answers.
func (h *host) cut() {
	h.epochs++
	for _, work := range h.batch.Clear() {
		x := h.works[work]
		if x == nil {
			continue
		}
		h.sim.after(h.sim.delay(h.region, x.entry.region), func() {
			if x.work == work {
				x.ended(fleet.Broken)
			}
		})
	}
	clear(h.works)
}
