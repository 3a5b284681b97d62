package policy

import (
	"fmt"
	"slices"
	"time"

	"comfreyrelay.example/relay/admission"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/fleet"
)

const (
	// mostSends is the maximum number of endpoints that a request is sent to. A
	// request is sent to another endpoint only if the previous one did not run
	// it, as in a gateway.
	mostSends = 4
	// stallTargets is the time to wait for a first event before another engine is
	// tried, as a multiple of the target.
	stallTargets = 3
)

// entry is a simulated entry that uses the product's own decision code.
type entry struct {
	sim      *sim
	id       string
	region   int
	fleet    *fleet.Fleet
	group    *fleet.Group
	line     admission.Line
	callers  admission.RetryDetector
	waiting  map[*admission.Request]*exchange
	parts    map[string]deal.Assignment
	reported map[string]int // unread prompt tokens as reported, by address
}

// exchange is the handling of one attempt of a request by an entry.
type exchange struct {
	entry    *entry
	ask      *ask
	adm      admission.Request
	sends    int
	tries    []fleet.Incarnation
	grant    *fleet.Grant
	host     *host
	work     *engine.Work
	given    int // tokens that were sent to the caller
	over     bool
	waitings int // how often it entered the queue; timers of earlier waits are ignored
}

func (s *sim) addEntry(number int) {
	ent := &entry{
		sim: s, id: fmt.Sprintf("entry-%04d", number), region: number % s.load.Regions,
		fleet: fleet.New(s.clock), waiting: map[*admission.Request]*exchange{}, reported: map[string]int{},
	}
	ent.fleet.SetRandom(s.rng.Float64)
	ent.fleet.Configure(catalog.New(catalog.Spec{Version: 1, Services: []catalog.Service{{Name: service, Engine: s.spec}}}))
	ent.group = ent.fleet.Group(service)
	s.entries = append(s.entries, ent)
	s.byID[ent.id] = ent
	for _, one := range s.order {
		ent.register(one)
	}
}

func (e *entry) register(one *host) {
	reg := fleet.Registration{
		ID: one.id, Service: service, Address: one.address, FailureDomain: domain(one.region), Slots: e.sim.spec.Slots,
	}
	if one.loaded > 0 {
		reg.Loaded = map[string]uint64{model: one.loaded}
	}
	e.fleet.Register(reg)
}

// deal reassigns the engines to the entries, as each entry does when engines are
// added or removed.
func (s *sim) deal() {
	var entries, engines []deal.Place
	for _, ent := range s.entries {
		entries = append(entries, deal.Place{ID: ent.id, Region: domain(ent.region), FailureDomain: domain(ent.region)})
	}
	for _, one := range s.order {
		engines = append(engines, deal.Place{ID: one.address, Region: domain(one.region), FailureDomain: domain(one.region)})
	}
	for i, ent := range s.entries {
		ent.parts = deal.NewWith(s.opts.Shares, entries[i], entries).Assignments(engines)
		if s.without("dealing") {
			ent.dealAll(engines)
		}
		if s.without("homes") {
			ent.dealHomes()
		}
		ent.fleet.SetAssignments(ent.parts)
		ent.followAll()
	}
}

// dealAll assigns every engine to the entry.
func (e *entry) dealAll(engines []deal.Place) {
	for _, eng := range engines {
		if e.parts[eng.ID].Reach != deal.Outside {
			continue
		}
		reach := deal.Far
		if eng.FailureDomain == domain(e.region) {
			reach = deal.Near
		}
		e.parts[eng.ID] = deal.Assignment{Reach: reach}
	}
}

// dealHomes makes the entry a home of every near engine.
func (e *entry) dealHomes() {
	for address, part := range e.parts {
		if part.Reach == deal.Near {
			e.parts[address] = deal.Assignment{Reach: deal.Home, SendsGuidance: part.SendsGuidance}
		}
	}
}

// receive accepts a request from a caller and places it.
func (e *entry) receive(a *ask) {
	if a.over {
		return
	}
	s := e.sim
	left := a.deadline - s.now
	x := &exchange{entry: e, ask: a}
	x.adm = admission.Request{
		Engine: s.spec, Target: millis(a.class.TargetMillis), MaxPause: millis(a.class.GapMillis), Prompt: a.size,
		Priority: a.class.Priority, Retried: e.callers.IsRetry(a.class.Name, left), Arrived: s.clock(),
	}
	x.adm.SetDeadline(0, left)
	s.after(left, func() { x.abandon() })
	x.place()
}

// place sends the request to an engine, or queues it if none is available.
func (x *exchange) place() {
	e, s := x.entry, x.entry.sim
	now := s.clock()
	if head := e.line.Head(now); head == nil {
		if x.pick() {
			return
		}
	}
	if s.without("late") && x.adm.Late(now) {
		x.refuse(fleet.Full)
		return
	}
	e.line.Enter(now, &x.adm)
	e.waiting[&x.adm] = x
	x.waitings++
	waiting := x.waitings
	s.after(x.adm.WaitUntil(now).Sub(now), func() {
		if x.waits() && x.waitings == waiting {
			x.refuse(fleet.Full)
		}
	})
	if s.without("late") {
		s.after(time.Duration(1), func() { e.refuseLate() })
	}
	e.lookAtChange()
}

func (x *exchange) waits() bool { return x.entry.waiting[&x.adm] == x }

