// Package rollout decides when each host fetches and loads a new version of its
// weights, so that few are out of service at once and none serves an old version
// too long. It is pure: every host computes its own part from what all hosts
// know.
package rollout

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
)

const (
	// firstSpread is the time from the origin's last chunk until the first host
	// has them all, as a multiple of what the version takes on a host's link.
	firstHostSpread = 0.65
	// usualSpread is the same until most hosts have them, with room for narrow
	// links.
	mostHostsSpread = 1.1
	// pullSpread is how much later the last host begins to fetch from others
	// than the first, in the same unit. Were all hosts ready at once, all
	// would load at once.
	pullSpread = 0.85
	// inTimePart is the part of the hosts that load before the deadline.
	onTimeFraction = 0.75
	// afterSpan is the time after the deadline in which the others begin.
	lateStartSpread = 500 * time.Millisecond
	// dryTime is how long these wait for what runs.
	drainTimeout = 1500 * time.Millisecond
	// finalWait is how long a host lets its turn pass at most: the turns of many would come
	// together otherwise.
	maxPostponement = 1200 * time.Millisecond
	// margin is left between the last load's end and the time at which an older
	// version may no longer be used.
	deadlineMargin = 700 * time.Millisecond
)

// Declared is one version as its declaration became known.
type Declared struct {
	Version uint64
	At      time.Time
}

// Move is how long the weights of one version take on their way.
type Move struct {
	Host   time.Duration // over the host's link alone; 0: unknown
	Origin time.Duration // over the origin's link alone; 0: unknown
	Load   time.Duration // into the engine
}

// whole returns the time from the declaration until a host is whole: every chunk
// leaves the origin once and then spreads.
func (m Move) completeAfter(spread float64) time.Duration {
	return max(m.Origin, m.Host) + scale(m.Host, spread)
}

// Floor returns the lowest version that may still be used: the newest of those
// that were declared the bound ago or earlier; 0 where there is none.
func Floor(history []Declared, now time.Time, bound time.Duration) uint64 {
	floor := uint64(0)
	for _, decl := range history {
		if now.Sub(decl.At) >= bound {
			floor = max(floor, decl.Version)
		}
	}
	return floor
}

// Deadline returns when a host that has a version loaded may no longer use it:
// the bound after the first newer one was declared. ok is false where no newer
// one is known.
func Deadline(history []Declared, loaded uint64, bound time.Duration) (deadline time.Time, ok bool) {
	for _, decl := range history {
		if decl.Version <= loaded {
			continue
		}
		if at := decl.At.Add(bound); !ok || at.Before(deadline) {
			deadline, ok = at, true
		}
	}
	return deadline, ok
}

// PullDelay returns how long a host at the place leaves the links to those
// before it.
func PullDelay(move Move, place float64) time.Duration {
	return scale(move.Host, pullSpread*place)
}

// Start returns when a host at the place should load a version that lies ready.
// Most hosts take their turns from the time at which the first has it to the
// deadline, less the time that a load takes. The last ones come after the
// deadline: they get nothing new before it, run dry and cut nothing off.
func Start(declared, deadline time.Time, move Move, place float64) time.Time {
	if RunsDry(place) {
		return deadline.Add(scale(lateStartSpread, (place-onTimeFraction)/(1-onTimeFraction)))
	}
	first := declared.Add(move.completeAfter(firstHostSpread))
	last := latestLoadStart(deadline, move)
	if !last.After(first) {
		return first
	}
	return first.Add(scale(last.Sub(first), place/onTimeFraction))
}

// LetsPass reports whether a host lets its turn pass for requests in progress that a load would
// end for good.
func LetsPass(now, start, deadline time.Time, move Move) bool {
	return now.Before(start.Add(maxPostponement)) && now.Before(latestLoadStart(deadline, move))
}

// latest returns when a load begins at the latest that ends before the deadline.
func latestLoadStart(deadline time.Time, move Move) time.Time {
	return deadline.Add(-move.Load - deadlineMargin)
}

// RunsDry reports whether a host at the place waits for what runs before it loads.
func RunsDry(place float64) bool { return place >= onTimeFraction }

// MayCut reports whether a load may cut off what runs: before the deadline, and
// some time after it where something still runs.
func MayCut(now, deadline time.Time) bool {
	return now.Before(deadline) || now.After(deadline.Add(drainTimeout))
}

func scale(span time.Duration, factor float64) time.Duration {
	return time.Duration(float64(span) * factor)
}

// Place returns the host's place among all, 0 to 1. It is the same for every
// version, so that who loads one early fetches the next one early.
func Place(host string, hosts []string) float64 {
	count := len(hosts)
	if !slices.Contains(hosts, host) {
		count++
	}
	return float64(rendezvous.Rank(orderKey, host, hosts)) / float64(count)
}

// orderKey is the key of the order in which hosts take their turns.
const orderKey = "rollout"

// Places returns the places of all hosts.
func Places(hosts []string) map[string]float64 {
	places := make(map[string]float64, len(hosts))
	for rank, host := range rendezvous.Top(orderKey, hosts, len(hosts)) {
		places[host] = float64(rank) / float64(len(hosts))
	}
	return places
}
