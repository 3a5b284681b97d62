package onsite

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Symptom: requests reach engines 0.8 s after they were sent, some after their
// callers left (GONE of the platform's rules). Sequence: six hosts' links are squeezed
// to an eighth for 7 s while a new version is on its way; weights go on at the rate
// that the platform declared. Cause: nothing noticed that they stood before the link.
func TestWeightsYieldANarrowLinkToRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	pacer := newPacer(clock.Now)
	entries := []*follower{{}}
	step := func(count int, lag time.Duration) float64 {
		share := 0.0
		for range count {
			clock.Advance(adjustInterval)
			if lag >= 0 {
				pacer.observe(entries[0], true, lag)
			}
			share = pacer.share()
		}
		return share
	}
	if got, want := step(10, 40*time.Millisecond), 1.0; got != want {
		t.Errorf("got a part of %v of the usual rate on a calm day, want %v", got, want)
	}
	// An eighth of the link is left: within half a second less than that is taken.
	if got, most := step(5, 900*time.Millisecond), 0.125; got > most {
		t.Errorf("got a part of %v after half a second of delay, want at most %v", got, most)
	}
	if got, want := step(100, 900*time.Millisecond), minShare; got != want {
		t.Errorf("got a part of %v, want never less than %v", got, want)
	}
	// Entries that send nothing more report nothing: their last report is stale.
	if got := step(40, -1); got < 0.9 || pacer.delay() != 0 {
		t.Errorf("got a part of %v 4 s after the last word, want most of it", got)
	}
}

// Symptom: a version that had left the origin whole was on the hosts 3 to 10 s later, and
// in force too late. Sequence: configurations in quick succession fill the links between
// failure domains and keep one entry of each domain busy; these entries see messages to and
// from hosts 0.2 to 0.9 s late and say so. Cause: the highest report counted, so the hosts
// left their own links, which were free, to requests.
func TestDelayOnOtherLinksDoesNotSlowWeights(t *testing.T) {
	for _, test := range []struct {
		name  string
		words string // a letter an entry: N near and late, n near and not, F and f far
		want  bool   // weights leave the link
	}{
		{"links between domains", "nnnFF", false},
		{"one busy entry", "Nnn", false},
		{"one of two near ones", "Nnf", false},
		{"the host's link", "NNNFF", true},
		{"most near entries, another's way is not through the link's queue yet", "NNnff", true},
		{"an only near entry", "Nff", true},
		{"far entries alone, all", "FF", true},
		{"far entries alone, one", "Ff", false},
	} {
		clock := clockwork.NewFakeClock()
		pacer := newPacer(clock.Now)
		followers := make([]*follower, len(test.words))
		for i := range followers {
			followers[i] = &follower{}
		}
		for range 5 {
			clock.Advance(adjustInterval)
			for i, kind := range test.words {
				lag := 2 * time.Millisecond
				if kind == 'N' || kind == 'F' {
					lag = 500 * time.Millisecond
				}
				pacer.observe(followers[i], kind == 'N' || kind == 'n', lag)
			}
			pacer.share()
		}
		if got := pacer.share() < 0.1; got != test.want {
			t.Errorf("%s: got a part of %v of the usual rate, want little: %v", test.name, pacer.share(), test.want)
		}
		if got := pacer.delay() == 500*time.Millisecond; got != test.want {
			t.Errorf("%s: got a delay of %v to report, want the long one: %v", test.name, pacer.delay(), test.want)
		}
	}
}

// The last report of an entry that stopped no longer counts.
func TestDisconnectedEntryReportsNoDelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	pacer := newPacer(clock.Now)
	disconnected, connected := &follower{}, &follower{}
	pacer.observe(disconnected, true, 500*time.Millisecond)
	pacer.forget(disconnected)
	pacer.observe(connected, false, 3*time.Millisecond)
	if got, want := pacer.delay(), 3*time.Millisecond; got != want {
		t.Errorf("got a delay of %v, want %v of the one that stays", got, want)
	}
}