// lookAtChange schedules another look for when the head of the queue changes
// because a request becomes late.
func (e *entry) lookAtChange() {
	if at := e.line.NextChange(); !at.IsZero() {
		e.sim.after(at.Sub(e.sim.clock()), func() { e.refuseLate(); e.look() })
	}
}

// refuseLate refuses waiting requests that can no longer meet their target, if the
// mechanism "late" is disabled.
func (e *entry) refuseLate() {
	if !e.sim.without("late") {
		return
	}
	var tooLate []*exchange
	for req, x := range e.waiting {
		if req.Late(e.sim.clock()) {
			tooLate = append(tooLate, x)
		}
	}
	slices.SortFunc(tooLate, func(left, right *exchange) int { return left.adm.Arrived.Compare(right.adm.Arrived) })
	for _, x := range tooLate {
		x.refuse(fleet.Full)
	}
}

// look sends waiting requests to engines in queue order until none has capacity.
func (e *entry) look() {
	for head := e.line.Head(e.sim.clock()); head != nil; head = e.line.Head(e.sim.clock()) {
		if !e.waiting[head].pick() {
			return
		}
	}
}

// pick reserves capacity on an engine and sends the request there. It reports
// whether an engine was available.
func (x *exchange) pick() bool {
	e, s := x.entry, x.entry.sim
	need := x.adm.Need(s.clock(), model, domain(e.region), len(s.entries))
	need.Exclude = x.tries
	if s.without("unread") {
		need.MaxPendingPrefill = 0
	}
	s.out.picks++
	grant, verdict := e.group.Pick(need)
	if verdict != fleet.Granted {
		return false
	}
	x.leaveLine()
	x.grant, x.host = grant, s.engines[grant.Address()]
	x.tries = append(x.tries, grant.Incarnation())
	x.sends++
	x.adm.Sent = true
	e.reportReading(x.host)
	x.work = &engine.Work{Prompt: x.ask.size + x.given, Answer: max(1, x.ask.answer-x.given), Rank: x.adm.Rank(s.clock())}
	work, to := x.work, x.host
	s.after(s.delay(e.region, to.region), func() { to.arrive(x, work) })
	if !x.adm.Started {
		s.after(stallTargets*x.adm.Target, func() {
			if x.work == work && !x.over && x.ask.first == 0 && to.dark {
				x.ended(fleet.Silent)
			}
		})
	}
	return true
}

func (x *exchange) leaveLine() {
	if x.waits() {
		x.entry.line.Leave(&x.adm)
		delete(x.entry.waiting, &x.adm)
	}
}

// refuse ends the exchange and tells the caller when to retry. If the answer had
// begun, the request fails.
func (x *exchange) refuse(verdict fleet.Verdict) {
	if x.over {
		return
	}
	x.leaveLine()
	x.over = true
	e, s := x.entry, x.entry.sim
	if x.adm.Started {
		s.after(s.callerDelay(), func() { s.finish(x.ask, failed) })
		return
	}
	wait := x.adm.RetryAfter(verdict, e.line.Len(), len(s.entries))
	s.out.refusals++
	s.after(s.callerDelay(), func() { s.refused(x.ask, wait) })
}

// event handles an event from an engine and forwards it to the caller.
func (x *exchange) event(work *engine.Work, tokens int) {
	if x.over || x.work != work {
		return
	}
	s := x.entry.sim
	x.adm.Started = true
	x.grant.Began()
	x.entry.reportReading(x.host)
	x.given += tokens
	s.after(s.callerDelay(), func() { s.event(x.ask) })
}

// served ends the request successfully.
func (x *exchange) served(work *engine.Work) {
	if x.over || x.work != work {
		return
	}
	x.over = true
	x.release(fleet.Served)
	s := x.entry.sim
	s.after(s.callerDelay(), func() { s.finish(x.ask, inAim) })
}

// release returns the reserved capacity and serves waiting requests.
func (x *exchange) release(outcome fleet.Outcome) {
	x.grant.Done(outcome)
	x.entry.reportReading(x.host)
	x.entry.look()
}

// ended handles an engine's failure to serve the request: it tries another engine,
// or refuses after mostSends attempts.
func (x *exchange) ended(outcome fleet.Outcome) {
	if x.over {
		return
	}
	x.work = nil
	x.release(outcome)
	if x.sends >= mostSends {
		x.refuse(fleet.Full)
		return
	}
	x.place()
}

// abandon ends the request when its deadline passes.
func (x *exchange) abandon() {
	if x.over {
		return
	}
	x.leaveLine()
	x.over = true
	if x.work == nil {
		return
	}
	work, to, s := x.work, x.host, x.entry.sim
	s.after(s.delay(x.entry.region, to.region), func() { to.drop(work) })
	x.release(fleet.Abandoned)
}

// reportReading reports to an agent how many prompt tokens of the entry its engine
// has not read yet.
func (e *entry) reportReading(to *host) {
	s := e.sim
	tokens := e.fleet.PendingPrefill(service, to.address)
	if s.without("reading") || s.without("states") || tokens == e.reported[to.address] {
		return
	}
	e.reported[to.address] = tokens
	s.out.message(e.region, to.region, readingBytes)
	s.after(s.delay(e.region, to.region), func() { to.observeReading(e, tokens) })
}
