package dispatch

import (
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/retry"
	"comfreyrelay.example/relay/route"
)

const (
	// A silent host is given up for a repeatable request after a multiple of
	// what is usual, within bounds.
	patienceFactor = 10
	minPatience    = time.Second
	maxPatience    = 10 * time.Second
	// onceFactor is how many times as long what may not be repeated waits: giving it up costs
	// its caller the outcome.
	onceFactor = 3
	// patienceLook is how often an attempt that waits looks whether it should go on.
	patienceLook = 250 * time.Millisecond
)

// leaveSilent reports whether the attempt at a silent host ends now. The host may be sound and
// only slow, so that what is in progress there ends only once another one has room for it.
func (r *run) leaveSilent(choice route.Choice) bool {
	if !r.req.Repeatable {
		// Once it began, no other attempt is allowed: its own answer is all that may come.
		return !r.progress.Begun()
	}
	if r.progress.Begun() || len(r.progress.Tokens()) > 0 {
		return r.reserve(choice)
	}
	return r.progress.Number() < retry.MaxAttempts
}

// reserve takes a place at another host for the next attempt and pays for its retry; false:
// there is none.
func (r *run) reserve(from route.Choice) bool {
	if r.progress.Number() >= retry.MaxAttempts {
		return false
	}
	next, ok := r.lane.reserve(r.req, r.askElsewhere, from)
	if !ok {
		return false
	}
	if !r.req.Retry() {
		r.lane.finish(next, route.Result{End: route.EndCancelled})
		return false
	}
	r.reserved = &next
	return true
}

// askElsewhere asks for a host other than that of the current attempt.
func (r *run) askElsewhere() route.Ask {
	ask := r.ask()
	ask.Exclude = append(slices.Clone(ask.Exclude), r.host)
	return ask
}

// silence counts how long a host sends nothing, in whole looks: a process that stood still
// itself sees at the next look what came meanwhile.
type silence struct {
	timer  clockwork.Timer
	limit  time.Duration
	waited time.Duration
}

func newSilence(clock clockwork.Clock, limit time.Duration) *silence {
	return &silence{timer: clock.NewTimer(patienceLook), limit: limit}
}

func (s *silence) looks() <-chan time.Time { return s.timer.Chan() }

// look counts a look at which nothing had come and reports whether that is too long.
func (s *silence) look() bool {
	s.waited += patienceLook
	s.timer.Reset(patienceLook)
	return s.waited >= s.limit
}

func (s *silence) restart() {
	s.waited = 0
	s.timer.Reset(patienceLook)
}

func (s *silence) stop() { s.timer.Stop() }

// firstPatience is how long a first frame is waited for. A plain service says nothing until it
// is done, so only the deadline bounds it.
func (r *run) firstPatience() time.Duration {
	if r.req.Service != "" {
		return r.req.Deadline.Sub(r.started)
	}
	first, _ := r.patience()
	return first
}

func (r *run) patience() (first, between time.Duration) {
	first, between = r.lane.patience()
	if !r.req.Repeatable {
		first, between = first*onceFactor, between*onceFactor
	}
	return bounded(first * patienceFactor), bounded(between * patienceFactor)
}

func bounded(patience time.Duration) time.Duration {
	if patience == 0 {
		return maxPatience // nothing is known yet
	}
	return min(maxPatience, max(minPatience, patience))
}
