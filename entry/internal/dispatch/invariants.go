package dispatch

import (
	"expvar"
	"log/slog"
)

// failures counts broken invariants, by rule.
var failures = expvar.NewMap("invariantFailures")

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
	failures.Add(rule, 1)
	i.Log.Error("invariant broke", append([]any{"rule", rule}, attrs...)...)
	if i.Panic {
		panic("invariant broke: " + rule)
	}
	return false
}
