package gate

import (
	"expvar"
	"log/slog"
)

// Invariants records rules that broke inside the process. None ever should.
type Invariants struct {
	Log *slog.Logger
	// Failures is the expvar counter "invariantFailures".
	Failures *expvar.Int
	// Panic stops the process, in tests.
	Panic bool
}

// Check records that the rule broke unless ok is true.
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
