package once

import (
	"time"

	"github.com/google/uuid"
)

// Time limits of keys.
const (
	// MaxKeyAge is the maximum age at which a key may still be granted.
	MaxKeyAge = time.Hour
	// MaxAhead is how far a caller's clock may be ahead of the owner's.
	MaxAhead = 5 * time.Minute
	// ReclaimDelay is the reclaim delay: how long a key cannot be claimed again after its run
	// was proved not to have happened. A caller that sent the key twice at the same
	// time thus gets the same answer twice. Without the delay the second request would
	// run after the first was answered "notRun".
	ReclaimDelay = 500 * time.Millisecond
	// generationSpan is the creation time span of keys that are removed together.
	generationSpan = time.Minute
)

// State is the result of a claim. The values are sent on the wire.
type State string

// The results of a claim.
const (
	Granted  State = "granted"  // only this claimant may run the request
	Running  State = "running"  // another claimant holds the grant
	Answered State = "answered" // the request ran and was answered completely
	Unknown  State = "unknown"  // the request may have run, or the key is too old to tell
	Mismatch State = "mismatch" // the key was used before for a different request
	NotOwner State = "notOwner" // this process does not decide claims for the key
	Full     State = "full"     // never granted, and the limit of remembered keys is reached
	Held     State = "held"     // not run, and can be claimed again after the reclaim delay
	Ahead    State = "ahead"    // never granted: created in the future by the owner's clock
	Moved    State = "moved"    // the owner's keys were handed over to another process
)

// Outcome is how a granted run ended. The values are sent on the wire.
type Outcome string

// The outcomes of a run.
const (
	RunAnswered Outcome = "answered" // the complete answer was received
	RunNotRun   Outcome = "notRun"   // it is proved that no endpoint received the request
	RunUnknown  Outcome = "unknown"  // anything else
)

// Hash identifies a request's content: the first 16 bytes of a BLAKE3 hash.
type Hash [16]byte

// Claim asks for the right to run the request of a key.
type Claim struct {
	Key   Key
	Hash  Hash      // of customer and body, to detect a key that is reused for another request
	Nonce uuid.UUID // identifies the claimant; new for each arrival of the request at an entry
}

// Verdict answers a Claim.
type Verdict struct {
	State  State
	Answer []byte // for Answered: the answer, if it is still cached
	To     string // for Moved: address of the successor
}

// phase is the progress of a remembered key.
type phase uint8

const (
	phaseFree    phase = iota // may be granted, but not to the recorded nonce, which was settled early
	phaseGranted              // a claimant holds the grant and may be running the request
	phaseAnswered
	phaseUnknown
)

// record is the state of one remembered key. It holds no pointers, so that the
// garbage collector does not scan the maps.
type record struct {
	hash  Hash
	nonce uuid.UUID // of the last grant, or the one settled early in phaseFree
	phase phase
}

// Options limits the memory of a Table.
type Options struct {
	MaxKeys        int // keys remembered at once; claims for further keys get Full
	MaxAnswerBytes int // total size of the answers cached for replay; the oldest are dropped first
}

// Table holds the keys of one shard of an owner. It is not safe for concurrent
// use. Invariants: a key in phaseGranted is held by exactly one nonce; a granted
// key is removed only once it is proved not to have run or claims for it are
// refused by age.
type Table struct {
	options       Options
	floor         time.Time                      // keys created before it are refused; never decreases
	generations   map[int64]map[uuid.UUID]record // by creation time in units of generationSpan
	keys          int                            // sum over generations
	answers       answerCache
	reclaimDelays reclaimDelays // keys recently settled as not run
}

// NewTable returns an empty Table.
func NewTable(options Options) *Table {
	return &Table{
		options:       options,
		generations:   make(map[int64]map[uuid.UUID]record),
		answers:       newAnswerCache(options.MaxAnswerBytes),
		reclaimDelays: newReclaimDelays(),
	}
}

// Keys returns the number of keys remembered.
func (t *Table) Keys() int { return t.keys }

