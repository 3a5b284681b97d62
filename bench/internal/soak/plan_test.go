package soak

import (
	"slices"
	"testing"
	"time"
)

// TestPlanRepeats checks that a plan depends only on its arguments and that an
// hour's plan has events of every kind.
func TestPlanRepeats(t *testing.T) {
	sizes := Sizes{Entries: 9, Hosts: 9, Services: 2}
	first, second := Plan(3, time.Hour, sizes), Plan(3, time.Hour, sizes)
	if !slices.Equal(first, second) {
		t.Error("Plan: got two different plans for one seed, want the same")
	}
	if slices.Equal(first, Plan(4, time.Hour, sizes)) {
		t.Error("Plan: got the same plan for two seeds, want different ones")
	}
	seen := map[Kind]bool{}
	for _, event := range first {
		seen[event.Kind] = true
	}
	if got, want := len(seen), len(eventRules); got != want {
		t.Errorf("kinds in an hour: got %d, want %d", got, want)
	}
}

// Guards against runs that fail because no host is left to serve: without a
// limit on simultaneous faults, a plan could affect most hosts at once.
func TestPlanLimitsAffectedHosts(t *testing.T) {
	sizes := Sizes{Entries: 9, Hosts: 9, Services: 2}
	events := Plan(5, time.Hour, sizes)
	for i, event := range events {
		if event.Target == noTarget {
			continue
		}
		hosts := map[int]bool{}
		for _, earlier := range events[:i+1] {
			if onHost(earlier.Kind) && earlier.At+earlier.Length > event.At {
				hosts[earlier.Target] = true
			}
		}
		if got, limit := len(hosts), (sizes.Hosts-1)/2; got > limit {
			t.Fatalf("hosts affected at %v: got %d, want at most %d", event.At, got, limit)
		}
	}
}

func onHost(kind Kind) bool {
	return slices.ContainsFunc(eventRules, func(rule eventRule) bool { return rule.kind == kind && rule.target == targetHost })
}
