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
