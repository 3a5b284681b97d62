package gate

import (
	"expvar"
	"log/slog"
)

// Invariants records violations of internal invariants. Each violation is a bug.
type Invariants struct {
	Log *slog.Logger
	// Failures is the expvar counter "invariantFailures".
	Failures *expvar.Int
	// Panic makes Check panic on a violation; it is set in tests.
	Panic bool
}

// Check returns ok. If ok is false, it counts and logs a violation of the rule.
func (i *Invariants) Check(ok bool, rule string, attrs ...any) bool {
	if ok {
		return true
	}
	i.Failures.Add(1)
	i.Log.Error("invariant broke", append([]any{"rule", rule}, attrs...)...)
	if i.Panic {
		panic("invariant broke: " + rule)
	}
	return false
}
