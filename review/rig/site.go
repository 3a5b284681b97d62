package main

import (
	"fmt"
	"time"
)

// modelSite is a small deployment with engines: the platform's store, the origin of weights, entries,
// engines and their agents.
type modelSite struct {
	world                     *world
	platform                  *store
	doors                     *mutableListener // of the store
	llms                      []*engine
	programs                  []*process // entries and agents
	entries                   int
	key                       string
	routes, services, tenants []map[string]any
}

// streamRoute returns a route of streams that may be resumed.
func streamRoute(name, prefix string) map[string]any {
	stream := route(name, prefix, "streaming", "llm", 6000, 400, 2)
	stream["sticky"], stream["resumable"], stream["gap_aim_ms"] = true, true, 400
	return stream
}

// startModelSite starts a deployment whose engines have version 1, and waits until all machines are
// in touch.
func (w *world) startModelSite(entries, engines int, key string) (*modelSite, error) {
	s := &modelSite{world: w, platform: newStore(w.record), entries: entries, key: key}
	var err error
	if s.doors, err = listenMutable(w.address(platformGroup, 1, storePort), s.platform); err != nil {
		return nil, err
	}
	originAddress := w.address(platformGroup, 2, originPort)
	if _, err := listen(originAddress, origin{}); err != nil {
		return nil, err
	}
	s.routes = []map[string]any{streamRoute("note", "/note/")}
	s.services = []map[string]any{
		engineService("llm"),
		{"name": "weights", "origin": originAddress, "zone": zoneOf(1), "link_mbps": 7.3, "max_conns": 48},
	}
	s.tenants = []map[string]any{tenant("counter", key)}
	s.platform.put("op/config", config(3, s.routes, s.services, s.tenants))
	s.nameVersion(1)
	for i := 1; i <= engines; i++ {
		one, err := w.startEngine("llm", i)
		if err != nil {
			return nil, err
		}
		s.platform.put("servers/"+one.id, one.registration())
		s.llms = append(s.llms, one)
	}
	for i := 1; i <= entries; i++ {
		p, err := w.start(fmt.Sprintf("front-%d", i), "comfreyentry", w.entrySettings(i))
		if err != nil {
			return nil, err
		}
		s.programs = append(s.programs, p)
	}
	for i := 1; i <= engines; i++ {
		p, err := w.start(fmt.Sprintf("side-%d", i), "comfreyagent", w.agentSettings(i, "llm"))
		if err != nil {
			return nil, err
		}
		s.programs = append(s.programs, p)
	}
	for i := 1; i <= entries; i++ {
		if err := w.waitReady(i, 15*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(contact + 3*time.Second) // all machines are in touch from here on
	return s, nil
}

// nameVersion names a version of the weights and returns the time of the acknowledgement.
func (s *modelSite) nameVersion(version int) time.Time {
	return s.platform.put("op/version/"+modelName, map[string]any{"model": modelName, "version": version})
}

// press starts callers of streams at each entry, which go on until stop is closed.
func (s *modelSite) press(all *callers, callersOfEntry int, stop <-chan struct{}) {
	for i := 1; i <= s.entries; i++ {
		for range callersOfEntry {
			all.run(i, request{
				host: "review.example", path: "/note/draft", key: s.key, deadline: 6 * time.Second, gap: 60 * time.Millisecond,
				headers: map[string]string{"X-Model": modelName, "X-Token-Counts": "600,50", "X-Prompt-Prefix": "5c1e07a2:40,91bd3f06:560"},
			}, stop)
		}
	}
}
