package once

import (
	"time"

	"github.com/google/uuid"
)

// maxReclaimDelays limits the keys that a Table delays at once. Beyond it the
// oldest becomes claimable early: two copies of a request sent at the same time
// may then get different answers, but the request never runs twice.
const maxReclaimDelays = 4096

// reclaimDelays remembers released keys until they may be claimed again.
type reclaimDelays struct {
	until map[uuid.UUID]time.Time
	order []uuid.UUID // oldest first; contains exactly the keys of until
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
	h.until[id] = now.Add(ReclaimDelay)
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
