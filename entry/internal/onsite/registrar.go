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
	// registrationTTL is how long an entry that died is still named to callers;
	// three renewals may be lost within it.
	registrationTTL = 4 * time.Second
	renewInterval   = 1200 * time.Millisecond
	// registerRetry is the pause after a failed call.
	registerRetryPause = 300 * time.Millisecond
	// endTimeout bounds giving the registration back at the end.
	revokeTimeout = 600 * time.Millisecond
)

// registrar keeps this entry's registration in the store: a key under a lease.
type registrar struct {
	store *kv.Store
	key   string
	value site.Entry
	ready func() error
	clock clockwork.Clock
	log   *slog.Logger

	lease      string // empty: none
	registered bool   // the key is written under the lease
}

// run keeps the registration while the entry is ready, and gives it back when
// ctx ends.
func (r *registrar) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := renewInterval
		if err := r.advance(ctx); err != nil {
			wait = registerRetryPause
			if ctx.Err() == nil {
				r.log.Debug("the registration could not be kept", "error", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-r.clock.After(wait):
		}
	}
	r.revoke()
}

// step does what is missing next.
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

func (r *registrar) renew(ctx context.Context) error {
	err := r.store.KeepAlive(ctx, r.lease)
	if err != nil && failure.KindOf(err) == failure.NotFound {
		r.log.Warn("the registration lapsed", "lease", r.lease)
		r.lease, r.registered = "", false
	}
	return err
}

// write makes the key, over one that an earlier incarnation left. A write whose
// answer was lost is settled by reading the key.
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

// end takes the registration back, so that callers are sent elsewhere at once.
func (r *registrar) revoke() {
	if r.lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, r.lease); err != nil {
		r.log.Warn("the registration could not be taken back; it lapses", "error", err)
	}
}
