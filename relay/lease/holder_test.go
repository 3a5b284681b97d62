package lease

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/budget"
	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/kv"
)

func init() { onInvariantViolation = func() { panic("invariant broke") } }

const (
	testTTL    = 10 * time.Second
	testMargin = time.Second
)

func start(ctx context.Context, store *kv.Store, incarnation string) *Holder {
	return Run(ctx, store, clockwork.NewRealClock(), "x", incarnation, testTTL, testMargin, slog.New(slog.DiscardHandler))
}

// TestPausedHolder checks that a holder whose calls hang for a minute, as in a
// paused process, does not hold the lease while its successor does, nor after
// it resumes.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.NewMemoryService(clockwork.NewRealClock())
		var paused atomic.Bool
		store := service.Store()
		store.KeepAlive = func(ctx context.Context, lease string) error {
			if paused.Load() {
				<-ctx.Done()
				return failure.New(failure.Ambiguous, "paused", "none")
			}
			return service.KeepAlive(lease)
		}
		former := start(t.Context(), store, "former")
		time.Sleep(2 * time.Second)
		before, ok := former.Holding()
		if !ok {
			t.Fatal("got no holder, want the only candidate to hold the lease")
		}
		next := start(t.Context(), service.Store(), "next")
		paused.Store(true)
		overlaps := 0
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			_, one := former.Holding()
			_, other := next.Holding()
			if one && other {
				overlaps++
			}
		}
		if overlaps > 0 {
			t.Errorf("got two holders at once %d times, want never", overlaps)
		}
		paused.Store(false)
		after, ok := next.Holding()
		if !ok || after <= before {
			t.Errorf("got fence %d (holding: %t) after %d, want a larger one, holding", after, ok, before)
		}
		if _, ok := former.Holding(); ok {
			t.Error("got the former holder still holding, want its successor only")
		}
	})
}

// TestShutdownRevokesLease checks that a process revokes its lease when it
// ends, so that its successor does not wait for the whole ttl.
func TestShutdownRevokesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kv.NewMemory(clockwork.NewRealClock())
		ctx, cancel := context.WithCancel(t.Context())
		former := start(ctx, store, "former")
		time.Sleep(2 * time.Second)
		next := start(t.Context(), store, "next")
		time.Sleep(2 * time.Second)
		cancel()
		<-former.Done()
		if _, ok := former.Holding(); ok {
			t.Error("got the ended process still holding, want it not to hold")
		}
		<-next.Changes()
		if _, ok := next.Holding(); !ok {
			t.Error("got the successor not holding after its signal, want it holding")
		}
	})
}

// TestServiceRecovery guards against a thundering herd: the service is down for
// an hour, then recovers while nine processes compete for four leases. No
// second may have more calls than the service handles. No process may hold a
// lease during the outage, and each lease must have a holder soon after it.
func TestServiceRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		platform := &faultyService{service: kv.NewMemoryService(clock)}
		var holders []*Holder
		for i := range 9 {
			store := platform.store(budget.New(budget.Options{Role: "entry", Clock: clock}))
			for _, name := range []string{"plan", "watch-a", "watch-b", "watch-c"} {
				holders = append(holders, Run(t.Context(), store, clock, name, string(rune('a'+i)),
					testTTL, testMargin, slog.New(slog.DiscardHandler)))
			}
		}
		time.Sleep(10 * time.Second)
		checkHolderCount(t, holders, 4)
		platform.down.Store(true)
		time.Sleep(time.Hour)
		checkHolderCount(t, holders, 0)
		platform.down.Store(false)
		time.Sleep(testTTL)
		checkHolderCount(t, holders, 4)
		reads, writes := platform.peakRates()
		t.Logf("busiest second: %d reads, %d writes", reads, writes)
		if reads > 200 || writes > 100 {
			t.Errorf("got %d reads and %d writes in the busiest second, want at most 200 and 100", reads, writes)
		}
	})
}

