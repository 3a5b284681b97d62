package callers

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/once"
)

// Constants of keys without an owner.
const (
	onceKeyPrefix   = "once/"
	storeTimeout    = 2 * time.Second
	storeAttempts   = 3
	storeRetryAfter = 2 * time.Second
	// Keys are bound to a lease, so that the service forgets them by itself.
	// It outlives the moment when the last entry refuses the youngest key
	// bound to it: the horizon, twice the clocks' difference and leaseTurn.
	leaseRotation = 5 * time.Minute
	leaseTTL      = once.Horizon + 2*once.MaxAhead + leaseRotation + 10*time.Minute
)

// platform claims keys without an owner by compare-and-swap.
type keyStore struct {
	store *kv.Store // nil: there is none
	clock clockwork.Clock

	mu        sync.Mutex
	lease     string
	grantedAt time.Time
}

func newKeyStore(store *kv.Store, clock clockwork.Clock) *keyStore {
	return &keyStore{store: store, clock: clock}
}

// claimValue is what the service keeps of a key.
type claimValue struct {
	Nonce string `json:"nonce"`
	Hash  string `json:"hash"`
}

// claimAtPlatform claims a key in the platform's service. As long as the
// service cannot be asked, nobody knows whether the key ran before.
func (s *Server) claimInStore(ctx context.Context, claim once.Claim) (*grant, []byte, *problem) {
	now, made := s.now(), claim.Key.Made()
	if made.Before(now.Add(-once.Horizon)) {
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

// claim swaps the key in where it does not exist. A swap that may or may not
// have taken effect is tried again with the same value: then either it
// succeeds or the nonce that is found shows whose swap it was. NotOwner means
// that the service doesn't know.
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

// compare reads who holds the key.
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

// release deletes the key of a run that was proved not to have happened, so
// that it can be sent again.
func (k *keyStore) release(ctx context.Context, granted *grant) {
	ctx, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), k.clock, settleTimeout)
	defer cancel()
	if err := k.store.Delete(ctx, onceKeyPrefix+granted.claim.Key.String(), granted.revision); err != nil {
		counters.Add("settlesLost", 1)
	}
}

// currentLease returns a lease that is young enough for a new key.
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

func (k *keyStore) discardLease(lease string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lease == lease {
		k.lease = ""
	}
}

func storeUnavailable() *problem {
	prob := unknownOutcome(failure.New(failure.Unavailable, "the service that keeps keys without an owner cannot be asked whether this one ran before",
		"send the same key again later; if it was never sent before, make one with the owner from GET /v1/entries").WithRetryAfter(storeRetryAfter))
	prob.status = http.StatusServiceUnavailable
	return prob
}
