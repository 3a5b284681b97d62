package client

import (
	"errors"

	"comfreyrelay.example/relay/failure"
)

// attempts records the outcomes of the attempts at one request.
type attempts struct {
	isChange  bool
	ambiguous error // the last attempt that may have taken effect; nil if none
	last      error
}

// isFinal reports whether err, the outcome of one attempt, is a definite result,
// so that no other entry needs to be tried.
func (a *attempts) isFinal(err error) bool {
	switch failure.KindOf(err) {
	case failure.Unavailable, failure.Leaving, failure.Ambiguous, failure.Exhausted:
		return false
	default:
		return true
	}
}

// finalError returns the error of the whole request after a definite result. A
// conflict after an ambiguous attempt becomes a MaybeOwnConflict, because the
// conflicting change may be this request itself, whose reply was lost.
func (a *attempts) finalError(err error) error {
	if err != nil && a.ambiguous != nil && failure.KindOf(err) == failure.Conflict {
		return &MaybeOwnConflict{conflict: err}
	}
	return err
}

// record stores the error of an attempt that was not final.
func (a *attempts) record(err error) {
	a.last = err
	if a.isChange && failure.KindOf(err) == failure.Ambiguous {
		a.ambiguous = err
	}
}

// unsettledError returns the error for a request without a definite result.
// interrupted is the reason the attempts stopped early, nil if all were made.
func (a *attempts) unsettledError(interrupted error) error {
	if a.ambiguous != nil {
		return failure.New(failure.Ambiguous, "it may have taken effect or not: "+withoutRemedy(a.ambiguous),
			"look at status and audit before you try again")
	}
	if a.last == nil {
		return failure.Wrap(interrupted, failure.Unavailable, "interrupted, and nothing was changed", "run it again")
	}
	return failure.New(failure.Unavailable, "no entry could process the request, and nothing was changed: "+withoutRemedy(a.last),
		"name other entries with --entry, or try again later")
}

// withoutRemedy returns the message of err without its remedy, for use in an
// error that has its own remedy.
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

// MaybeOwnConflict is a conflict returned after an attempt whose reply was lost:
// the conflicting change may be the caller's own.
type MaybeOwnConflict struct {
	conflict error
}

// Error implements error.
func (m *MaybeOwnConflict) Error() string { return m.conflict.Error() }

// Unwrap returns the conflict as the entry reported it.
func (m *MaybeOwnConflict) Unwrap() error { return m.conflict }
