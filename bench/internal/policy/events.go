package policy

import (
	"time"
)

// startEvent starts an event of the load.
func (s *sim) startEvent(ev Event) {
	duration := seconds(ev.ForSeconds)
	switch ev.Kind {
	case "burst":
		s.factor *= ev.Factor
		s.after(duration, func() { s.factor /= ev.Factor })
	case "add":
		s.addHosts(ev, duration)
	case "load":
		s.reloadAll(duration)
	default:
		for _, target := range s.sampleHosts(ev.Share) {
			s.applyFault(target, ev, duration)
		}
	}
}

// sampleHosts selects a share of the engines at random.
func (s *sim) sampleHosts(share float64) []*host {
	count := min(len(s.order), int(share*float64(len(s.order))+0.5))
	var sample []*host
	for _, i := range s.rng.Perm(len(s.order))[:count] {
		sample = append(sample, s.order[i])
	}
	return sample
}

// addHosts adds engines at even intervals over the given duration. They are added
// with the model loaded.
func (s *sim) addHosts(ev Event, duration time.Duration) {
	count := int(ev.Share*float64(len(s.order)) + 0.5)
	for i := range count {
		s.after(duration*time.Duration(i)/time.Duration(max(1, count)), func() {
			added := s.addHost(s.rng.IntN(s.load.Regions), true)
			for _, ent := range s.entries {
				ent.register(added)
			}
			s.assignEngines()
		})
	}
}

// applyFault applies a fault to one engine: it disappears, or it stops responding or
// slows down for the given duration.
func (s *sim) applyFault(target *host, ev Event, duration time.Duration) {
	switch ev.Kind {
	case "gone":
		target.unresponsive = true
		target.abortAll()
		s.after(time.Second, func() { s.removeHost(target) })
	case "dark":
		target.unresponsive = true
		target.abortAll()
		s.after(duration, func() { target.unresponsive = false })
	case "slow":
		target.slowdown = ev.Factor
		s.after(duration, func() { target.slowdown = 1 })
	}
}

// removeHost unregisters an engine from all entries.
func (s *sim) removeHost(removed *host) {
	var remaining []*host
	for _, eng := range s.order {
		if eng != removed {
			remaining = append(remaining, eng)
		}
	}
	s.order = remaining
	for _, ent := range s.entries {
		ent.fleet.Remove(removed.id, s.clock())
	}
	s.assignEngines()
}

// reloadAll has all engines load a version, one after another in random order, over
// the given duration.
func (s *sim) reloadAll(duration time.Duration) {
	for i, index := range s.rng.Perm(len(s.order)) {
		eng := s.order[index]
		s.after(duration*time.Duration(i)/time.Duration(len(s.order)), eng.reload)
	}
}

// reload announces a load, aborts the requests that still run after loadNoticePeriod,
// and serves again when the load is complete.
func (h *host) reload() {
	if h.loading || h.unresponsive {
		return
	}
	h.loading = true
	h.sim.after(loadNoticePeriod, func() {
		h.abortAll()
		h.sim.after(millis(h.sim.load.Engine.LoadMillis), func() { h.loading = false })
	})
}
