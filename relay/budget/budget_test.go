package budget

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"comfreyrelay.example/relay/failure"
)

// The service's rates, and the number of entries of a deployment.
const (
	serviceReads  = 2000
	serviceWrites = 300
	entryCount    = 9
)

// If all entries restart at once, each with more calls than its share, the service must
// not get more calls in any second than it accepts, or it refuses keep-alives.
func TestFleetRestartStaysWithinServiceLimits(t *testing.T) {
	for _, kind := range []Kind{Get, Swap} {
		limit := serviceReads
		if kind.Writes() {
			limit = serviceWrites
		}
		synctest.Test(t, func(t *testing.T) {
			sent := saturate(t, kind)
			got := busiestSecond(sent)
			t.Logf("%s: %d in the busiest second, %d in 5 s", kind, got, len(sent))
			if got > limit {
				t.Errorf("%s: got %d calls in the busiest second, want at most %d", kind, got, limit)
			}
			if least := 3 * limit / 2; len(sent) < least {
				t.Errorf("%s: got %d calls in 5 s, want at least %d", kind, len(sent), least)
			}
		})
	}
}

// saturate starts a fleet of budgets, makes calls on each as fast as possible for five
// seconds and returns when the calls were made.
func saturate(t *testing.T, kind Kind) []time.Time {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var mu sync.Mutex
	var sent []time.Time
	var callers sync.WaitGroup
	for range entryCount {
		limit := New(Options{Role: "test", Clock: clockwork.NewRealClock()})
		for range 100 {
			callers.Go(func() {
				for limit.Wait(ctx, Call{Kind: kind, Key: "once/1"}) == nil {
					mu.Lock()
					sent = append(sent, time.Now())
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	return sent
}

// busiestSecond returns the largest number of events within any second.
func busiestSecond(sent []time.Time) int {
	slices.SortFunc(sent, time.Time.Compare)
	most, first := 0, 0
	for last := range sent {
		for sent[last].Sub(sent[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// A keep-alive that waits behind many claims would lose the lease.
func TestUrgentCallsGoFirst(t *testing.T) {
	now := time.Now()
	queue := newQueue(4, now)
	for ticket := range uint64(3) {
		add(t, queue, ticket, Call{Kind: Swap, Key: "once/1"})
	}
	add(t, queue, 10, Call{Kind: KeepAlive})
	add(t, queue, 11, Call{Kind: Swap, Key: "document/root"})
	got, _ := queue.grantDue(now.Add(time.Hour))
	if want := []uint64{10}; !slices.Equal(got, want) {
		t.Errorf("got tickets %v first, want %v", got, want)
	}
	got, _ = queue.grantDue(now.Add(2 * time.Hour))
	if want := []uint64{11}; !slices.Equal(got, want) {
		t.Errorf("got tickets %v next, want %v", got, want)
	}
}

func add(t *testing.T, queue *queue, ticket uint64, call Call) {
	t.Helper()
	if err := queue.add(ticket, call.priority()); err != nil {
		t.Fatal(err)
	}
}

// Callers pile up during an outage. Those beyond the bound must be refused at once, and
// those whose context ends must leave nothing behind.
func TestWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := New(Options{Role: "test", WritesPerSecond: 0.001, Clock: clockwork.NewRealClock()})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var callers sync.WaitGroup
		for range maxWaiting {
			callers.Go(func() { _ = limit.Wait(ctx, Call{Kind: Swap}) })
		}
		synctest.Wait()
		if got := failure.KindOf(limit.Wait(t.Context(), Call{Kind: Swap})); got != failure.Exhausted {
			t.Errorf("got kind %s beyond the limit, want %s", got, failure.Exhausted)
		}
		callers.Wait()
		if got := limit.writes.queue.length() + len(limit.writes.granted); got != 0 {
			t.Errorf("got %d calls waiting after all gave up, want 0", got)
		}
	})
}

// No second may contain more calls than the share, whatever the pattern of calls.
func TestAnySecondStaysWithinShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(2, 300).Draw(t, "share")
		now := time.Now()
		queue := newQueue(float64(share), now)
		var sent []time.Time
		for ticket := range uint64(rapid.IntRange(1, 400).Draw(t, "calls")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "gapMillis")) * time.Millisecond)
			_ = queue.add(ticket, normal) // a full queue is part of the pattern
			granted, _ := queue.grantDue(now)
			for range granted {
				sent = append(sent, now)
			}
		}
		if got := busiestSecond(sent); got > share {
			t.Fatalf("got %d calls in a second, want at most %d", got, share)
		}
	})
}
