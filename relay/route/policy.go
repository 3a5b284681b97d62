package route

import (
	"time"

	"comfreyrelay.example/relay/failure"
)

// Policy is a way to choose among hosts with capacity.
type Policy string

// The policies. All but Affinity are baselines for measurements.
const (
	Affinity      Policy = "affinity"
	Random        Policy = "random"
	RoundRobin    Policy = "roundRobin"
	LeastInFlight Policy = "leastInFlight"
)

// ParsePolicy parses the name of a policy; an empty name means Affinity.
func ParsePolicy(name string) (Policy, error) {
	switch policy := Policy(name); policy {
	case "":
		return Affinity, nil
	case Affinity, Random, RoundRobin, LeastInFlight:
		return policy, nil
	default:
		return "", failure.New(failure.Invalid, "unknown routing policy "+name,
			"use affinity, random, roundRobin or leastInFlight")
	}
}

// pickByPolicy returns a host with capacity by the configured policy, or nil.
func (t *Table) pickByPolicy(now time.Time, needs Requirements) *hostState {
	switch t.options.Policy {
	case Random:
		return t.firstAvailable(now, needs, t.random.IntN(len(t.hosts)))
	case RoundRobin:
		t.nextIndex++
		return t.firstAvailable(now, needs, t.nextIndex)
	case LeastInFlight:
		return t.leastInFlight(now, needs)
	default:
		return t.lowestCost(now, needs)
	}
}

// firstAvailable returns the first host with capacity, from index start on.
func (t *Table) firstAvailable(now time.Time, needs Requirements, start int) *hostState {
	for n := range t.hosts {
		host := t.hosts[(start+n)%len(t.hosts)]
		if t.available(now, host, needs) {
			return host
		}
	}
	return nil
}

// leastInFlight returns the available host with the fewest of this entry's own
// attempts in progress, with ties broken at random.
func (t *Table) leastInFlight(now time.Time, needs Requirements) *hostState {
	var least *hostState
	start := t.random.IntN(len(t.hosts))
	for n := range t.hosts {
		host := t.hosts[(start+n)%len(t.hosts)]
		if t.available(now, host, needs) && (least == nil || host.inFlight < least.inFlight) {
			least = host
		}
	}
	return least
}