// TestSlowService checks that a lease is held although every call takes three
// seconds, more than half of the ttl. With a fixed ttl no process would ever
// hold the lease, so no plan would be made and no watch kept although the
// service works.
func TestSlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		platform := &faultyService{service: kv.NewMemoryService(clock)}
		platform.delay.Store(int64(3 * time.Second))
		var holders []*Holder
		for _, incarnation := range []string{"a", "b", "c"} {
			store := platform.store(budget.New(budget.Options{Role: "entry", Clock: clock}))
			holders = append(holders, Run(t.Context(), store, clock, "x", incarnation, 5*time.Second, time.Second,
				slog.New(slog.DiscardHandler)))
		}
		time.Sleep(time.Minute)
		covered := 0
		for range 600 {
			time.Sleep(time.Second)
			for _, holder := range holders {
				if _, ok := holder.Holding(); ok {
					covered++
				}
			}
		}
		t.Logf("lease held in %d of 600 s", covered)
		if covered < 540 || covered > 600 {
			t.Errorf("got the lease held in %d of 600 s, want at least 540, and never two holders", covered)
		}
		platform.delay.Store(0)
		time.Sleep(2 * time.Minute)
		for _, holder := range holders {
			holder.mu.Lock()
			if holder.state == Holding && holder.deadline.Sub(clock.Now()) > 5*time.Second {
				t.Error("got an extended lease with a fast service, want the configured ttl")
			}
			holder.mu.Unlock()
		}
		checkHolderCount(t, holders, 1)
	})
}

// checkHolderCount checks how many of the holders hold their lease.
func checkHolderCount(t *testing.T, holders []*Holder, want int) {
	t.Helper()
	got := 0
	for _, holder := range holders {
		if _, ok := holder.Holding(); ok {
			got++
		}
	}
	if got != want {
		t.Errorf("got %d holders, want %d", got, want)
	}
}

// faultyService wraps a service with outages and delays, and counts the calls
// in each second.
type faultyService struct {
	service *kv.Memory
	down    atomic.Bool
	delay   atomic.Int64 // added to each call, in nanoseconds

	mu            sync.Mutex
	reads, writes map[int64]int
}

func (f *faultyService) call(ctx context.Context, limit *budget.Budget, kind budget.Kind) error {
	if err := limit.Wait(ctx, budget.Call{Kind: kind, Key: Key("x")}); err != nil {
		return err
	}
	f.count(kind)
	select {
	case <-time.After(time.Duration(f.delay.Load())):
	case <-ctx.Done():
		return failure.New(failure.Ambiguous, "timeout", "none")
	}
	if f.down.Load() {
		return failure.New(failure.Unavailable, "down", "none")
	}
	return nil
}

func (f *faultyService) count(kind budget.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reads == nil {
		f.reads, f.writes = map[int64]int{}, map[int64]int{}
	}
	if kind.Writes() {
		f.writes[time.Now().Unix()]++
		return
	}
	f.reads[time.Now().Unix()]++
}

// peakRates returns the largest numbers of reads and of writes in one second.
func (f *faultyService) peakRates() (reads, writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.reads {
		reads = max(reads, n)
	}
	for _, n := range f.writes {
		writes = max(writes, n)
	}
	return reads, writes
}

func (f *faultyService) store(limit *budget.Budget) *kv.Store {
	direct := f.service.Store()
	return &kv.Store{
		Get: func(ctx context.Context, key string) (kv.Entry, bool, error) {
			if err := f.call(ctx, limit, budget.Get); err != nil {
				return kv.Entry{}, false, err
			}
			return direct.Get(ctx, key)
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Entry, uint64, error) {
			if err := f.call(ctx, limit, budget.Watch); err != nil {
				return nil, 0, err
			}
			return direct.Watch(ctx, prefix, after, wait)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (string, error) {
			if err := f.call(ctx, limit, budget.Grant); err != nil {
				return "", err
			}
			return direct.Grant(ctx, ttl)
		},
		Swap: func(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
			if err := f.call(ctx, limit, budget.Swap); err != nil {
				return 0, err
			}
			return direct.Swap(ctx, key, value, ifRevision, lease)
		},
		KeepAlive: func(ctx context.Context, lease string) error {
			if err := f.call(ctx, limit, budget.KeepAlive); err != nil {
				return err
			}
			return direct.KeepAlive(ctx, lease)
		},
		Revoke: func(ctx context.Context, lease string) error {
			if err := f.call(ctx, limit, budget.Revoke); err != nil {
				return err
			}
			return direct.Revoke(ctx, lease)
		},
	}
}
