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

func (t *Table) byPolicy(now time.Time, ask Ask) *host {
	switch t.options.Policy {
	case Random:
		return t.firstOpen(now, ask, t.random.IntN(len(t.hosts)))
	case RoundRobin:
		t.turn++
		return t.firstOpen(now, ask, t.turn)
	case LeastInFlight:
		return t.leastInFlight(now, ask)
	default:
		return t.best(now, ask)
	}
}

func (t *Table) firstOpen(now time.Time, ask Ask, start int) *host {
	for n := range t.hosts {
		each := t.hosts[(start+n)%len(t.hosts)]
		if t.open(now, each, ask) {
			return each
		}
	}
	return nil
}

func (t *Table) leastInFlight(now time.Time, ask Ask) *host {
	var least *host
	start := t.random.IntN(len(t.hosts))
	for n := range t.hosts {
		each := t.hosts[(start+n)%len(t.hosts)]
		if t.open(now, each, ask) && (least == nil || each.inFlight < least.inFlight) {
			least = each
		}
	}
	return least
}
