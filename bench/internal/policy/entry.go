package policy

import (
	"fmt"
	"time"

	"comfreyrelay.example/relay/admission"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/deal"
	"comfreyrelay.example/relay/engine"
	"comfreyrelay.example/relay/fleet"
)

const (
	// maxSends is the maximum number of endpoints that a request is sent to. A
	// request is sent to another endpoint only if the previous one did not run
	// it, as in a gateway.
	maxSends = 4
	// silenceDivisor is the time to wait for a first event before another engine is tried, as a fraction of
	// the time after which the caller gives up.
	silenceDivisor = 2
)

// entry is a simulated entry that uses the product's own decision code.
type entry struct {
	sim         *sim
	id          string
	region      int
	fleet       *fleet.Fleet
	group       *fleet.Group
	queue       admission.Line
	waiting     map[*admission.Request]*exchange
	assignments map[string]deal.Assignment
	reported    map[string]int // unread prompt tokens as reported, by address
}

// exchange is the handling of one attempt of a request by an entry.
type exchange struct {
	entry      *entry
	request    *request
	adm        admission.Request
	sendCount  int
	attempted  []fleet.Incarnation
	grant      *fleet.Grant
	host       *host
	work       *engine.Work
	tokensSent int // tokens that were sent to the caller
	done       bool
	waitCount  int // how often it entered the queue; timers of earlier waits are ignored
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
	for _, eng := range s.order {
		ent.register(eng)
	}
}

func (e *entry) register(eng *host) {
	reg := fleet.Registration{
		ID: eng.id, Service: service, Address: eng.address, FailureDomain: domain(eng.region), Slots: e.sim.spec.Slots,
	}
	if eng.loaded > 0 {
		reg.Loaded = map[string]uint64{model: eng.loaded}
	}
	e.fleet.Register(reg)
}

// assignEngines reassigns the engines to the entries, as each entry does when
// engines are added or removed.
func (s *sim) assignEngines() {
	var entries, engines []deal.Place
	for _, ent := range s.entries {
		entries = append(entries, deal.Place{ID: ent.id, Region: domain(ent.region), FailureDomain: domain(ent.region)})
	}
	for _, eng := range s.order {
		engines = append(engines, deal.Place{ID: eng.address, Region: domain(eng.region), FailureDomain: domain(eng.region)})
	}
	for i, ent := range s.entries {
		ent.assignments = deal.NewWith(s.opts.Shares, entries[i], entries).Assignments(engines)
		if s.without("dealing") {
			ent.assignAll(engines)
		}
		if s.without("homes") {
			ent.makeNearHomes()
		}
		ent.fleet.SetAssignments(ent.assignments)
		ent.updateSubscriptions()
	}
}

// assignAll assigns every engine to the entry.
func (e *entry) assignAll(engines []deal.Place) {
	for _, eng := range engines {
		if e.assignments[eng.ID].Reach != deal.Outside {
			continue
		}
		reach := deal.Far
		if eng.FailureDomain == domain(e.region) {
			reach = deal.Near
		}
		e.assignments[eng.ID] = deal.Assignment{Reach: reach}
	}
}

// makeNearHomes makes the entry a home of every near engine.
func (e *entry) makeNearHomes() {
	for address, assignment := range e.assignments {
		if assignment.Reach == deal.Near {
			e.assignments[address] = deal.Assignment{Reach: deal.Home, SendsGuidance: assignment.SendsGuidance}
		}
	}
}

// receive accepts a request from a caller and places it.
func (e *entry) receive(req *request) {
	if req.done {
		return
	}
	s := e.sim
	remaining := req.deadline - s.now
	x := &exchange{entry: e, request: req}
	x.adm = admission.Request{
		Engine: s.spec, Prompt: req.promptTokens, Answer: s.spec.MeanAnswerTokens, Priority: req.class.Priority, Arrived: s.clock(),
		Patience: admission.Patience(millis(req.class.TargetMillis), millis(req.class.GapMillis)),
	}
	x.adm.SetDeadline(0, remaining)
	s.after(remaining, func() { x.abandon() })
	x.place()
}

// place sends the request to an engine, or queues it if none is available.
func (x *exchange) place() {
	e, s := x.entry, x.entry.sim
	now := s.clock()
	if head := e.queue.Head(); head == nil {
		if x.dispatch() {
			return
		}
	}
	turnAt := now
	if !s.without("forecast") {
		turnAt = now.Add(x.queueTime(e.queue.Ahead(&x.adm)))
	}
	if !turnAt.Before(x.adm.LatestStart()) {
		x.refuse(fleet.Full)
		return
	}
	e.queue.Enter(&x.adm)
	e.waiting[&x.adm] = x
	x.waitCount++
	waiting := x.waitCount
	if !s.without("forecast") {
		e.refuseLast(now)
	}
	s.after(x.adm.LatestStart().Sub(now), func() {
		if x.isWaiting() && x.waitCount == waiting {
			x.refuse(fleet.Full)
		}
	})
}

// refuseLast refuses the last waiting request if its turn would come too late.
func (e *entry) refuseLast(now time.Time) {
	last := e.waiting[e.queue.Last()]
	if !now.Add(last.queueTime(e.queue.Len() - 1)).Before(last.adm.LatestStart()) {
		last.refuse(fleet.Full)
	}
}

