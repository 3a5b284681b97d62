package fallback

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// serviceLevel counts the hosts of one model at one moment.
type serviceLevel struct {
	count, planned, plannedServing int
	taken, takenServing            int
	idle                           int // live hosts without any model
}

func (r *run) serviceLevel(name string, count int) serviceLevel {
	out := serviceLevel{count: count}
	plan := map[string]string{}
	for _, assignment := range r.plan.GetAssignments() {
		plan[assignment.GetHost()] = assignment.GetModel()
	}
	for id, h := range r.hosts {
		if !h.alive {
			continue
		}
		switch {
		case plan[id] == name:
			out.planned++
			if h.has == name {
				out.plannedServing++
			}
		case h.taken == name:
			out.taken++
			if h.has == name {
				out.takenServing++
			}
		case plan[id] == "" && h.taken == "" && h.has == "":
			out.idle++
		}
	}
	return out
}

// randomEvent applies one random event to the simulation.
func randomEvent(t *rapid.T, r *run) {
	ids := r.order
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "host")]
	h := r.hosts[id]
	switch rapid.SampledFrom([]string{"replace", "kill", "back", "add"}).Draw(t, "event") {
	case "replace":
		if h.alive {
			r.kill(id)
			r.add()
		}
	case "kill":
		if h.alive {
			r.kill(id)
		}
	case "back":
		if !h.alive {
			r.restart(id)
		}
	case "add":
		r.add()
	}
}

func randomRun(t *rapid.T, reportChance float64) (*run, map[string]int) {
	counts := map[string]int{}
	total := 0
	for i := range rapid.IntRange(1, 3).Draw(t, "models") {
		counts[fmt.Sprintf("m%d", i)] = rapid.IntRange(1, 4).Draw(t, "count")
		total += counts[fmt.Sprintf("m%d", i)]
	}
	r := newRun(rapid.Uint64().Draw(t, "seed"), total+rapid.IntRange(0, 3).Draw(t, "spare"), counts, fallbackInOutage)
	r.reportChance = reportChance
	return r, counts
}

// TestNoDecisionsWithoutOutage checks that only the planner decides while the
// service confirms the document, whichever hosts are added or lost.
func TestNoDecisionsWithoutOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, _ := randomRun(t, rapid.Float64Range(0.1, 1).Draw(t, "fresh"))
		for range rapid.IntRange(1, 10).Draw(t, "events") {
			randomEvent(t, r)
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				r.advance()
				for id, h := range r.hosts {
					if h.taken != "" {
						t.Fatalf("got %s on %s without an outage, want nothing", h.taken, id)
					}
				}
			}
		}
	})
}

// TestIdenticalViews checks that hosts that see the same reports never take more
// replica slots than are vacant, and that in the end no host is idle while a
// model lacks a replica.
func TestIdenticalViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, counts := randomRun(t, 1)
		r.outage(false)
		for range rapid.IntRange(1, 10).Draw(t, "events") {
			randomEvent(t, r)
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				r.advance()
				for name, count := range counts {
					checkNoExcess(t, r, r.serviceLevel(name, count))
				}
			}
		}
		for range 120 {
			r.advance()
		}
		checkSettled(t, r, counts)
		checkRecovery(t, r, counts)
	})
}

// checkNoExcess checks that no more replica slots are taken than are vacant.
func checkNoExcess(t *rapid.T, r *run, now serviceLevel) {
	if excess := now.takenServing - max(0, now.count-now.plannedServing); excess > 0 && !hostJustBecameServing(r) {
		t.Fatalf("got %+v at step %d, want no more slots taken by serving hosts than are vacant", now, r.step)
	}
	if excess := now.taken - now.takenServing - max(0, now.count-now.planned); excess > 0 {
		t.Fatalf("got %+v at step %d, want no more slots taken by hosts that do not serve yet than are vacant", now, r.step)
	}
}

// hostJustBecameServing reports whether a host began to serve in this step. The
// other hosts have not seen that yet.
func hostJustBecameServing(r *run) bool {
	for _, h := range r.hosts {
		if h.alive && h.servesAt == r.step {
			return true
		}
	}
	return false
}

// checkSettled checks that every replica slot that can be filled is filled once
// views agree and no events occur.
func checkSettled(t *rapid.T, r *run, counts map[string]int) {
	for name, count := range counts {
		now := r.serviceLevel(name, count)
		serving := now.plannedServing + now.takenServing
		if serving < count && now.idle > 0 {
			t.Fatalf("got %s at %+v, want no idle host while a replica is missing", name, now)
		}
		if now.taken > max(0, count-now.planned) {
			t.Fatalf("got %s at %+v, want no excess replica", name, now)
		}
	}
}

