package store

import (
	"context"
	"strings"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

// fault is injected into the next write to a key with the prefix.
type fault struct {
	prefix string
	// kind is one of:
	//   - "lostReply": the write takes effect, its reply is lost;
	//   - "lostReplyThenDown": like lostReply, and the service then goes down;
	//   - "lostCall": the write has no effect, the outcome is unknown to the caller;
	//   - "late": the write takes effect at deliver, the outcome is unknown to the
	//     caller;
	//   - "down": the write has no effect, and the caller knows it.
	kind string
}

// faultyService is an in-memory key-value service that injects faults into
// writes. It calls beforeWrite before each write, so that a test can act there
// as another process.
type faultyService struct {
	memory      *kv.Memory
	faults      []fault
	delayed     []func()
	beforeWrite func(key string)
	down        bool
}

func newFaultyService(clock clockwork.Clock) *faultyService {
	return &faultyService{memory: kv.NewMemoryService(clock), beforeWrite: func(string) {}}
}

// store returns a client of the service with the faults applied.
func (f *faultyService) store() *kv.Store {
	service := f.memory.Store()
	plainGet, plainList := service.Get, service.List
	service.Get = func(ctx context.Context, key string) (kv.Entry, bool, error) {
		if f.down {
			return kv.Entry{}, false, unavailable()
		}
		return plainGet(ctx, key)
	}
	service.List = func(ctx context.Context, prefix string) ([]kv.Entry, error) {
		if f.down {
			return nil, unavailable()
		}
		return plainList(ctx, prefix)
	}
	service.Swap = func(_ context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
		var revision uint64
		err := f.write(key, func() error {
			var err error
			revision, err = f.memory.Swap(key, value, ifRevision, lease)
			return err
		})
		return revision, err
	}
	service.Delete = func(_ context.Context, key string, ifRevision uint64) error {
		return f.write(key, func() error { return f.memory.Delete(key, ifRevision) })
	}
	return service
}

// write runs apply, subject to the next fault planned for the key.
func (f *faultyService) write(key string, apply func() error) error {
	f.beforeWrite(key)
	if f.down {
		return unavailable()
	}
	switch f.takeFault(key) {
	case "lostReply":
		_ = apply()
		return ambiguous()
	case "lostReplyThenDown":
		_ = apply()
		f.down = true
		return ambiguous()
	case "lostCall":
		return ambiguous()
	case "late":
		f.delayed = append(f.delayed, func() { _ = apply() })
		return ambiguous()
	case "down":
		return unavailable()
	}
	return apply()
}

// takeFault removes the first fault planned for the key and returns its kind.
func (f *faultyService) takeFault(key string) string {
	for i, planned := range f.faults {
		if strings.HasPrefix(key, planned.prefix) {
			f.faults = append(f.faults[:i], f.faults[i+1:]...)
			return planned.kind
		}
	}
	return ""
}

// deliver applies the delayed writes.
func (f *faultyService) deliver() {
	delayed := f.delayed
	f.delayed = nil
	for _, apply := range delayed {
		apply()
	}
}

func unavailable() error {
	return failure.New(failure.Unavailable, "the service is down", "wait")
}

func ambiguous() error {
	return failure.New(failure.Ambiguous, "the reply was lost", "read again")
}
