package main

import (
	"fmt"
	"time"
)

// runEmptied takes the keys of one tenant away, then, as the disruption, those of the last one, by
// a configuration whose list of tenants is empty. It counts the requests that were sent with a key
// more than revoke_ms after the configuration that took it away was acknowledged, and that ran all
// the same.
func runEmptied(w *world, trouble bool) (int, error) {
	const firstKey, lastKey, unknownKey = "firstkeyaaaaaaaaaaaa", "lastkeybbbbbbbbbbbbb", "nokeyccccccccccccccc"
	platform := newStore(w.record)
	if _, err := listen(w.address(platformGroup, 1, storePort), platform); err != nil {
		return 0, err
	}
	routes := []map[string]any{route("desk", "/desk/", "non_idempotent", "desk", 2000, 100, 1)}
	services := []map[string]any{plainService("desk")}
	platform.put("op/config", config(3, routes, services, []map[string]any{tenant("first", firstKey), tenant("last", lastKey)}))
	var workers []*worker
	for i := 1; i <= 3; i++ {
		one, err := w.startWorker("desk", i, fmt.Sprintf("i-desk-%d", i), 15*time.Millisecond)
		if err != nil {
			return 0, err
		}
		platform.put("servers/"+one.id, one.registration(1))
		workers = append(workers, one)
	}
	const entries = 3
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
	time.Sleep(contact) // all machines are in touch from here on
	all := &callers{world: w, record: w.record}
	stop := make(chan struct{})
	for i := 1; i <= entries; i++ {
		for _, key := range []string{firstKey, lastKey, unknownKey} {
			all.run(i, request{host: "review.example", path: "/desk/lookup", key: key, deadline: 2 * time.Second, gap: 100 * time.Millisecond}, stop)
		}
	}
	time.Sleep(3 * time.Second)
	taken := map[string]time.Time{unknownKey: w.record.began}
	taken[firstKey] = platform.put("op/config", config(8, routes, services, []map[string]any{tenant("last", lastKey)}))
	time.Sleep(revokeBound + 3*time.Second)
	if trouble {
		taken[lastKey] = platform.put("op/config", config(12, routes, services, []map[string]any{}))
	}
	time.Sleep(revokeBound + 5*time.Second)
	close(stop)
	all.wg.Wait()
	return judgeKeys(w, workers, all.all(), taken), nil
}

// judgeKeys counts the requests that ran though their key had been taken away more than revoke_ms
// before they were sent.
func judgeKeys(w *world, workers []*worker, outcomes []outcome, taken map[string]time.Time) int {
	ran := map[string]arrival{}
	for _, one := range workers {
		for _, arrived := range one.all() {
			ran[arrived.attempt] = arrived
		}
	}
	type tally struct{ sent, ran, late, lateRan int }
	tallies := map[string]*tally{}
	broken := 0
	for _, out := range outcomes {
		count := tallies[out.key]
		if count == nil {
			count = &tally{}
			tallies[out.key] = count
		}
		arrived, did := ran[out.attempt]
		count.sent++
		if did {
			count.ran++
		}
		at, gone := taken[out.key]
		if !gone || !out.sent.After(at.Add(revokeBound)) {
			continue
		}
		count.late++
		if !did {
			continue
		}
		count.lateRan++
		broken++
		if broken <= 5 {
			w.record.say("%s was sent with key %s %.3f s after it was taken away, ran at %s for tenant %q and got %d",
				out.attempt, out.key, out.sent.Sub(at).Seconds(), arrived.worker, arrived.tenant, out.status)
		}
	}
	for key, count := range tallies {
		w.record.say("key %s: %d requests sent, %d ran; %d sent too late, of which %d ran", key, count.sent, count.ran, count.late, count.lateRan)
	}
	return broken
}
