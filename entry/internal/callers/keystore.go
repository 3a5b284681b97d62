package callers

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/once"
)

// Constants for once keys without an owner.
const (
	onceKeyPrefix   = "once/"
	storeTimeout    = 2 * time.Second
	storeAttempts   = 3
	storeRetryAfter = 2 * time.Second
	// Keys are bound to a lease, so that the store deletes them when it expires.
	// The lease must last until every entry refuses the youngest key bound to it
	// because of its age: once.MaxKeyAge, twice the allowed clock difference and
	// leaseRotation.
	leaseRotation = 5 * time.Minute
	leaseTTL      = once.MaxKeyAge + 2*once.MaxAhead + leaseRotation + 10*time.Minute
)

// keyStore claims once keys without an owner in the platform's key-value store, by
// compare-and-swap.
type keyStore struct {
	store *kv.Store // nil if the platform has none
	clock clockwork.Clock

	mu        sync.Mutex
	lease     string
	grantedAt time.Time
}

func newKeyStore(store *kv.Store, clock clockwork.Clock) *keyStore {
	return &keyStore{store: store, clock: clock}
}

// claimValue is the value stored for a claimed key.
type claimValue struct {
	Nonce string `json:"nonce"`
	Hash  string `json:"hash"`
}

// claimInStore claims a key in the platform's store. While the store is
// unavailable, it can't be known whether the key ran before.
func (s *Server) claimInStore(ctx context.Context, claim once.Claim) (*grant, []byte, *problem) {
	now, made := s.now(), claim.Key.Created()
	if made.Before(now.Add(-once.MaxKeyAge)) {
		return claimResult(nil, once.Verdict{State: once.Unknown})
	}
	if made.After(now.Add(once.MaxAhead)) {
		return claimResult(nil, once.Verdict{State: once.Ahead})
	}
	ctx, cancel := clockwork.WithTimeout(ctx, s.cfg.Clock, storeTimeout)
	defer cancel()
	state, revision := s.keyStore.claim(ctx, claim)
	if state == once.NotOwner {
		return nil, nil, storeUnavailable()
	}
	return claimResult(&grant{claim: claim, inStore: true, revision: revision}, once.Verdict{State: state})
}

// claim creates the key if it does not exist. A swap that may or may not have
// taken effect is retried with the same value: then either it succeeds or the
// nonce in the store shows which request created the key. NotOwner means that
// the store gave no result.
func (k *keyStore) claim(ctx context.Context, claim once.Claim) (once.State, uint64) {
	if k.store == nil {
		return once.NotOwner, 0
	}
	lease, err := k.currentLease(ctx)
	if err != nil {
		return once.NotOwner, 0
	}
	key := onceKeyPrefix + claim.Key.String()
	value := claimValue{Nonce: claim.Nonce.String(), Hash: hex.EncodeToString(claim.Hash[:])}
	raw, err := json.Marshal(value)
	if err != nil {
		return once.NotOwner, 0
	}
	for range storeAttempts {
		revision, err := k.store.Swap(ctx, key, raw, 0, lease)
		switch {
		case err == nil:
			return once.Granted, revision
		case failure.KindOf(err) == failure.Conflict:
			return k.resolveConflict(ctx, key, value)
		case failure.KindOf(err) == failure.NotFound:
			k.discardLease(lease)
			return once.NotOwner, 0
		case failure.KindOf(err) != failure.Ambiguous:
			return once.NotOwner, 0
		}
	}
	return once.NotOwner, 0
}

// resolveConflict reads the existing value of a key and compares it with own.
func (k *keyStore) resolveConflict(ctx context.Context, key string, own claimValue) (once.State, uint64) {
	entry, found, err := k.store.Get(ctx, key)
	if err != nil || !found {
		return once.NotOwner, 0
	}
	var holder claimValue
	if err := json.Unmarshal(entry.Value(), &holder); err != nil {
		return once.Unknown, 0
	}
	switch {
	case holder.Nonce == own.Nonce:
		return once.Granted, entry.Revision()
	case holder.Hash != own.Hash:
		return once.Mismatch, 0
	default:
		return once.Unknown, 0
	}
}

// release deletes the key of a request that certainly did not run, so that the
// key can be sent again.
func (k *keyStore) release(ctx context.Context, granted *grant) {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), k.clock, settleTimeout)
	defer cancel()
	if err := k.store.Delete(ctx, onceKeyPrefix+granted.claim.Key.String(), granted.revision); err != nil {
		counters.Add("settlesLost", 1)
	}
}

// currentLease returns the lease for new keys, and requests a new one when it is
// older than leaseRotation.
func (k *keyStore) currentLease(ctx context.Context) (string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease != "" && k.clock.Since(k.grantedAt) < leaseRotation {
		return k.lease, nil
	}
	requestedAt := k.clock.Now()
	lease, err := k.store.Grant(ctx, leaseTTL)
	if err != nil {
		return "", err
	}
	k.lease, k.grantedAt = lease, requestedAt
	return lease, nil
}

// discardLease makes the next claim request a new lease.
func (k *keyStore) discardLease(lease string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.lease = ""
	}
}

// storeUnavailable reports that the platform's store gave no result.
func storeUnavailable() *problem {
	return unknownOutcome(failure.New(failure.Unavailable, "the store for keys without an owner cannot be asked whether this one ran before",
		"send the same key again later; if it was never sent before, make one with the owner from GET /v1/entries").WithRetryAfter(storeRetryAfter))
}
