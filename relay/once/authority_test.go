package once

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// TestNeverTwoRuns simulates owners, claimants and a network that loses, delays
// and duplicates messages. Owners crash and hand over their keys, and the clock
// runs past the keys' maximum age. A key may be run by one claimant at a time, and never again
// unless its last run was proved not to have happened.
func TestNeverTwoRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSim()
		t.Repeat(map[string]func(*rapid.T){
			"make key": func(t *rapid.T) { sim.makeKey(t) },
			"ask":      func(t *rapid.T) { sim.submitClaim(t) },
			"deliver":  func(t *rapid.T) { sim.deliver(t) },
			"end":      func(t *rapid.T) { sim.finishRun(t) },
			"wait": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1200).Draw(t, "seconds")) * time.Second)
			},
			"crash":     func(t *rapid.T) { sim.crash(t) },
			"hand over": func(t *rapid.T) { sim.handOver(t) },
			"": func(t *rapid.T) {
				if sim.violation != "" {
					t.Fatal(sim.violation)
				}
			},
		})
	})
}

type sim struct {
	now        time.Time
	processes  []*Authority
	names      []string
	keys       []Key
	nonces     int
	messages   []func() // claims, settlements and handover parts in transit
	holders    map[Key]uuid.UUID
	started    map[uuid.UUID]bool // nonces whose run was started
	mayHaveRun map[Key]bool       // keys that ran, unless proved not to have run
	violation  string
}

func newSim() *sim {
	s := &sim{now: testStart, holders: make(map[Key]uuid.UUID), started: make(map[uuid.UUID]bool), mayHaveRun: make(map[Key]bool)}
	for range 3 {
		s.startProcess()
	}
	return s
}

func (s *sim) startProcess() {
	name := fmt.Sprintf("owner-%d", len(s.names))
	s.names = append(s.names, name)
	s.processes = append(s.processes, NewAuthority(name, Options{MaxKeys: 64, MaxAnswerBytes: 64}))
}

func (s *sim) process(t *rapid.T) *Authority {
	return s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")]
}

func (s *sim) makeKey(t *rapid.T) {
	owner := s.names[rapid.IntRange(0, len(s.names)-1).Draw(t, "owner")]
	s.keys = append(s.keys, NewKey(owner, idAt(s.now, uint32(len(s.keys)))))
}

// submitClaim sends a claim to any process, the owner or not, once or twice.
func (s *sim) submitClaim(t *rapid.T) {
	if len(s.keys) == 0 {
		return
	}
	s.nonces++
	claim := Claim{Key: rapid.SampledFrom(s.keys).Draw(t, "key"), Nonce: uuid.UUID{byte(s.nonces >> 8), byte(s.nonces)}}
	to := s.process(t)
	send := func() {
		if to.Claim(s.now, claim).State == Granted {
			s.onGrant(claim)
		}
	}
	s.messages = append(s.messages, send)
	if rapid.Bool().Draw(t, "doubled") {
		s.messages = append(s.messages, send)
	}
}

// onGrant starts a run, unless the nonce was granted before: its claimant is
// running the request already, or has finished.
func (s *sim) onGrant(claim Claim) {
	if s.started[claim.Nonce] {
		return
	}
	s.started[claim.Nonce] = true
	if _, held := s.holders[claim.Key]; held || s.mayHaveRun[claim.Key] {
		s.violation = "two grants of one key"
	}
	s.holders[claim.Key] = claim.Nonce
	s.mayHaveRun[claim.Key] = true
}

// deliver delivers or loses a random message, so messages arrive in any order.
func (s *sim) deliver(t *rapid.T) {
	if len(s.messages) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "message")
	message := s.messages[i]
	s.messages = append(s.messages[:i], s.messages[i+1:]...)
	if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
		message()
	}
}

// finishRun ends a run and settles it twice. Only notRun releases the key, and a
// claimant sends it only when the request is certain not to have run.
func (s *sim) finishRun(t *rapid.T) {
	for _, key := range s.keys {
		nonce, held := s.holders[key]
		if !held {
			continue
		}
		outcome := rapid.SampledFrom([]Outcome{RunNotRun, RunAnswered, RunUnknown}).Draw(t, "outcome")
		if outcome == RunNotRun {
			delete(s.mayHaveRun, key)
		}
		delete(s.holders, key)
		claim, to := Claim{Key: key, Nonce: nonce}, s.process(t)
		settle := func() { to.Settle(s.now, claim, outcome, []byte("a")) }
		s.messages = append(s.messages, settle, settle)
		return
	}
}

