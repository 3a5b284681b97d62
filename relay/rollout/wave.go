// Package rollout decides when each host fetches and loads a new version of its
// weights, so that few hosts are out of service at once and none serves an old
// version for too long. Its functions are pure: each host computes its own
// schedule from data that all hosts share.
package rollout

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
)

const (
	// firstHostSpread is the time from the origin's last chunk until the first
	// host has all chunks, as a multiple of TransferTimes.Host.
	firstHostSpread = 0.65
	// mostHostsSpread is the same time until most hosts have all chunks, with a
	// reserve for slow links.
	mostHostsSpread = 1.1
	// pullSpread is how much later the last host begins to fetch from other
	// hosts than the first, as a multiple of TransferTimes.Host. If all hosts were
	// ready at once, all would load at once.
	pullSpread = 0.85
	// onTimeFraction is the fraction of hosts that load before the deadline.
	onTimeFraction = 0.75
	// lateStartSpread is the period after the deadline over which the other
	// hosts begin to load.
	lateStartSpread = 500 * time.Millisecond
	// drainTimeout is how long these hosts wait for running requests.
	drainTimeout = 1500 * time.Millisecond
	// maxPostponement is how long a host may postpone its load. Without a limit
	// the loads of many hosts would coincide.
	maxPostponement = 1200 * time.Millisecond
	// deadlineMargin is the reserve between the end of the last load and the
	// time at which the older version may no longer be used.
	deadlineMargin = 700 * time.Millisecond
)

// Declared is a version and the time at which its declaration became known.
type Declared struct {
	Version uint64
	At      time.Time
}

// TransferTimes holds the transfer and load times of one version's weights.
type TransferTimes struct {
	Host   time.Duration // over the host's link alone; 0 if unknown
	Origin time.Duration // over the origin's link alone; 0 if unknown
	Load   time.Duration // into the engine
}

// completeAfter returns the time from the declaration until a host has the complete
// version: the origin sends every chunk once, then the hosts exchange the chunks.
func (m TransferTimes) completeAfter(spread float64) time.Duration {
	return max(m.Origin, m.Host) + scale(m.Host, spread)
}

// Floor returns the lowest version that may still be used: the newest version that
// was declared at least bound ago, or 0 if there is none.
func Floor(history []Declared, now time.Time, bound time.Duration) uint64 {
	floor := uint64(0)
	for _, decl := range history {
		if now.Sub(decl.At) >= bound {
			floor = max(floor, decl.Version)
		}
	}
	return floor
}

// Deadline returns when a host may no longer use its loaded version: bound after
// the first newer version was declared. ok is false if no newer version is known.
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

// PullDelay returns how long a host waits before it fetches from other hosts, so
// that hosts with a lower place can use the links first.
func PullDelay(move TransferTimes, place float64) time.Duration {
	return scale(move.Host, pullSpread*place)
}

// Start returns when a host with the given place should load a fetched version.
// The loads of most hosts are spread from the time at which the first host has the
// version to the deadline, less the time for a load. The last hosts load after the
// deadline: they get no new requests before it, finish the running ones and
// interrupt none.
func Start(declared, deadline time.Time, move TransferTimes, place float64) time.Time {
	if LoadsAfterDeadline(place) {
		return deadline.Add(scale(lateStartSpread, (place-onTimeFraction)/(1-onTimeFraction)))
	}
	first := declared.Add(move.completeAfter(firstHostSpread))
	last := latestLoadStart(deadline, move)
	if !last.After(first) {
		return first
	}
	return first.Add(scale(last.Sub(first), place/onTimeFraction))
}

// MayPostpone reports whether a host may postpone its load for requests in progress that
// the load would end without another attempt.
func MayPostpone(now, start, deadline time.Time, move TransferTimes) bool {
	return now.Before(start.Add(maxPostponement)) && now.Before(latestLoadStart(deadline, move))
}

// latestLoadStart returns the latest start of a load that still ends before the
// deadline.
func latestLoadStart(deadline time.Time, move TransferTimes) time.Time {
	return deadline.Add(-move.Load - deadlineMargin)
}

// LoadsAfterDeadline reports whether a host with the given place finishes its running requests
// before it loads.
func LoadsAfterDeadline(place float64) bool { return place >= onTimeFraction }

// MayInterrupt reports whether a load may interrupt running requests: before the deadline,
// and again once drainTimeout has passed after it.
func MayInterrupt(now, deadline time.Time) bool {
	return now.Before(deadline) || now.After(deadline.Add(drainTimeout))
}

func scale(span time.Duration, factor float64) time.Duration {
	return time.Duration(float64(span) * factor)
}

// Place returns the host's position in the rollout order, from 0 (first) to 1. It is
// the same for every version, so that a host that loads one version early fetches
// the next one early.
func Place(host string, hosts []string) float64 {
	count := len(hosts)
	if !slices.Contains(hosts, host) {
		count++
	}
	return float64(rendezvous.Rank(orderKey, host, hosts)) / float64(count)
}

// orderKey is the rendezvous key of the rollout order.
const orderKey = "rollout"

// Places returns the position of each host in the rollout order; see Place.
func Places(hosts []string) map[string]float64 {
	places := make(map[string]float64, len(hosts))
	for rank, host := range rendezvous.Top(orderKey, hosts, len(hosts)) {
		places[host] = float64(rank) / float64(len(hosts))
	}
	return places
}
