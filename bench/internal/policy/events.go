package policy

import (
	"time"
)

// happen starts an event of the load.
func (s *sim) happen(one Event) {
	last := seconds(one.ForSeconds)
	switch one.Kind {
	case "burst":
		s.factor *= one.Factor
		s.after(last, func() { s.factor /= one.Factor })
	case "add":
		s.add(one, last)
	case "load":
		s.loadAll(last)
	default:
		for _, hit := range s.chosen(one.Share) {
			s.strike(hit, one, last)
		}
	}
}

// chosen selects a share of the engines at random.
func (s *sim) chosen(share float64) []*host {
	count := min(len(s.order), int(share*float64(len(s.order))+0.5))
	var list []*host
	for _, i := range s.rng.Perm(len(s.order))[:count] {
		list = append(list, s.order[i])
	}
	return list
}

// add adds engines at even intervals over the duration last. They are added with
// the model loaded.
func (s *sim) add(one Event, last time.Duration) {
	count := int(one.Share*float64(len(s.order)) + 0.5)
	for i := range count {
		s.after(last*time.Duration(i)/time.Duration(max(1, count)), func() {
			added := s.addHost(s.rng.IntN(s.load.Regions), true)
			for _, ent := range s.entries {
				ent.register(added)
			}
			s.deal()
		})
	}
}

// strike applies a fault to one engine: it disappears, or it stops responding or
// slows down for the duration last.
func (s *sim) strike(hit *host, one Event, last time.Duration) {
	switch one.Kind {
	case "gone":
		hit.dark = true
		hit.cut()
		s.after(time.Second, func() { s.remove(hit) })
	case "dark":
		hit.dark = true
		hit.cut()
		s.after(last, func() { hit.dark = false })
	case "slow":
		hit.slow = one.Factor
		s.after(last, func() { hit.slow = 1 })
	}
}

// remove unregisters an engine from all entries.
func (s *sim) remove(gone *host) {
	var left []*host
	for _, one := range s.order {
		if one != gone {
			left = append(left, one)
		}
	}
	s.order = left
	for _, ent := range s.entries {
		ent.fleet.Remove(gone.id, s.clock())
	}
	s.deal()
}

// loadAll has all engines load a version, one after another in random order, over
// the duration last.
func (s *sim) loadAll(last time.Duration) {
	for i, at := range s.rng.Perm(len(s.order)) {
		one := s.order[at]
		s.after(last*time.Duration(i)/time.Duration(len(s.order)), one.reload)
	}
}

// reload announces a load, aborts the requests that still run after noticeTime,
// and serves again when the load is complete.
func (h *host) reload() {
	if h.ordering || h.dark {
		return
	}
	h.ordering = true
	h.sim.after(noticeTime, func() {
		h.cut()
		h.sim.after(millis(h.sim.load.Engine.LoadMillis), func() { h.ordering = false })
	})
}
