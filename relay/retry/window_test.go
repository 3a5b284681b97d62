package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"comfreyrelay.example/relay/retry"
)

// The repeats allowed in any window are at most the ratio of the requests in that window
// and the one before, plus the slack.
func TestRepeatsStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, ratio, slack = 10 * time.Second, 0.2, 5.0
		window := retry.NewWindow(span)
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gapMillis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "repeat") {
				if allowed, _ := window.AllowRepeat(now, ratio, slack); allowed {
					events = append(events, event{now, true})
				}
				continue
			}
			window.AddRequest(now)
			events = append(events, event{now, false})
		}
		for _, end := range events {
			requests, repeats := 0, 0
			for _, other := range events {
				switch since := end.at.Sub(other.at); {
				case since < 0 || since >= 2*span:
				case !other.repeat:
					requests++
				case since < span-span/10:
					repeats++
				}
			}
			if float64(repeats) > ratio*float64(requests)+slack {
				t.Fatalf("got %d repeats beside %d requests, want at most %.1f", repeats, requests, ratio*float64(requests)+slack)
			}
		}
	})
}

func TestRepeatsAreAllowedAgainAfterWindow(t *testing.T) {
	window := retry.NewWindow(10 * time.Second)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i, want := range []bool{true, false} {
		if got, _ := window.AllowRepeat(now, 0.2, 1); got != want {
			t.Errorf("repeat %d with a slack of one: got %v, want %v", i+1, got, want)
		}
	}
	if got, _ := window.AllowRepeat(now.Add(11*time.Second), 0.2, 1); !got {
		t.Errorf("got no repeat after the window, want one")
	}
}
