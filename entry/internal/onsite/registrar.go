package onsite

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
	"comfreyrelay.example/relay/site"
)

const (
	// registrationTTL is how long a crashed entry is still listed for callers. Three renewals may
	// fail within it.
	registrationTTL = 4 * time.Second
	// maxRenewInterval is the longest time between two renewals. They also show that the store is
	// available and that open connections to it are not silent.
	maxRenewInterval = time.Second
	// renewHeartbeats is the time between two renewals in heartbeat intervals of endpoints, if that
	// is shorter. A silent connection is then found before an outage of that length would let
	// their registrations lapse.
	renewHeartbeats = 5.0 / 6
	// firstRenewTimeout is how long a renewal waits for an answer before it is repeated, on a new
	// connection.
	firstRenewTimeout = 400 * time.Millisecond
	// registerRetryPause is the pause after a failed call.
	registerRetryPause = 300 * time.Millisecond
	// revokeTimeout limits the time for removing the registration on shutdown.
	revokeTimeout = 600 * time.Millisecond
)

// registrar keeps this entry registered in the store, as a key that is bound to a lease.
type registrar struct {
	store   *kv.Store
	contact *site.Contact
	key     string
	value   site.Entry
	ready   func() error
	clock   clockwork.Clock
	log     *slog.Logger

	lease      string // empty if none is granted
	registered bool   // whether the key is written under the lease
}

// run keeps the entry registered while it is ready and removes the registration when ctx is
// cancelled.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := min(maxRenewInterval, time.Duration(renewHeartbeats*float64(r.contact.Heartbeat())))
		if err := r.advance(ctx); err != nil {
			wait = registerRetryPause
			if ctx.Err() == nil {
				r.log.Debug("cannot update the registration", "error", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(wait):
		}
	}
	r.revoke()
}

// advance takes the next step that the registration needs: getting a lease and writing the key,
// or renewing the lease.
func (r *registrar) advance(ctx context.Context) error {
	if r.ready() != nil {
		return nil
	}
	if r.registered {
		return r.renew(ctx)
	}
	if r.lease == "" {
		lease, err := r.store.Grant(ctx, registrationTTL)
		if err != nil {
			return err
		}
		r.lease = lease
	}
	return r.write(ctx)
}

// renew extends the lease and drops the registration if the lease has expired.
func (r *registrar) renew(ctx context.Context) error {
	err := r.keepAlive(ctx)
	if err != nil && failure.KindOf(err) == failure.NotFound {
		r.log.Warn("the registration lapsed", "lease", r.lease)
		r.lease, r.registered = "", false
	}
	return err
}

// keepAlive extends the lease. It repeats a call that was not answered, because its connection may
// have gone silent.
func (r *registrar) keepAlive(ctx context.Context) error {
	firstCtx, cancel := context.WithTimeout(ctx, firstRenewTimeout)
	defer cancel()
	err := r.store.KeepAlive(firstCtx, r.lease)
	if err == nil || failure.KindOf(err) != failure.Ambiguous || ctx.Err() != nil {
		return err
	}
	return r.store.KeepAlive(ctx, r.lease)
}

// write creates the key or replaces one that an earlier incarnation left. If the response to a
// write was lost, the next write conflicts with it, and overwrite recognizes the key as its own.
func (r *registrar) write(ctx context.Context) error {
	r.value.Lease = r.lease
	encoded, err := json.Marshal(r.value)
	if err != nil {
		return err
	}
	_, err = r.store.Swap(ctx, r.key, encoded, 0, r.lease)
	if err != nil && failure.KindOf(err) == failure.Conflict {
		err = r.overwrite(ctx, encoded)
	}
	if err != nil && failure.KindOf(err) == failure.NotFound {
		r.lease = ""
	}
	if err == nil {
		r.registered = true
		r.log.Info("registered", "key", r.key, "lease", r.lease)
	}
	return err
}

// overwrite replaces an existing key, unless it is already this entry's under the current lease.
func (r *registrar) overwrite(ctx context.Context, encoded []byte) error {
	current, exists, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	registration := site.Entry{}
	if exists && json.Unmarshal(current.Value(), &registration) == nil && registration.Incarnation == r.value.Incarnation && registration.Lease == r.lease {
		return nil
	}
	_, err = r.store.Swap(ctx, r.key, encoded, current.Revision(), r.lease)
	return err
}

// revoke removes the registration, so that callers are directed to other entries at once.
func (r *registrar) revoke() {
	if r.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Warn("cannot revoke the registration, it remains until its lease expires", "error", err)
	}
}
