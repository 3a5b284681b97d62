package onsite

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"comfreyrelay.example/platform/platformtest"
)

// Guards against requests that reach the former service of a route after the bound for a change, at
// entries that are still reading a large configuration over the link that their region shares.
func TestLateChangeSendsNothingToFormerService(t *testing.T) {
	const (
		valueBytes    = 880 << 10
		entries       = 12
		slowBandwidth = 1 << 20 // bytes per second; two entries need 2.3 s to read the change, twelve 14 s
	)
	r := newStartGroup(t, entries, valueBytes)
	former, next := r.addWorker("former"), r.addWorker("next")
	r.moveRoute("former")
	r.putConfig(2)
	for _, entry := range r.fleet.entries {
		r.awaitService(t, entry, former)
	}
	r.link.SetBandwidth(slowBandwidth)
	r.moveRoute("next")
	r.putConfig(3)
	changedAt := time.Now()
	var senders sync.WaitGroup
	for _, entry := range r.fleet.entries {
		senders.Go(func() {
			for time.Since(changedAt) < 2*defaultApply {
				body := "in time"
				if time.Since(changedAt) > defaultApply {
					body = "late"
				}
				r.fleet.send(entry, body)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	if got := former.RequestCount("late"); got > 0 {
		t.Errorf("got %d requests at the former service that were sent %v after the change, want none", got, defaultApply)
	}
	for _, entry := range r.fleet.entries {
		r.awaitService(t, entry, next)
	}
}

// addWorker starts a worker of a service with its own name.
func (r *startGroup) addWorker(service string) *platformtest.Worker {
	t := r.fleet.t
	t.Helper()
	worker, err := platformtest.NewWorker("i-"+service, platformtest.Behaviour{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Crash)
	r.fleet.store.Put("servers/i-"+service, worker.Registration(service, "d1", 64))
	return worker
}

// moveRoute routes the requests of testFleet.send to a service in the next configuration.
func (r *startGroup) moveRoute(service string) {
	route := map[string]any{
		"name": "r-1", "host": "a.example", "path_prefix": "/x/", "kind": "idempotent",
		"timeout_ms": 5000, "target_latency_ms": 2000, "service": service, "max_attempts": 2,
	}
	routes := r.config["routes"].([]map[string]any)
	if routes[0]["name"] == "r-1" {
		routes = routes[1:]
	}
	r.config["routes"] = append([]map[string]any{route}, routes...)
	r.config["services"] = []map[string]any{{"name": "app"}, {"name": service}}
}

// awaitService waits until an entry sends requests to the worker.
func (r *startGroup) awaitService(t *testing.T, entry *runningEntry, worker *platformtest.Worker) {
	t.Helper()
	body := "at " + entry.cfg.GetNode().GetId()
	eventually(t, entry.cfg.GetNode().GetId()+" uses the service", func() error {
		before := worker.RequestCount(body)
		if got := r.fleet.send(entry, body); got != http.StatusOK || worker.RequestCount(body) == before {
			return fmt.Errorf("status %d", got)
		}
		return nil
	})
}
