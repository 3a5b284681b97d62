package onsite

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Symptom: requests reach engines 0.8 s after they were sent, some after their
// callers left (GONE of the platform's rules). Sequence: six hosts' links are squeezed
// to an eighth for 7 s while a new version is on its way; weights go on at the rate
// that the platform told. Cause: nothing noticed that they stood before the link.
func TestWeightsLeaveANarrowLinkToRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	paced := newPace(clock.Now)
	step := func(count int, lag time.Duration) float64 {
		part := 0.0
		for range count {
			clock.Advance(paceStep)
			if lag >= 0 {
				paced.hear(lag)
			}
			part = paced.share()
		}
		return part
	}
	if got, want := step(10, 40*time.Millisecond), 1.0; got != want {
		t.Errorf("got a part of %v of the usual rate on a calm day, want %v", got, want)
	}
	// An eighth of the link is left: within half a second less than that is taken.
	if got, most := step(5, 900*time.Millisecond), 0.125; got > most {
		t.Errorf("got a part of %v after half a second of delay, want at most %v", got, most)
	}
	if got, want := step(100, 900*time.Millisecond), leastPart; got != want {
		t.Errorf("got a part of %v, want never less than %v", got, want)
	}
	// Entries that send nothing more tell nothing: the word is stale.
	if got := step(40, -1); got < 0.9 || paced.heard() != 0 {
		t.Errorf("got a part of %v 4 s after the last word, want most of it", got)
	}
}

// One entry hears nothing of a delay that another one has.
func TestHighestDelayCounts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	paced := newPace(clock.Now)
	for range 5 {
		clock.Advance(paceStep)
		paced.hear(500 * time.Millisecond)
		paced.hear(2 * time.Millisecond)
		paced.share()
	}
	if got, want := paced.heard(), 500*time.Millisecond; got != want {
		t.Errorf("got a delay of %v to tell other entries, want %v", got, want)
	}
	if got := paced.share(); got > 0.1 {
		t.Errorf("got a part of %v, want little while one entry sees a delay", got)
	}
}
