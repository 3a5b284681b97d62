package once

import (
	"time"

	"github.com/google/uuid"
)

// Bounds on the age of keys.
const (
	// Horizon is how long after its making a key may get a run.
	Horizon = time.Hour
	// MaxAhead is how far a caller's clock may run ahead of the owner's.
	MaxAhead = 5 * time.Minute
	// Hold is how long a key stays refused after its run was proved not to have
	// happened. A caller that sent the key twice at once gets the same answer twice;
	// without it the later sending would run after the earlier one's "notRun".
	Hold = 500 * time.Millisecond
	// generationSpan is the time whose keys are forgotten together.
	generationSpan = time.Minute
)

// State answers a claim. Its values are the wire's.
type State string

// The answers to a claim.
const (
	Granted  State = "granted"  // the claimant, and nobody else, may run it
	Running  State = "running"  // another claimant holds the grant
	Answered State = "answered" // it ran to its end
	Unknown  State = "unknown"  // it may have run, or the key is too old to know
	Mismatch State = "mismatch" // the key named another request before
	NotOwner State = "notOwner" // this process cannot grant the key
	Full     State = "full"     // never granted, and there is no room to remember it
	Held     State = "held"     // never run, and may be claimed again after Hold
	Ahead    State = "ahead"    // never granted: made in the future by the owner's clock
	Moved    State = "moved"    // another process took the owner's keys over
)

// Outcome says how a granted run ended. Its values are the wire's.
type Outcome string

// The outcomes of a run.
const (
	RunAnswered Outcome = "answered" // the whole answer arrived
	RunNotRun   Outcome = "notRun"   // proved: no back end ever saw it
	RunUnknown  Outcome = "unknown"  // anything else
)

// Hash identifies a request's content: the first 16 bytes of a BLAKE3 hash.
type Hash [16]byte

// Claim asks for the right to run a key.
type Claim struct {
	Key   Key
	Hash  Hash      // of customer and body: one key may not name two requests
	Nonce uuid.UUID // new for each arrival of the request at an entry
}

// Verdict answers a Claim.
type Verdict struct {
	State  State
	Answer []byte // with Answered, where it is still kept
	To     string // with Moved: address of the successor
}

// phase is how far a remembered key is.
type phase uint8

const (
	phaseFree    phase = iota // its nonce was settled before it was granted
	phaseGranted              // somebody may be running it
	phaseAnswered
	phaseUnknown
)

// record is what the owner remembers of one key. It holds no pointers, so that
// the collector does not scan the maps.
type record struct {
	hash  Hash
	nonce uuid.UUID // of the last grant
	phase phase
}

// Options bounds a Table.
type Options struct {
	MaxKeys        int // keys remembered at once; a further one is Full
	MaxAnswerBytes int // answers kept for replay; the oldest go first
}

// Table is the memory of one owner for one shard of its keys. It is not safe
// for concurrent use. Invariants: a key in phaseGranted is held by exactly one
// nonce; a key leaves the table only when claims for it are refused by age.
type Table struct {
	options       Options
	floor         time.Time // keys made before it are refused; never falls
	generations   map[int64]map[uuid.UUID]record
	keys          int // sum over generations
	answers       answerCache
	reclaimDelays reclaimDelays // keys settled as not run just now
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

// Claim decides about one claim. The rules:
//   - a key made before the floor is Unknown: it may have been granted and
//     forgotten;
//   - a key not remembered was never granted (see Table), so it is granted;
//   - the holder's nonce is granted again: its reply may have been lost;
//   - a nonce that was settled before its claim came is not granted: nobody
//     would run or settle it.
//
// Rule ONEGRANT of spec/once.pml.
func (t *Table) Claim(now time.Time, claim Claim) Verdict {
	t.advance(now)
	created := claim.Key.Made()
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

// Settle records how the run of a grant ended and reports whether it counted:
// only the holder's report counts, and only once. After notRun and the Hold the
// key is as if it had never been claimed.
//
// A claimant that gave up waiting for its claim's reply settles notRun. Where
// that overtakes the claim, the settled nonce is remembered here, or the late
// claim would be granted to somebody who no longer listens.
func (t *Table) Settle(now time.Time, claim Claim, outcome Outcome, answer []byte) bool {
	t.advance(now)
	created := claim.Key.Made()
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

// advance raises the floor and forgets whole generations below it. A clock
// that steps back would otherwise lower the floor, and keys already forgotten
// would be granted a second time. Keys bear wall-clock times, so the floor is
// one too: Round strips the monotonic reading, which would hide a step.
func (t *Table) advance(now time.Time) {
	floor := now.Add(-Horizon).Round(0)
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