// queueTime returns the expected time until the entry has served a number of waiting requests.
func (x *exchange) queueTime(requests int) time.Duration {
	return x.adm.QueueTime(requests, x.entry.group.Slots(x.need()), len(x.entry.sim.entries))
}

func (x *exchange) isWaiting() bool { return x.entry.waiting[&x.adm] == x }

// dispatchWaiting sends waiting requests to engines in queue order until none has
// capacity.
func (e *entry) dispatchWaiting() {
	for head := e.queue.Head(); head != nil; head = e.queue.Head() {
		if !e.waiting[head].dispatch() {
			return
		}
	}
}

// dispatch reserves capacity on an engine and sends the request there. It reports
// whether an engine was available.
func (x *exchange) dispatch() bool {
	e, s := x.entry, x.entry.sim
	need := x.need()
	s.tally.dispatchAttempts++
	grant, verdict := e.group.Pick(need)
	if verdict != fleet.Granted {
		return false
	}
	x.leaveQueue()
	x.grant, x.host = grant, s.engines[grant.Address()]
	x.attempted = append(x.attempted, grant.Incarnation())
	x.sendCount++
	x.adm.Sent = true
	e.reportPendingPrefill(x.host)
	x.work = &engine.Work{Prompt: x.request.promptTokens + x.tokensSent, Answer: max(1, x.request.answerTokens-x.tokensSent), Rank: x.adm.Rank()}
	work, to := x.work, x.host
	s.after(s.delay(e.region, to.region), func() { to.arrive(x, work) })
	if !x.adm.Started {
		s.after(x.adm.Patience/silenceDivisor, func() {
			if x.work == work && !x.done && x.request.firstEventAt == 0 && to.unresponsive {
				x.handleFailure(fleet.Silent)
			}
		})
	}
	return true
}

// need returns the criteria by which an engine is chosen.
func (x *exchange) need() fleet.Need {
	need := x.adm.Need(model, domain(x.entry.region), len(x.entry.sim.entries))
	need.Exclude = x.attempted
	if x.entry.sim.without("unread") {
		need.MaxPendingPrefill = 0
	}
	return need
}

func (x *exchange) leaveQueue() {
	if x.isWaiting() {
		x.entry.queue.Leave(&x.adm)
		delete(x.entry.waiting, &x.adm)
	}
}

// refuse ends the exchange and tells the caller when to retry. If the answer had
// begun, the request fails.
func (x *exchange) refuse(verdict fleet.Verdict) {
	if x.done {
		return
	}
	x.leaveQueue()
	x.done = true
	e, s := x.entry, x.entry.sim
	if x.adm.Started {
		s.after(s.callerDelay(), func() { s.finish(x.request, failed) })
		return
	}
	wait := x.adm.RetryAfter(verdict, x.queueTime(e.queue.Len()))
	s.tally.refusals++
	s.after(s.callerDelay(), func() { s.refused(x.request, wait) })
}

// event handles an event from an engine and forwards it to the caller.
func (x *exchange) event(work *engine.Work, tokens int) {
	if x.done || x.work != work {
		return
	}
	s := x.entry.sim
	x.adm.Progress(s.clock(), tokens)
	x.grant.Began()
	x.entry.reportPendingPrefill(x.host)
	x.tokensSent += tokens
	s.after(s.callerDelay(), func() { s.event(x.request) })
}

// complete ends the request successfully.
func (x *exchange) complete(work *engine.Work) {
	if x.done || x.work != work {
		return
	}
	x.done = true
	x.release(fleet.Served)
	s := x.entry.sim
	s.after(s.callerDelay(), func() { s.finish(x.request, inAim) })
}

// release returns the reserved capacity and serves waiting requests.
func (x *exchange) release(outcome fleet.Outcome) {
	x.grant.Done(outcome)
	x.entry.reportPendingPrefill(x.host)
	x.entry.dispatchWaiting()
}

// handleFailure handles an engine's failure to serve the request: it tries another
// engine, or refuses after maxSends attempts.
func (x *exchange) handleFailure(outcome fleet.Outcome) {
	if x.done {
		return
	}
	x.work = nil
	x.release(outcome)
	if x.sendCount >= maxSends {
		x.refuse(fleet.Full)
		return
	}
	x.place()
}

// abandon ends the request when its deadline passes.
func (x *exchange) abandon() {
	if x.done {
		return
	}
	x.leaveQueue()
	x.done = true
	if x.work == nil {
		return
	}
	work, to, s := x.work, x.host, x.entry.sim
	s.after(s.delay(x.entry.region, to.region), func() { to.drop(work) })
	x.release(fleet.Abandoned)
}

// reportPendingPrefill reports to an agent how many of the prompt tokens that this
// entry sent its engine has not read yet.
func (e *entry) reportPendingPrefill(to *host) {
	s := e.sim
	tokens := e.fleet.PendingPrefill(service, to.address)
	if s.without("reading") || s.without("states") || tokens == e.reported[to.address] {
		return
	}
	e.reported[to.address] = tokens
	s.tally.message(e.region, to.region, prefillReportBytes)
	s.after(s.delay(e.region, to.region), func() { to.observePendingPrefill(e, tokens) })
}
