package once

import (
	"time"

	"github.com/google/uuid"
)

// maxHolds bounds the keys held at once in one table. Beyond it the oldest is
// let go early, which costs consistency between two sendings at once, never a
// second run.
const maxReclaimDelays = 4096

// holds remembers keys for the time of Hold.
type reclaimDelays struct {
	until map[uuid.UUID]time.Time
	order []uuid.UUID // oldest first; holds exactly the keys of until
}

func newReclaimDelays() reclaimDelays { return reclaimDelays{until: make(map[uuid.UUID]time.Time)} }

func (h *reclaimDelays) add(now time.Time, id uuid.UUID) {
	h.dropExpired(now)
	if _, known := h.until[id]; known {
		return
	}
	if len(h.order) >= maxReclaimDelays {
		h.dropOldest()
	}
	h.until[id] = now.Add(Hold)
	h.order = append(h.order, id)
}

func (h *reclaimDelays) has(now time.Time, id uuid.UUID) bool {
	until, known := h.until[id]
	return known && now.Before(until)
}

func (h *reclaimDelays) dropExpired(now time.Time) {
	for len(h.order) > 0 && !now.Before(h.until[h.order[0]]) {
		h.dropOldest()
	}
}

func (h *reclaimDelays) dropOldest() {
	delete(h.until, h.order[0])
	h.order = h.order[1:]
}
