package lease

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

const (
	simTTL    = 10 * time.Second
	simMargin = time.Second
	simTime   = 5 * time.Minute
)

// TestNeverTwoHolders checks that no two processes hold the lease, each by its
// own clock, at the same moment of true time; both would give orders. Calls are
// delayed, replies are lost, calls fail, processes are paused at any step, and
// clocks run at rates within the margin.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 0.92, 1.08)
		sim.lost = rapid.Float64Range(0, 0.3).Draw(t, "lost")
		sim.failed = rapid.Float64Range(0, 0.3).Draw(t, "failed")
		sim.paused = rapid.Float64Range(0, 0.1).Draw(t, "paused")
		sim.slowest = time.Duration(rapid.IntRange(1, 15).Draw(t, "slowestSeconds")) * time.Second
		if violation := sim.run(); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestSimulationDetectsOverlap checks that the simulation of
// TestNeverTwoHolders can fail: with a clock that runs far slower than the
// margin allows, a process still counts as holder after the service ended its
// lease.
func TestSimulationDetectsOverlap(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		sim := newSimulation(seed, 0.5, 1)
		sim.failed = 0.5
		if sim.run() != "" {
			found++
		}
	}
	if found == 0 {
		t.Errorf("got no overlap with clocks outside the margin, want at least one in 20 runs")
	}
}

// TestOneHolderWithoutFaults checks that, without faults, the first holder keeps
// the lease for the whole simulation.
func TestOneHolderWithoutFaults(t *testing.T) {
	sim := newSimulation(1, 0.95, 1.05)
	if violation := sim.run(); violation != "" {
		t.Fatal(violation)
	}
	if got := len(sim.fences); got != 1 {
		t.Errorf("got %d holders in five minutes without faults, want 1", got)
	}
}

// simulation is a discrete-event simulation, in true time, of several state
// machines that use one service.
type simulation struct {
	random     *rand.Rand
	clock      *clockwork.FakeClock // true time; the service's clock
	start      time.Time
	service    *kv.Memory
	processes  []*process
	events     eventHeap
	eventCount int // events created so far; orders events with equal times

	lost, failed, paused float64       // fractions of calls
	slowest              time.Duration // longest one-way network delay
	fences               []uint64      // fencing tokens of the holdings, in order
}

// process is a simulated process with its own clock.
type process struct {
	name    string
	machine *machine
	rate    float64 // of its clock relative to true time
	held    bool    // it held the lease at the last check
}

func newSimulation(seed uint64, slowest, fastest float64) *simulation {
	clock := clockwork.NewFakeClock()
	sim := &simulation{
		random:  rand.New(rand.NewPCG(seed, seed)),
		clock:   clock,
		start:   clock.Now(),
		service: kv.NewMemoryService(clock),
		slowest: 100 * time.Millisecond,
	}
	for i := range 4 {
		proc := &process{name: fmt.Sprintf("m%d", i), rate: slowest + sim.random.Float64()*(fastest-slowest)}
		proc.machine = newMachine(options{incarnation: proc.name, ttl: simTTL, margin: simMargin, jitter: sim.random.Float64})
		sim.processes = append(sim.processes, proc)
		sim.after(0, func() { sim.step(proc) })
	}
	return sim
}

// local returns the time by the process's clock.
func (s *simulation) local(proc *process) time.Time {
	elapsed := s.clock.Now().Sub(s.start)
	return s.start.Add(time.Duration(float64(elapsed) * proc.rate))
}

// after schedules run in the given time.
func (s *simulation) after(wait time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{at: s.clock.Now().Add(wait), order: s.eventCount, run: run})
}

// run executes the events and returns a description of the first violation, or
// "" if there is none.
func (s *simulation) run() string {
	for len(s.events) > 0 && s.clock.Since(s.start) < simTime {
		due := heap.Pop(&s.events).(event)
		s.clock.Advance(due.at.Sub(s.clock.Now()))
		due.run()
		if violation := s.check(); violation != "" {
			return violation
		}
	}
	return ""
}

