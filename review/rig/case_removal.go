package main

import (
	"fmt"
	"time"
)

// runRemoval lets workers leave that never report draining: their entries are removed, and they go
// on serving for drain_ms and some time more before they exit. As the disruption, all open
// connections to the store go silent just before each removal; new ones work. It counts the
// requests that reach a worker more than drain_ms after its removal was acknowledged, from
// contact_ms after the connections went silent on, when the entries are in touch again.
func runRemoval(w *world, trouble bool) (int, error) {
	const (
		key     = "deskkeyaaaaaaaaaaaaa"
		entries = 3
		rounds  = 4
		// linger is how much longer than drain_ms a leaving worker serves.
		linger = 2 * time.Second
		// beforeSilence is the time from the registration of a new worker to the disruption.
		beforeSilence = 400 * time.Millisecond
		// beforeRemoval is the time from the disruption to the removal.
		beforeRemoval = 100 * time.Millisecond
	)
	platform := newStore(w.record)
	doors, err := listenMutable(w.address(platformGroup, 1, storePort), platform)
	if err != nil {
		return 0, err
	}
	routes := []map[string]any{route("desk", "/desk/", "non_idempotent", "desk", 2000, 100, 1)}
	platform.put("op/config", config(3, routes, []map[string]any{plainService("desk")}, []map[string]any{tenant("counter", key)}))
	next := 0
	begin := func() (*worker, error) {
		next++
		one, err := w.startWorker("desk", next, fmt.Sprintf("i-desk-%d", next), 100*time.Millisecond)
		if err == nil {
			platform.put("servers/"+one.id, one.registration(1))
		}
		return one, err
	}
	var workers []*worker
	for range 3 {
		one, err := begin()
		if err != nil {
			return 0, err
		}
		workers = append(workers, one)
	}
	for i := 1; i <= entries; i++ {
		if _, err := w.start(fmt.Sprintf("front-%d", i), "comfreyentry", w.entrySettings(i)); err != nil {
			return 0, err
		}
	}
	for i := 1; i <= entries; i++ {
		if err := w.waitReady(i, 15*time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(contact + time.Second) // all machines are in touch from here on
	all := &callers{world: w, record: w.record}
	stop := make(chan struct{})
	for i := 1; i <= entries; i++ {
		for range 3 {
			all.run(i, request{host: "review.example", path: "/desk/lookup", key: key, deadline: 2 * time.Second, gap: 60 * time.Millisecond}, stop)
		}
	}
	time.Sleep(2 * time.Second)
	leaves := map[string]leave{}
	for round := range rounds {
		time.Sleep(2 * contact)
		// The worker that comes for the one that leaves registers shortly before that.
		one, err := begin()
		if err != nil {
			return 0, err
		}
		workers = append(workers, one)
		time.Sleep(beforeSilence)
		leaving := workers[round]
		silent := time.Now().Add(-contact)
		if trouble {
			silent = time.Now()
			w.record.add("store", "%d open connections go silent", doors.mute())
		}
		time.Sleep(beforeRemoval)
		leaves[leaving.id] = leave{removed: platform.remove("servers/" + leaving.id), inTouch: silent.Add(contact)}
		time.Sleep(drainBound + linger)
		leaving.exit()
		time.Sleep(time.Second)
	}
	close(stop)
	all.wg.Wait()
	return judgeRemovals(w, workers, all.all(), leaves), nil
}

// leave is the end of a worker's registration.
type leave struct {
	removed time.Time // acknowledged
	inTouch time.Time // the entries are in touch from here on
}

// judgeRemovals counts the requests that reached a worker too late, and says which of them were
// lost.
func judgeRemovals(w *world, workers []*worker, outcomes []outcome, leaves map[string]leave) int {
	answers := map[string]outcome{}
	for _, out := range outcomes {
		answers[out.attempt] = out
	}
	late, lost := 0, 0
	for _, one := range workers {
		left, gone := leaves[one.id]
		if !gone {
			continue
		}
		here, last := 0, time.Duration(0)
		for _, arrived := range one.all() {
			after := arrived.at.Sub(left.removed)
			last = max(last, after)
			answer := answers[arrived.attempt]
			// A request that was taken before the entry was in touch does not count.
			if after <= drainBound || !answer.sent.After(left.inTouch) {
				continue
			}
			late++
			here++
			if !arrived.complete {
				lost++
			}
			w.record.add("verdict", "%s reached %s %.3f s after its removal was acknowledged and %.3f s after its entry was in touch; run complete: %v; its caller got %d %s",
				arrived.attempt, one.id, after.Seconds(), arrived.at.Sub(left.inTouch).Seconds(), arrived.complete, answer.status, answer.reason)
		}
		w.record.say("%s: %d requests too late; the last request came %.3f s after the removal", one.id, here, last.Seconds())
	}
	statuses := map[int]int{}
	for _, out := range outcomes {
		statuses[out.status]++
	}
	w.record.say("%d requests too late, %d of them cut off at the worker's exit; answers by status (0: none): %v", late, lost, statuses)
	return late
}
