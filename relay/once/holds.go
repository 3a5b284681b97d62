package once

import (
	"time"

	"github.com/google/uuid"
)

// maxHolds bounds the keys held at once in one table. Beyond it the oldest is
// let go early, which costs consistency between two sendings at once, never a
// second run.
const maxHolds = 4096

// holds remembers keys for the time of Hold.
type holds struct {
	until map[uuid.UUID]time.Time
	order []uuid.UUID // oldest first; holds exactly the keys of until
}

func newHolds() holds { return holds{until: make(map[uuid.UUID]time.Time)} }

func (h *holds) add(now time.Time, id uuid.UUID) {
	h.forget(now)
	if _, known := h.until[id]; known {
		return
	}
	if len(h.order) >= maxHolds {
		h.dropOldest()
	}
	h.until[id] = now.Add(Hold)
	h.order = append(h.order, id)
}

func (h *holds) has(now time.Time, id uuid.UUID) bool {
	until, known := h.until[id]
	return known && now.Before(until)
}

func (h *holds) forget(now time.Time) {
	for len(h.order) > 0 && !now.Before(h.until[h.order[0]]) {
		h.dropOldest()
	}
}

func (h *holds) dropOldest() {
	delete(h.until, h.order[0])
	h.order = h.order[1:]
}
