package route

import (
	"time"

	"comfreyrelay.example/relay/failure"
)

// Policy is a way to choose among hosts with room.
type Policy string

// The policies; all but Affinity are baselines for measurements.
const (
	Affinity      Policy = "affinity"
	Random        Policy = "random"
	RoundRobin    Policy = "roundRobin"
	LeastInFlight Policy = "leastInFlight"
)

// ParsePolicy reads a policy's name; empty means Affinity.
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

func (t *Table) pickByPolicy(now time.Time, ask Ask) *hostState {
	switch t.options.Policy {
	case Random:
		return t.firstAvailable(now, ask, t.random.IntN(len(t.hosts)))
	case RoundRobin:
		t.nextIndex++
		return t.firstAvailable(now, ask, t.nextIndex)
	case LeastInFlight:
		return t.leastInFlight(now, ask)
	default:
		return t.lowestCost(now, ask)
	}
}

func (t *Table) firstAvailable(now time.Time, ask Ask, start int) *hostState {
	for n := range t.hosts {
		host := t.hosts[(start+n)%len(t.hosts)]
		if t.available(now, host, ask) {
			return host
		}
	}
	return nil
}

func (t *Table) leastInFlight(now time.Time, ask Ask) *hostState {
	var least *hostState
	start := t.random.IntN(len(t.hosts))
	for n := range t.hosts {
		host := t.hosts[(start+n)%len(t.hosts)]
		if t.available(now, host, ask) && (least == nil || host.inFlight < least.inFlight) {
			least = host
		}
	}
	return least
}