// checkRecovery ends the outage and checks that some time after the planner is
// back no host keeps a slot from this package. Models keep as many serving
// replicas as before if there are enough hosts for all replicas; otherwise the
// planner's choice of the model to leave short takes precedence over this
// package's choice.
func checkRecovery(t *rapid.T, r *run, counts map[string]int) {
	before := map[string]int{}
	total, alive := 0, 0
	for _, h := range r.hosts {
		if h.alive {
			alive++
		}
	}
	for name, count := range counts {
		now := r.serviceLevel(name, count)
		before[name] = min(count, now.plannedServing+now.takenServing)
		total += count
	}
	enough := alive >= total
	r.outage(true)
	for range 150 {
		r.advance()
		for name, count := range counts {
			if now := r.serviceLevel(name, count); enough && min(count, now.plannedServing+now.takenServing) < before[name] {
				t.Fatalf("got %s at %+v after the outage, want %d serving", name, now, before[name])
			}
		}
	}
	for id, h := range r.hosts {
		if h.taken != "" {
			t.Fatalf("got %s on %s long after the outage, want only what is in the plan", h.taken, id)
		}
	}
}

// TestDifferingViews delays and drops the reports that hosts receive. It checks
// that planned hosts take nothing from this package meanwhile, and that soon
// after the views agree there are no excess replicas.
func TestDifferingViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, counts := randomRun(t, rapid.Float64Range(0.02, 0.5).Draw(t, "fresh"))
		r.outage(false)
		for range rapid.IntRange(1, 10).Draw(t, "events") {
			randomEvent(t, r)
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				r.advance()
				for id, h := range r.hosts {
					if isPlanned(r.plan, id) && h.taken != "" {
						t.Fatalf("got %s on the planned host %s, want only what is in the plan", h.taken, id)
					}
				}
			}
		}
		r.reportChance = 1
		for range 120 {
			r.advance()
		}
		checkSettled(t, r, counts)
		checkRecovery(t, r, counts)
	})
}

// TestExcessReplicas measures how many excess replicas differing views cause
// when two hosts are replaced at once and reports take a given time on average.
func TestExcessReplicas(t *testing.T) {
	const runs = 20
	for _, reportChance := range []float64{1, 0.5, 0.2, 0.05} {
		worst, runsWithExcess := 0, 0
		for seed := range uint64(runs) {
			r := newRun(seed, 10, map[string]int{"m0": 4, "m1": 4}, fallbackInOutage)
			r.reportChance = reportChance
			r.outage(false)
			for _, victim := range rand.New(rand.NewPCG(seed, 2)).Perm(10)[:2] {
				r.kill(r.order[victim])
				r.add()
			}
			for range 150 {
				r.advance()
			}
			worst = max(worst, r.maxExcess)
			if r.maxExcess > 0 {
				runsWithExcess++
			}
		}
		t.Logf("a report arrives after %.0f s on average: %d of %d runs had excess replicas, at most %d", 1/reportChance, runsWithExcess, runs, worst)
		if reportChance == 1 && worst > 0 {
			t.Errorf("got %d excess replicas with identical views, want 0", worst)
		}
		// The two spare hosts and the two new ones are outside the plan.
		if worst > 4 {
			t.Errorf("got %d excess replicas, want at most one for each of 4 hosts outside the plan", worst)
		}
	}
}

// TestCompareStrategies runs three strategies through an outage of half an hour
// in which hosts are replaced under new IDs. It measures the missing replicas
// and the hosts that left a model that they served.
func TestCompareStrategies(t *testing.T) {
	strategies := []struct {
		name           string
		decide         func(r *run, h *simHost)
		withoutPlanner bool
	}{
		{"nothing", neverFallback, false},
		{"pure function always", rendezvousOnly, true},
		{"fallback in an outage", fallbackInOutage, false},
	}
	missing := map[string]int{}
	for _, strategy := range strategies {
		r := newRun(7, 35, map[string]int{"m0": 8, "m1": 8, "m2": 8, "m3": 8}, strategy.decide)
		if strategy.withoutPlanner {
			// This strategy runs without a planner.
			r.plan, r.plannerOff = nil, true
			for range 120 {
				r.advance()
			}
			r.switches, r.missing, r.maxExcess = 0, 0, 0
		}
		r.reportChance = 0.5
		r.outage(false)
		rng := rand.New(rand.NewPCG(7, 3))
		for step := range 1800 {
			if step%300 == 60 {
				var alive []string
				for _, id := range r.order {
					if r.hosts[id].alive {
						alive = append(alive, id)
					}
				}
				r.kill(alive[rng.IntN(len(alive))])
				r.add()
			}
			r.advance()
		}
		r.reportChance = 1
		outage := r.missing
		r.outage(true)
		for range 300 {
			r.advance()
		}
		missing[strategy.name] = outage
		t.Logf("%s: 6 of 35 hosts replaced in half an hour, replica-seconds missing %d (of 57600), then %d after the outage, hosts that left a model they served %d, excess replicas at most %d",
			strategy.name, outage, r.missing-outage, r.switches, r.maxExcess)
	}
	if got, nothing := missing["fallback in an outage"], missing["nothing"]; got*2 > nothing {
		t.Errorf("got %d replica-seconds missing with the fallback, want less than half of the %d without", got, nothing)
	}
}
