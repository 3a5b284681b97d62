package dispatch

import (
	"expvar"
	"log/slog"
)

// invariantFailures counts broken invariants, by rule.
var invariantFailures = expvar.NewMap("invariantFailures")

// Invariants records rules that broke inside the process. None ever should.
type Invariants struct {
	Log   *slog.Logger
	Panic bool // stop the process, in tests
}

// Check records that the rule broke unless ok is true, and returns ok.
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
