package dispatch

import (
	"expvar"
	"log/slog"
)

// invariantFailures counts violated invariants by rule.
var invariantFailures = expvar.NewMap("invariantFailures")

// Invariants reports violated internal invariants. Any violation is a bug.
type Invariants struct {
	Log   *slog.Logger
	Panic bool // panic on a violation; for tests
}

// Check logs and counts a violation of the rule if ok is false. It returns ok.
func (i Invariants) Check(ok bool, rule string, attrs ...any) bool {
	if ok {
		return true
	}
	invariantFailures.Add(rule, 1)
	i.Log.Error("invariant broke", append([]any{"rule", rule}, attrs...)...)
	if i.Panic {
		panic("invariant broke: " + rule)
	}
	return false
}
