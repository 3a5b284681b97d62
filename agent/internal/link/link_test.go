package link

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/wire"
)

const mib = 1 << 20

// wantAbout checks that a duration on the synctest clock is within 5% of want.
func wantAbout(t *testing.T, got, want time.Duration) {
	t.Helper()
	if got < want*19/20 || got > want*21/20 {
		t.Errorf("got %v, want about %v", got, want)
	}
}

func transfer(t *testing.T, lnk *Link, dir Direction, bytes int) time.Duration {
	t.Helper()
	began := time.Now()
	if err := lnk.Wait(t.Context(), dir, bytes); err != nil {
		t.Error(err)
	}
	return time.Since(began)
}

func TestTransfersKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lnk := New(&wire.LinkSettings{Up: 2 * mib, Down: 4 * mib}, clockwork.NewRealClock())
		wantAbout(t, transfer(t, lnk, Up, 4*mib), 2*time.Second)
		wantAbout(t, transfer(t, lnk, Down, 4*mib), time.Second)
	})
}

func TestDirectionsShareOneRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lnk := New(&wire.LinkSettings{Shared: 2 * mib}, clockwork.NewRealClock())
		began := time.Now()
		var work sync.WaitGroup
		work.Go(func() { transfer(t, lnk, Up, 2*mib) })
		work.Go(func() { transfer(t, lnk, Down, 2*mib) })
		work.Wait()
		wantAbout(t, time.Since(began), 2*time.Second)
	})
}

func TestNoRateDoesNotPace(t *testing.T) {
	lnk := New(nil, clockwork.NewRealClock())
	if got := transfer(t, lnk, Up, 100*mib); got > time.Second {
		t.Errorf("got %v, want no wait", got)
	}
}

// Guards against stalled responses during a weight transfer. A request's bytes
// arrive while a transfer fills the link; they must not queue behind it.
func TestRequestsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lnk := New(&wire.LinkSettings{Up: mib}, clockwork.NewRealClock())
		var work sync.WaitGroup
		began := time.Now()
		work.Go(func() {
			transfer(t, lnk, Up, mib)
			wantAbout(t, time.Since(began), 3*time.Second/2)
		})
		time.Sleep(100 * time.Millisecond)
		before := time.Now()
		lnk.Reserve(Up, mib/2)
		if got := time.Since(before); got != 0 {
			t.Errorf("got a wait of %v for a request, want none", got)
		}
		work.Wait()
	})
}

func TestTransfersShrinkWhileTokensAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lnk := New(&wire.LinkSettings{Up: mib}, clockwork.NewRealClock())
		lnk.SetSlow(0.5)
		wantAbout(t, transfer(t, lnk, Up, mib), 2*time.Second)
		lnk.SetSlow(1)
		wantAbout(t, transfer(t, lnk, Up, mib/4), 5*time.Second/2)
		lnk.SetSlow(0)
		wantAbout(t, transfer(t, lnk, Up, mib), time.Second)
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lnk := New(&wire.LinkSettings{Up: mib}, clockwork.NewRealClock())
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if got, want := lnk.Wait(ctx, Up, 10*mib), context.DeadlineExceeded; !errors.Is(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}
