package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

// DrainMark is the value of a key below "drain/". When a host is returned to
// service, its key stays with Drain set to false: deleting the key would not
// advance the revision that orders the sets of marks.
type DrainMark struct {
	Drain       bool      `json:"drain"`
	Operator    string    `json:"operator"`
	At          time.Time `json:"at"`
	FromAddress string    `json:"fromAddress"`
}

// IsDrained reports whether the value of a drain key takes the host out of service.
func IsDrained(value []byte) bool {
	mark := DrainMark{}
	return json.Unmarshal(value, &mark) == nil && mark.Drain
}

// maxMarkAttempts limits the retries after conflicting writes and lost replies.
const maxMarkAttempts = 4

// MarkDrain stores an operator's drain mark for a host. Writing it is idempotent,
// so a write whose reply was lost is retried.
func MarkDrain(ctx context.Context, service *kv.Store, clock clockwork.Clock, host string, mark DrainMark) error {
	mark.At = clock.Now().UTC()
	value, err := json.Marshal(mark)
	if err != nil {
		return err
	}
	for range maxMarkAttempts {
		entry, found, getErr := service.Get(ctx, DrainPrefix+host)
		if getErr != nil {
			return getErr
		}
		if found && IsDrained(entry.Value()) == mark.Drain || !found && !mark.Drain {
			return nil
		}
		_, err = service.Swap(ctx, DrainPrefix+host, value, entry.Revision(), "")
		if kind := failure.KindOf(err); err == nil || (kind != failure.Conflict && kind != failure.Ambiguous) {
			return err
		}
	}
	return err
}
