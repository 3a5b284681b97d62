package once

import "github.com/google/uuid"

// answers keeps the latest answers for replay within a bound of bytes.
type answers struct {
	maxBytes int
	bytes    int // sum of the lengths in byID; at most maxBytes
	byID     map[uuid.UUID][]byte
	order    []uuid.UUID // oldest first; holds exactly the keys of byID
}

func newAnswers(maxBytes int) answers {
	return answers{maxBytes: maxBytes, byID: make(map[uuid.UUID][]byte)}
}

func (a *answers) get(id uuid.UUID) []byte { return a.byID[id] }

// put keeps the answer unless it is empty or would take most of the room.
func (a *answers) put(id uuid.UUID, answer []byte) {
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

func (a *answers) dropOldest() {
	oldest := a.order[0]
	a.order = a.order[1:]
	a.bytes -= len(a.byID[oldest])
	delete(a.byID, oldest)
}
