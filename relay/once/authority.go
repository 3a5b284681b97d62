package once

import (
	"sync"
	"time"

	"comfreyrelay.example/relay/failure"
)

// Limits of handovers.
const (
	recordsPerPart = 20_000 // keeps a message just below 1 MiB
	maxAssemblies  = 16     // handovers in progress at once
	maxInherited   = 32     // owners that one process answers for, itself included
)

// Part is one message of a handover.
type Part struct {
	Owner   string    // incarnation named in the keys
	Number  int       // index of this part, from 0
	Count   int       // number of parts of the handover
	Floor   time.Time // keys created before it are no longer remembered
	Records []byte
}

// Authority decides claims for the keys of this process's own incarnation and
// of processes that handed their keys over to it when they shut down.
//
// At any time at most one process decides claims for an owner's keys: the owner
// stops permanently before its records are sent, it sends them to one successor
// only, and the successor starts once it has received all of them.
type Authority struct {
	options Options

	mu         sync.RWMutex
	stores     map[string]*store    // by owner
	expiry     map[string]time.Time // by inherited owner: when all its keys are too old to be granted
	successors map[string]string    // successor's address by owner, "" if expired; entries are never removed
	assemblies map[string]*assembly
}

// assembly collects the parts of one incoming handover.
type assembly struct {
	parts   [][]byte
	floor   time.Time
	missing int // parts not yet received
}

// NewAuthority returns an Authority for the keys of the incarnation.
func NewAuthority(incarnation string, options Options) *Authority {
	return &Authority{
		options:    options,
		stores:     map[string]*store{incarnation: newStore(options)},
		expiry:     make(map[string]time.Time),
		successors: make(map[string]string),
		assemblies: make(map[string]*assembly),
	}
}

// Claim decides a claim; see Table.Claim. For an owner that this process does
// not answer for it returns Moved or NotOwner.
//
// Rule OWNER of spec/once.pml.
func (a *Authority) Claim(now time.Time, claim Claim) Verdict {
	st, successor := a.find(claim.Key.owner)
	if st != nil {
		if verdict, ok := st.claim(now, claim); ok {
			return verdict
		}
		_, successor = a.find(claim.Key.owner) // handed over since the first look-up
	}
	if successor != "" {
		return Verdict{State: Moved, To: successor}
	}
	return Verdict{State: NotOwner}
}

// Settle records the outcome of a run; see Table.Settle. owned is false if this
// process does not answer for the key.
func (a *Authority) Settle(now time.Time, claim Claim, outcome Outcome, answer []byte) (counted, owned bool) {
	st, _ := a.find(claim.Key.owner)
	if st == nil {
		return false, false
	}
	return st.settle(now, claim, outcome, answer), true
}

// find returns the store of the owner's keys, or the address of the successor
// that they were handed over to.
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

// HandOver stops deciding claims for the owner's keys and returns their records,
// to be sent to the successor at the address. This is never undone, even if
// sending fails: a successor whose reply was lost may already have granted keys.
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

// splitRecords divides the records into parts that each fit one message; an
// owner without records still gets one part.
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

// Inherit receives one part of a handover. A part may be delivered twice: an
// owner whose keys are already installed is not replaced, because more keys may
// have been granted since, and an owner that was handed on is refused.
func (a *Authority) Inherit(now time.Time, part Part) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, handedOver := a.successors[part.Owner]; handedOver {
		return failure.New(failure.Stale, "the owner's keys were already handed over to another entry", "no action is needed")
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

// addPart adds a part to its handover's assembly.
func (a *Authority) addPart(part Part) (*assembly, error) {
	if part.Count < 1 || part.Number < 0 || part.Number >= part.Count || part.Count > a.options.MaxKeys/recordsPerPart+shardCount {
		return nil, failure.New(failure.Invalid, "a handover part has an invalid number or count", "run the same release on all entries")
	}
	pending := a.assemblies[part.Owner]
	if pending == nil {
		if len(a.assemblies) >= maxAssemblies || len(a.stores) >= maxInherited {
			return nil, failure.New(failure.Exhausted, "too many handovers in progress or inherited at once", "no action is needed: claims for these keys are answered as unknown")
		}
		pending = &assembly{parts: make([][]byte, part.Count), missing: part.Count}
		a.assemblies[part.Owner] = pending
	}
	if part.Count != len(pending.parts) {
		return nil, failure.New(failure.Conflict, "two parts of one owner's handover give different part counts", "this is a bug: report it")
	}
	if pending.parts[part.Number] == nil {
		pending.parts[part.Number] = append([]byte{}, part.Records...)
		pending.floor = part.Floor
		pending.missing--
	}
	return pending, nil
}

// install creates the store of an inherited owner from a complete handover.
func (a *Authority) install(now time.Time, owner string, collected *assembly) error {
	total := 0
	for _, part := range collected.parts {
		total += len(part) / recordBytes
	}
	for _, st := range a.stores {
		total += st.keys()
	}
	if total > 2*a.options.MaxKeys {
		return failure.New(failure.Exhausted, "no room for the keys of another owner", "no action is needed: claims for these keys are answered as unknown")
	}
	st := newStore(a.options)
	for _, part := range collected.parts {
		if err := st.restore(collected.floor, part); err != nil {
			return err
		}
	}
	a.stores[owner] = st
	a.expiry[owner] = now.Add(MaxKeyAge + MaxAhead + generationSpan)
	return nil
}

// dropExpired removes inherited owners whose keys are all too old to be granted.
// No new keys are created for a process that has shut down.
func (a *Authority) dropExpired(now time.Time) {
	for owner, until := range a.expiry {
		if now.After(until) {
			delete(a.stores, owner)
			delete(a.expiry, owner)
			a.successors[owner] = ""
		}
	}
}
