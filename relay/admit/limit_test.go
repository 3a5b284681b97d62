package admit

import (
	"testing"
	"time"
)

// simulate runs as many requests as the limit allows on a host with slots, for a number
// of rounds of 100 ms each, and returns the limit.
func simulate(limit *Limit, slots, rounds int, queued bool) int {
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	for range rounds {
		now = now.Add(100 * time.Millisecond)
		running := limit.Current()
		waiting := max(0, running-slots)
		if queued {
			limit.RecordQueue(now, min(running, slots), waiting)
		} else {
			limit.RecordFirstToken(now, 20*time.Millisecond+time.Duration(waiting)*50*time.Millisecond)
		}
		for i := range running {
			limit.RecordAnswer(now, running-1-i)
		}
	}
	return limit.Current()
}

func TestLimitConvergesToSlots(t *testing.T) {
	for _, slots := range []int{4, 16, 64} {
		for _, queued := range []bool{true, false} {
			got := simulate(NewLimit(0), slots, 4000, queued)
			if got < slots/2 || got > 2*slots+2 {
				t.Errorf("slots %d, queue reported %t: got limit %d, want about the number of slots", slots, queued, got)
			}
		}
	}
}

// A host that refuses everything must not keep getting many requests, but must not be
// abandoned for good either.
func TestRefusalsShrinkTheLimitToOne(t *testing.T) {
	limit := NewLimit(16)
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	for range 100 {
		now = now.Add(decreaseInterval)
		limit.RecordRefusal(now)
	}
	if got := limit.Current(); got != minLimit {
		t.Errorf("got limit %d, want %d", got, minLimit)
	}
	if !limit.Allows(0) || limit.Allows(1) {
		t.Error("got a limit other than one request at a time")
	}
}
