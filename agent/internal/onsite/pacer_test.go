package onsite

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// Guards against requests that reach engines 0.8 s after they were sent, some of them after
// their callers disconnected (GONE in the platform's rules). It happened when six hosts'
// links dropped to an eighth of their rate for 7 s during a rollout: weights were still sent
// at the declared rate, and nothing detected that they queued at the link.
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
		t.Errorf("got share %v with a delay of 40 ms, want %v", got, want)
	}
	// An eighth of the link's rate is left: the share must drop to that within half a second.
	if got, most := step(5, 900*time.Millisecond), 0.125; got > most {
		t.Errorf("got share %v after half a second of delay, want at most %v", got, most)
	}
	if got, want := step(100, 900*time.Millisecond), minShare; got != want {
		t.Errorf("got share %v after 10 s of delay, want the minimum %v", got, want)
	}
	// The last report of an entry that sends nothing more becomes stale.
	if got := step(40, -1); got < 0.9 || pacer.delay() != 0 {
		t.Errorf("got share %v 4 s after the last report, want at least 0.9 and no delay", got)
	}
}

// Guards against a version that reaches the hosts 3 to 10 s after all of it left the origin,
// and is loaded too late. Configurations in quick succession saturated the links between
// failure domains and kept one entry of each domain busy, so that these entries measured and
// reported delays of 0.2 to 0.9 s to and from hosts. Because the highest report counted, the hosts
// reduced the weights' share of their own links, which were not congested.
func TestDelayOnOtherLinksDoesNotSlowWeights(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports string // one letter per entry: N near with delay, n near without; F, f the same for far
		want    bool   // weights reduce their share
	}{
		{"congested links between domains", "nnnFF", false},
		{"one busy entry", "Nnn", false},
		{"one of two near entries", "Nnf", false},
		{"congested link of the host", "NNNFF", true},
		{"most near entries, with one whose messages have not queued at the link yet", "NNnff", true},
		{"the only near entry", "Nff", true},
		{"only far entries, all of them", "FF", true},
		{"only far entries, one of two", "Ff", false},
	} {
		clock := clockwork.NewFakeClock()
		pacer := newPacer(clock.Now)
		followers := make([]*follower, len(test.reports))
		for i := range followers {
			followers[i] = &follower{}
		}
		for range 5 {
			clock.Advance(adjustInterval)
			for i, kind := range test.reports {
				lag := 2 * time.Millisecond
				if kind == 'N' || kind == 'F' {
					lag = 500 * time.Millisecond
				}
				pacer.observe(followers[i], kind == 'N' || kind == 'n', lag)
			}
			pacer.share()
		}
		if got := pacer.share() < 0.1; got != test.want {
			t.Errorf("%s: got share %v, want it reduced: %v", test.name, pacer.share(), test.want)
		}
		if got := pacer.delay() == 500*time.Millisecond; got != test.want {
			t.Errorf("%s: got delay %v, want 500ms: %v", test.name, pacer.delay(), test.want)
		}
	}
}

// The last report of an entry that disconnected no longer counts.
func TestDisconnectedEntryReportsNoDelay(t *testing.T) {
	clock := clockwork.NewFakeClock()
	pacer := newPacer(clock.Now)
	disconnected, connected := &follower{}, &follower{}
	pacer.observe(disconnected, true, 500*time.Millisecond)
	pacer.forget(disconnected)
	pacer.observe(connected, false, 3*time.Millisecond)
	if got, want := pacer.delay(), 3*time.Millisecond; got != want {
		t.Errorf("got delay %v, want %v from the connected entry", got, want)
	}
}