// Claim decides a claim by these rules:
//   - a key created before the floor is Unknown: it may have been granted and
//     then removed;
//   - a released key is Held until the reclaim delay has passed;
//   - any other key that is not remembered was never granted, or is proved not to
//     have run (see Table), so it is granted;
//   - the holder's nonce is granted again, because the first reply may have been
//     lost;
//   - a nonce that was settled before its claim arrived is not granted: its
//     claimant has given up and would neither run nor settle it.
//
// Rule ONEGRANT of spec/once.pml.
func (t *Table) Claim(now time.Time, claim Claim) Verdict {
	t.advance(now)
	created := claim.Key.Created()
	if created.Before(t.floor) {
		return Verdict{State: Unknown}
	}
	rec, known := t.generations[generationOf(created)][claim.Key.id]
	if !known && t.reclaimDelays.has(now, claim.Key.id) {
		return Verdict{State: Held}
	}
	if !known {
		return t.grantNew(now, created, claim)
	}
	if rec.hash != claim.Hash {
		return Verdict{State: Mismatch}
	}
	return t.claimKnown(created, claim, rec)
}

// grantNew grants a key that is not remembered, if there is room and it was not
// created too far in the future.
func (t *Table) grantNew(now, created time.Time, claim Claim) Verdict {
	if created.After(now.Add(MaxAhead)) {
		return Verdict{State: Ahead}
	}
	if t.keys >= t.options.MaxKeys {
		return Verdict{State: Full}
	}
	t.put(created, claim.Key.id, record{hash: claim.Hash, nonce: claim.Nonce, phase: phaseGranted})
	return Verdict{State: Granted}
}

// claimKnown decides a claim for a remembered key by the key's phase.
func (t *Table) claimKnown(created time.Time, claim Claim, rec record) Verdict {
	switch rec.phase {
	case phaseFree:
		if rec.nonce == claim.Nonce {
			return Verdict{State: Unknown}
		}
		rec.nonce = claim.Nonce
		rec.phase = phaseGranted
		t.put(created, claim.Key.id, rec)
		return Verdict{State: Granted}
	case phaseGranted:
		if rec.nonce == claim.Nonce {
			return Verdict{State: Granted}
		}
		return Verdict{State: Running}
	case phaseAnswered:
		return Verdict{State: Answered, Answer: t.answers.get(claim.Key.id)}
	default:
		return Verdict{State: Unknown}
	}
}

// Settle records the outcome of a granted run and reports whether it was
// accepted: only the holder's settlement is, and only once. After notRun and the
// reclaim delay, the key is as if it had never been claimed.
//
// A claimant that stops waiting for the reply to its claim settles notRun. If the
// settlement arrives before the claim, its nonce is remembered; otherwise the
// late claim would be granted to a claimant that no longer waits.
func (t *Table) Settle(now time.Time, claim Claim, outcome Outcome, answer []byte) bool {
	t.advance(now)
	created := claim.Key.Created()
	if created.Before(t.floor) || created.After(now.Add(MaxAhead)) {
		return false
	}
	rec, known := t.generations[generationOf(created)][claim.Key.id]
	if !known {
		if outcome == RunNotRun && t.keys < t.options.MaxKeys {
			t.put(created, claim.Key.id, record{hash: claim.Hash, nonce: claim.Nonce, phase: phaseFree})
		}
		return false
	}
	if rec.phase != phaseGranted || rec.nonce != claim.Nonce {
		return false
	}
	switch outcome {
	case RunNotRun:
		delete(t.generations[generationOf(created)], claim.Key.id)
		t.keys--
		t.reclaimDelays.add(now, claim.Key.id)
		return true
	case RunAnswered:
		rec.phase = phaseAnswered
		t.answers.put(claim.Key.id, answer)
	default:
		rec.phase = phaseUnknown
	}
	t.put(created, claim.Key.id, rec)
	return true
}

func (t *Table) put(created time.Time, id uuid.UUID, rec record) {
	index := generationOf(created)
	generation := t.generations[index]
	if generation == nil {
		generation = make(map[uuid.UUID]record)
		t.generations[index] = generation
	}
	if _, known := generation[id]; !known {
		t.keys++
	}
	generation[id] = rec
}

// advance raises the floor and removes the generations below it. The floor never
// decreases: if a clock step back lowered it, removed keys would be granted a
// second time. Keys carry wall-clock times, so the floor is one too; Round strips
// the monotonic reading, which would hide a clock step.
func (t *Table) advance(now time.Time) {
	floor := now.Add(-MaxKeyAge).Round(0)
	if !floor.After(t.floor) {
		return
	}
	t.floor = floor
	oldest := generationOf(floor)
	for index, generation := range t.generations {
		if index < oldest {
			t.keys -= len(generation)
			delete(t.generations, index)
		}
	}
}

func generationOf(created time.Time) int64 {
	return created.UnixMilli() / generationSpan.Milliseconds()
}
