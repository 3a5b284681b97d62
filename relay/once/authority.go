package once

import (
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
)

// Bounds of handovers.
const (
	recordsPerPart = 20_000 // just below 1 MiB a message
	maxAssemblies  = 16     // handovers under way at once
	maxInherited   = 32     // owners whose keys one process holds beside its own
)

// Part is one piece of a handover.
type Part struct {
	Owner   string    // incarnation that the keys name
	Number  int       // from 0
	Count   int       // parts in all
	Floor   time.Time // keys made before it are forgotten
	Records []byte
}

// Authority answers for the keys of this process's own incarnation, and for
// those of processes that shut down and passed theirs on.
//
// At every moment at most one process answers for an owner's keys: the owner
// stops for good before its records leave it, it offers them to one successor
// only, and the successor answers once it has all of them.
type Authority struct {
	options Options

	mu         sync.RWMutex
	stores     map[string]*store    // by owner
	expiry     map[string]time.Time // when an inherited store has nothing left to report
	successors map[string]string    // successor's address, by owner; never shrinks
	assemblies map[string]*assembly
}

// assembly collects the parts of one handover.
type assembly struct {
	parts   [][]byte
	floor   time.Time
	missing int // parts that have not come
}

// NewAuthority answers for the keys of the incarnation.
func NewAuthority(incarnation string, options Options) *Authority {
	return &Authority{
		options:    options,
		stores:     map[string]*store{incarnation: newStore(options)},
		expiry:     make(map[string]time.Time),
		successors: make(map[string]string),
		assemblies: make(map[string]*assembly),
	}
}

// Claim decides about one claim; see Table.Claim.
//
// Rule OWNER of spec/once.pml.
func (a *Authority) Claim(now time.Time, claim Claim) Verdict {
	st, successor := a.find(claim.Key.owner)
	if st != nil {
		if verdict, ok := st.claim(now, claim); ok {
			return verdict
		}
		_, successor = a.find(claim.Key.owner) // it was passed on just now
	}
	if successor != "" {
		return Verdict{State: Moved, To: successor}
	}
	return Verdict{State: NotOwner}
}

// Settle records how a run ended; see Table.Settle. owned is false where this
// process does not answer for the key.
func (a *Authority) Settle(now time.Time, claim Claim, outcome Outcome, answer []byte) (counted, owned bool) {
	st, _ := a.find(claim.Key.owner)
	if st == nil {
		return false, false
	}
	return st.settle(now, claim, outcome, answer), true
}

func (a *Authority) find(owner string) (st *store, successor string) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if successor, handedOver := a.successors[owner]; handedOver {
		return nil, successor
	}
	return a.stores[owner], ""
}

// Owners returns the incarnations that this process answers for.
func (a *Authority) Owners() []string {
	a.mu.RLock()
	defer a.mu.RUnlock()
	owners := make([]string, 0, len(a.stores))
	for owner := range a.stores {
		owners = append(owners, owner)
	}
	return owners
}

// Keys returns the number of keys remembered.
func (a *Authority) Keys() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	total := 0
	for _, st := range a.stores {
		total += st.keys()
	}
	return total
}

// HandOver ends the authority over the owner's keys and returns them for the
// successor at the address. It is not taken back, whether or not they arrive:
// a successor whose reply is lost may already have granted keys.
func (a *Authority) HandOver(now time.Time, owner, successor string) []Part {
	a.mu.Lock()
	st := a.stores[owner]
	delete(a.stores, owner)
	delete(a.expiry, owner)
	if st != nil {
		a.successors[owner] = successor
	}
	a.mu.Unlock()
	if st == nil {
		return nil
	}
	floor, records := st.freeze(now)
	return splitRecords(owner, floor, records)
}

func splitRecords(owner string, floor time.Time, records []byte) []Part {
	const size = recordsPerPart * recordBytes
	count := max(1, (len(records)+size-1)/size)
	parts := make([]Part, count)
	for i := range parts {
		end := min(len(records), (i+1)*size)
		parts[i] = Part{Owner: owner, Number: i, Count: count, Floor: floor, Records: records[i*size : end]}
	}
	return parts
}

// Inherit takes one part of a handover. It may be delivered twice: what is
// already answered for is not replaced, since keys were granted since, and
// what was passed on is not taken back.
func (a *Authority) Inherit(now time.Time, part Part) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, handedOver := a.successors[part.Owner]; handedOver {
		return failure.New(failure.Stale, "the keys were passed on already", "nothing is to be done")
	}
	if a.stores[part.Owner] != nil {
		return nil
	}
	a.dropExpired(now)
	pending, err := a.addPart(part)
	if err != nil || pending.missing > 0 {
		return err
	}
	delete(a.assemblies, part.Owner)
	return a.install(now, part.Owner, pending)
}

// collect adds a part to its assembly.
func (a *Authority) addPart(part Part) (*assembly, error) {
	if part.Count < 1 || part.Number < 0 || part.Number >= part.Count || part.Count > a.options.MaxKeys/recordsPerPart+shardCount {
		return nil, failure.New(failure.Invalid, "a handover's part has an impossible number", "run the same release on all entries")
	}
	pending := a.assemblies[part.Owner]
	if pending == nil {
		if len(a.assemblies) >= maxAssemblies || len(a.stores) >= maxInherited {
			return nil, failure.New(failure.Exhausted, "too many handovers at once", "their keys are answered as unknown")
		}
		pending = &assembly{parts: make([][]byte, part.Count), missing: part.Count}
		a.assemblies[part.Owner] = pending
	}
	if part.Count != len(pending.parts) {
		return nil, failure.New(failure.Conflict, "two handovers of one owner differ", "this is an error of the program: report it")
	}
	if pending.parts[part.Number] == nil {
		pending.parts[part.Number] = append([]byte{}, part.Records...)
		pending.floor = part.Floor
		pending.missing--
	}
	return pending, nil
}

func (a *Authority) install(now time.Time, owner string, collected *assembly) error {
	total := 0
	for _, part := range collected.parts {
		total += len(part) / recordBytes
	}
	for _, st := range a.stores {
		total += st.keys()
	}
	if total > 2*a.options.MaxKeys {
		return failure.New(failure.Exhausted, "no room for the keys of another owner", "their keys are answered as unknown")
	}
	st := newStore(a.options)
	for _, part := range collected.parts {
		if err := st.restore(collected.floor, part); err != nil {
			return err
		}
	}
	a.stores[owner] = st
	a.expiry[owner] = now.Add(Horizon + MaxAhead + generationSpan)
	return nil
}

// forgetOld drops the owners whose keys are all refused by age. Nobody makes
// keys for a process that is gone.
func (a *Authority) dropExpired(now time.Time) {
	for owner, until := range a.expiry {
		if now.After(until) {
			delete(a.stores, owner)
			delete(a.expiry, owner)
			a.successors[owner] = ""
		}
	}
}
