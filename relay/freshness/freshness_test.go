package freshness_test

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/freshness"
)

// TestAgeGrowsDuringASuspension guards against accepting a revoked key after a
// suspension. That happens if a process reads the keys, is suspended for a minute
// and answers on resuming before it has asked for newer ones, with the age
// measured by a clock that stopped during the suspension.
func TestAgeGrowsDuringASuspension(t *testing.T) {
	now := time.Duration(0)
	fresh := freshness.NewTracker(func() time.Duration { return now })
	if _, known := fresh.Age(); known {
		t.Errorf("got a proof before any, want none")
	}
	now = time.Second
	fresh.Prove(now)
	now += time.Minute
	if age, known := fresh.Age(); !known || age != time.Minute {
		t.Errorf("got age %v, %v, want a minute", age, known)
	}
}

func TestOlderProofsChangeNothing(t *testing.T) {
	fresh := freshness.NewTracker(func() time.Duration { return 10 * time.Second })
	fresh.Prove(8 * time.Second)
	fresh.Prove(5 * time.Second)
	if age, _ := fresh.Age(); age != 2*time.Second {
		t.Errorf("got age %v, want 2s", age)
	}
}

func TestBootClockGoesOn(t *testing.T) {
	before := freshness.BootClock()
	if after := freshness.BootClock(); after < before || before <= 0 {
		t.Errorf("got %v after %v, want a clock that advances", after, before)
	}
}

// Guards against acting on an observation from before a suspension.
func TestProofExpiresDuringASuspension(t *testing.T) {
	now := time.Minute
	proof := freshness.NewProof(func() time.Duration { return now })
	now += 2 * time.Second
	if !proof.Holds(2 * time.Second) {
		t.Errorf("got a proof of age %v expired, want it to hold for 2s", proof.Age())
	}
	now += time.Millisecond
	if proof.Holds(2 * time.Second) {
		t.Errorf("got a proof of age %v valid, want it expired after 2s", proof.Age())
	}
}

// Guards against ages and deadlines that a suspension stretches: the steady clock stands still.
func TestClockCountsSuspensions(t *testing.T) {
	boot, steady := time.Minute, time.Second
	clock := freshness.NewClockOf(time.Now(), func() time.Duration { return boot }, func() time.Duration { return steady })
	since := clock.Now()
	boot, steady = boot+time.Second, steady+time.Second
	if got, want := clock.Since(since), time.Second; got != want {
		t.Errorf("got %v after a second, want %v", got, want)
	}
	boot, steady = boot+4*time.Second, steady+20*time.Millisecond
	if got, want := clock.Since(since).Round(100*time.Millisecond), 5*time.Second; got != want {
		t.Errorf("got %v after a suspension of 4s, want %v", got, want)
	}
}

// Guards against a clock that stays ahead because its process stood still between two readings.
func TestClockIgnoresPauseBetweenReadings(t *testing.T) {
	now, pause, startedAt := time.Duration(0), 4*time.Second, time.Now()
	read := func() time.Duration { return now }
	clock := freshness.NewClockOf(startedAt, read, func() time.Duration { now += pause; return now })
	pause = 0
	for range 2 {
		now += time.Second
		if got := clock.Since(startedAt.Round(0)); got > now {
			t.Errorf("got %v, want at most %v", got, now)
		}
	}
	before := clock.Now()
	now += time.Second
	if got, want := clock.Since(before), time.Second; got != want {
		t.Errorf("got %v after a second, want %v", got, want)
	}
}
