package once

import "github.com/google/uuid"

// answerCache keeps the most recent answers for replay, up to maxBytes in total.
type answerCache struct {
	maxBytes int
	bytes    int // sum of the lengths in byID; at most maxBytes
	byID     map[uuid.UUID][]byte
	order    []uuid.UUID // oldest first; contains exactly the keys of byID
}

func newAnswerCache(maxBytes int) answerCache {
	return answerCache{maxBytes: maxBytes, byID: make(map[uuid.UUID][]byte)}
}

func (a *answerCache) get(id uuid.UUID) []byte { return a.byID[id] }

// put caches the answer unless it is empty or larger than a quarter of the cache.
func (a *answerCache) put(id uuid.UUID, answer []byte) {
	if len(answer) == 0 || len(answer) > a.maxBytes/4 {
		return
	}
	for a.bytes+len(answer) > a.maxBytes {
		a.dropOldest()
	}
	a.byID[id] = answer
	a.bytes += len(answer)
	a.order = append(a.order, id)
}

func (a *answerCache) dropOldest() {
	oldest := a.order[0]
	a.order = a.order[1:]
	a.bytes -= len(a.byID[oldest])
	delete(a.byID, oldest)
}
