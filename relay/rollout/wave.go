// Package rollout decides when each host loads a new version of its weights, so
// that few are out of service at once and none serves an old version too long.
// It is pure: every host computes its own time from what all hosts know.
package rollout

import (
	"slices"
	"time"

	"comfreyrelay.example/relay/rendezvous"
)

const (
	// earlySpan is the time in which the first half of the hosts loads: were
	// the next version declared meanwhile, that half carries the requests while
	// the other half skips to it.
	earlySpan = 1500 * time.Millisecond
	// margin is left between the last load's end and the time at which an older
	// version may no longer be used.
	margin = 250 * time.Millisecond
)

// Declared is one version as its declaration became known.
type Declared struct {
	Version uint64
	At      time.Time
}

// Deadline returns when a host that has a version loaded may no longer use it:
// within the bound after the first newer one was declared. ok is false where no
// newer one is known.
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

// Start returns when a host should load a version that lies ready since the time
// given: the first half within a short span, the others spread until the
// deadline, less the time that a load takes.
func Start(ready, deadline time.Time, load time.Duration, host string, hosts []string, version string) time.Time {
	left := deadline.Add(-load - margin).Sub(ready)
	if left <= 0 {
		return ready
	}
	part := position(host, hosts, version)
	early := min(left, earlySpan)
	if part < 0.5 {
		return ready.Add(time.Duration(2 * part * float64(early)))
	}
	if left <= earlySpan {
		return ready.Add(time.Duration((2*part - 1) * float64(left)))
	}
	return ready.Add(early + time.Duration((2*part-1)*float64(left-early)))
}

// position returns the host's place among all, 0 to 1, in an order that differs
// from version to version.
func position(host string, hosts []string, version string) float64 {
	all := hosts
	if !slices.Contains(all, host) {
		all = append(slices.Clone(all), host)
	}
	ranked := rendezvous.Top(version, all, len(all))
	return float64(slices.Index(ranked, host)) / float64(len(ranked))
}
