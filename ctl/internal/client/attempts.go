package client

import (
	"errors"

	"comfreyrelay.example/relay/failure"
)

// attempts remembers how the tries of one request ended.
type attempts struct {
	isChange  bool
	ambiguous error // the last try whose effect is not known; nil if none
	last      error
}

// isFinal reports whether no other entry needs to be asked.
func (a *attempts) isFinal(err error) bool {
	switch failure.KindOf(err) {
	case failure.Unavailable, failure.Leaving, failure.Ambiguous, failure.Exhausted:
		return false
	default:
		return true
	}
}

// finalError returns what a definite reply means after the earlier tries. A
// conflict may be with a change of our own whose reply was lost.
func (a *attempts) finalError(err error) error {
	if err != nil && a.ambiguous != nil && failure.KindOf(err) == failure.Conflict {
		return &MaybeOwnConflict{conflict: err}
	}
	return err
}

func (a *attempts) record(err error) {
	a.last = err
	if a.isChange && failure.KindOf(err) == failure.Ambiguous {
		a.ambiguous = err
	}
}

// unsettledError returns the error for a request that no entry settled; interrupted is
// why the tries stopped early, nil where all were made.
func (a *attempts) unsettledError(interrupted error) error {
	if a.ambiguous != nil {
		return failure.New(failure.Ambiguous, "it may have taken effect or not: "+withoutRemedy(a.ambiguous),
			"look at status and audit before you try again")
	}
	if a.last == nil {
		return failure.Wrap(interrupted, failure.Unavailable, "interrupted, and nothing was changed", "run it again")
	}
	return failure.New(failure.Unavailable, "no entry could do it, and nothing was changed: "+withoutRemedy(a.last),
		"name other entries with --entry, or try again later")
}

// withoutRemedy returns what happened, for an error with a remedy of its own.
func withoutRemedy(err error) string {
	var problem *failure.Error
	if !errors.As(err, &problem) {
		return err.Error()
	}
	if cause := problem.Unwrap(); cause != nil {
		return problem.Message() + ": " + cause.Error()
	}
	return problem.Message()
}

// MaybeOwnConflict is a conflict that came after a try whose reply was lost:
// the change in the way may be the caller's own.
type MaybeOwnConflict struct {
	conflict error
}

// Error implements error.
func (m *MaybeOwnConflict) Error() string { return m.conflict.Error() }

// Unwrap returns the conflict as the entry reported it.
func (m *MaybeOwnConflict) Unwrap() error { return m.conflict }