// check returns a description of the violation if two processes hold the lease
// or a fencing token did not increase, or "".
func (s *simulation) check() string {
	var holder *process
	for _, proc := range s.processes {
		fence, deadline, holding := proc.machine.holding()
		holding = holding && !expired(deadline, s.local(proc))
		if holding && holder != nil {
			return fmt.Sprintf("got %s and %s both holding at %s, want one holder", holder.name, proc.name, s.clock.Since(s.start))
		}
		if holding {
			holder = proc
		}
		if holding && !proc.held {
			if n := len(s.fences); n > 0 && fence <= s.fences[n-1] {
				return fmt.Sprintf("got fence %d after %d, want it to grow", fence, s.fences[n-1])
			}
			s.fences = append(s.fences, fence)
		}
		proc.held = holding
	}
	return ""
}

// step gets the next action of the process and schedules its execution.
func (s *simulation) step(proc *process) {
	act := proc.machine.next(s.local(proc))
	if act.step == stepSleep {
		wait := float64(act.until.Sub(s.local(proc))) / proc.rate
		// Sleep slightly longer than requested: if the wait were rounded down, the
		// next step would run before the requested time and request another sleep.
		s.after(time.Duration(wait)+time.Microsecond+s.drawPause(), func() { s.finish(proc, act, result{}) })
		return
	}
	if act.step == stepWatch {
		s.after(s.networkDelay(), func() { s.poll(proc, act, s.clock.Now().Add(simTTL)) })
		return
	}
	timeout := time.Duration(float64(act.timeout) / proc.rate)
	answered := false
	answer := func(got result) {
		if !answered {
			answered = true
			s.finish(proc, act, got)
		}
	}
	s.after(timeout+s.drawPause(), func() {
		answer(result{err: failure.New(failure.Ambiguous, "timeout", "none")})
	})
	if s.random.Float64() < s.failed {
		s.after(s.networkDelay(), func() { answer(result{err: failure.New(failure.Unavailable, "down", "none")}) })
		return
	}
	s.after(s.networkDelay(), func() { // runs even after the timeout, since a call may arrive late
		got := s.call(proc, act)
		if s.random.Float64() >= s.lost {
			s.after(s.networkDelay()+s.drawPause(), func() { answer(got) })
		}
	})
}

// finish passes the result to the state machine and schedules the next step.
func (s *simulation) finish(proc *process, act action, got result) {
	proc.machine.handleResult(act, got, s.local(proc))
	s.after(s.drawPause(), func() { s.step(proc) })
}

// poll simulates a blocking watch by checking for changes every 100 ms.
func (s *simulation) poll(proc *process, act action, until time.Time) {
	changes, now, _, err := s.service.Changes(Key("x"), act.after)
	if err == nil && len(changes) == 0 && s.clock.Now().Before(until) {
		s.after(100*time.Millisecond, func() { s.poll(proc, act, until) })
		return
	}
	s.finish(proc, act, result{found: len(changes) > 0, revision: now, err: err})
}

// call executes the action on the service.
func (s *simulation) call(proc *process, act action) result {
	ctx := context.Background()
	holder := Holder{name: "x", store: s.service.Store(), opts: proc.machine.opts}
	return holder.call(ctx, act)
}

// networkDelay returns a random one-way network delay: at most 10 ms in 80 % of
// the cases, else up to s.slowest.
func (s *simulation) networkDelay() time.Duration {
	if s.random.Float64() < 0.8 {
		return time.Duration(s.random.Float64() * float64(10*time.Millisecond))
	}
	return time.Duration(s.random.Float64() * float64(s.slowest))
}

// drawPause returns a random time for which the process is paused before its
// next instruction.
func (s *simulation) drawPause() time.Duration {
	if s.random.Float64() >= s.paused {
		return 0
	}
	return time.Duration(s.random.Float64() * float64(2*simTTL))
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