func (s *sim) crash(t *rapid.T) {
	i := rapid.IntRange(0, len(s.processes)-1).Draw(t, "process")
	s.names = append(s.names, fmt.Sprintf("owner-%d", len(s.names)))
	s.processes[i] = NewAuthority(s.names[len(s.names)-1], Options{MaxKeys: 64, MaxAnswerBytes: 64})
}

func (s *sim) handOver(t *rapid.T) {
	from, to := s.process(t), s.process(t)
	if from == to {
		return
	}
	for _, owner := range from.Owners() {
		for _, part := range from.HandOver(s.now, owner, "successor") {
			send := func() { _ = to.Inherit(s.now, part) }
			s.messages = append(s.messages, send, send)
		}
	}
}

// Guards against two processes deciding claims for one key: a handover part is
// duplicated, and the copy arrives after the successor has handed the keys on.
func TestDuplicateHandoverPartIsRefused(t *testing.T) {
	options := Options{MaxKeys: 64, MaxAnswerBytes: 1}
	first, second, third := NewAuthority("a", options), NewAuthority("b", options), NewAuthority("c", options)
	copied := first.HandOver(testStart, "a", "b:1")[0]
	if err := second.Inherit(testStart, copied); err != nil {
		t.Fatal(err)
	}
	if err := third.Inherit(testStart, second.HandOver(testStart, "a", "c:1")[0]); err != nil {
		t.Fatal(err)
	}
	key := NewKey("a", idAt(testStart, 1))
	if err := second.Inherit(testStart, copied); err == nil {
		t.Error("got the late copy accepted, want it refused")
	}
	if got := second.Claim(testStart, Claim{Key: key}).State; got != Moved {
		t.Errorf("got %s from the process that handed the keys on, want %s", got, Moved)
	}
}

// Guards against a key being granted by an owner and again by its successor: the
// claim looks up the owner's store before the handover and reaches the store
// after its records were exported.
func TestClaimDuringHandover(t *testing.T) {
	held := newStore(Options{MaxKeys: 64, MaxAnswerBytes: 1})
	early, late := NewKey("a", idAt(testStart, 1)), NewKey("a", idAt(testStart, 2))
	held.claim(testStart, Claim{Key: early})
	_, records := held.freeze(testStart)
	if got, want := len(records), recordBytes; got != want {
		t.Errorf("got %d bytes of records, want the %d of one key", got, want)
	}
	for _, key := range []Key{early, late} {
		if _, ok := held.claim(testStart, Claim{Key: key}); ok {
			t.Error("got a verdict from a store that was handed over, want none")
		}
		if held.settle(testStart, Claim{Key: key}, RunNotRun, nil) {
			t.Error("got a settlement accepted by a store that was handed over, want it ignored")
		}
	}
}

// Guards against a successor granting keys whose records have not arrived: the
// owner has more keys than fit in one message, and the last part is late.
func TestInheritNeedsEveryPart(t *testing.T) {
	options := Options{MaxKeys: 100_000, MaxAnswerBytes: 1}
	from, to := NewAuthority("a", options), NewAuthority("b", options)
	var keys []Key
	for n := range 2*recordsPerPart + 1 {
		key := NewKey("a", idAt(testStart, uint32(n)))
		keys = append(keys, key)
		from.Claim(testStart, Claim{Key: key, Nonce: uuid.UUID{1}})
	}
	parts := from.HandOver(testStart, "a", "b:1")
	if got, want := len(parts), 3; got != want {
		t.Fatalf("got %d parts, want %d", got, want)
	}
	for i, part := range parts {
		if got := to.Claim(testStart, Claim{Key: keys[0], Nonce: uuid.UUID{2}}).State; got != NotOwner {
			t.Errorf("before part %d: got %s, want %s", i, got, NotOwner)
		}
		if err := to.Inherit(testStart, part); err != nil {
			t.Fatal(err)
		}
	}
	for _, key := range keys {
		if got := to.Claim(testStart, Claim{Key: key, Nonce: uuid.UUID{2}}).State; got != Running {
			t.Fatalf("got %s, want %s", got, Running)
		}
	}
	if got := from.Claim(testStart, Claim{Key: keys[0], Nonce: uuid.UUID{2}}); got.State != Moved || got.To != "b:1" {
		t.Errorf("got %v, want Moved with the successor's address", got)
	}
}
