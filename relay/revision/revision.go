// Package revision decides which document, plan and drain marks are current in
// a process, whether they come from the key-value service, another entry or an
// agent. A current value is never replaced by an older one.
package revision

import (
	"time"

	"comfreyrelay.example/relay/wire"
)

// Verdict is the result of comparing a received version with the current one.
type Verdict int

// The verdicts.
const (
	Older         Verdict = iota // the current version is newer and is kept
	Same                         // the same version, though its confirmation may be more recent
	Newer                        // the received version replaces the current one
	Contradiction                // same revision, different content: an invariant is violated
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"older", "same", "newer", "contradiction"}[v]
}

// State holds the versions that are current in one process. It is not safe for
// concurrent use.
type State struct {
	root        *wire.Root       // nil: revision 0; all of its parts are held locally
	plan        *wire.Plan       // nil: plan revision 0
	drains      *wire.DrainMarks // nil: none
	confirmedAt time.Time        // never decreases; zero: not confirmed yet
}

// Root returns the current root, or nil.
func (s *State) Root() *wire.Root { return s.root }

// Plan returns the current plan, or nil.
func (s *State) Plan() *wire.Plan { return s.plan }

// Drains returns the operators' current drain marks, or nil.
func (s *State) Drains() *wire.DrainMarks { return s.drains }

// ConfirmedAt returns when the service last confirmed the root, by the local
// clock, or the zero time if it never has.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// CompareRoot compares root with the current root without adopting it.
func (s *State) CompareRoot(root *wire.Root) Verdict {
	offered, held := root.GetRevision(), s.root.GetRevision()
	if offered < held {
		return Older
	}
	if offered > held {
		return Newer
	}
	if rootIdentity(root) != rootIdentity(s.root) {
		return Contradiction
	}
	return Same
}

// AdoptRoot makes root current if it is newer. The caller must already hold all
// of its parts.
//
// Rule MONOTONE of spec/document.pml.
func (s *State) AdoptRoot(root *wire.Root) Verdict {
	verdict := s.CompareRoot(root)
	if verdict == Newer {
		s.root = root
	}
	return verdict
}

// rootIdentity distinguishes roots of the same revision. It includes the submission
// ID because two submissions with equal content still differ: the service
// accepted only one of them.
func rootIdentity(root *wire.Root) [2]string {
	return [2]string{root.GetAudit().GetContentHash(), root.GetSubmissionId()}
}

// AdoptPlan makes plan current if it is newer.
func (s *State) AdoptPlan(plan *wire.Plan) Verdict {
	offered, held := plan.GetPlanRevision(), s.plan.GetPlanRevision()
	if offered < held {
		return Older
	}
	if offered > held {
		s.plan = plan
		return Newer
	}
	if plan.GetFence() != s.plan.GetFence() {
		return Contradiction
	}
	return Same
}

// AdoptDrains makes marks current if they are newer.
func (s *State) AdoptDrains(marks *wire.DrainMarks) Verdict {
	offered, held := marks.GetRevision(), s.drains.GetRevision()
	if offered < held {
		return Older
	}
	if offered == held {
		return Same
	}
	s.drains = marks
	return Newer
}

// Confirm records that the service confirmed revision at the given time. It
// ignores other revisions than the current one, and times before the last
// confirmation, so that a clock set back does not move it back.
func (s *State) Confirm(revision uint32, at time.Time) {
	if revision == s.root.GetRevision() && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Age returns the time since the last confirmation; known is false if there was
// none. After the clock is set back the age is 0, never negative.
func (s *State) Age(now time.Time) (age time.Duration, known bool) {
	if s.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(s.confirmedAt)), true
}

// UnknownAge is the value of Known.AgeMillis before the first confirmation.
const UnknownAge = ^uint64(0)

// Known returns the current revisions and their age, as sent with messages to
// other processes.
func (s *State) Known(now time.Time) *wire.Known {
	millis := UnknownAge
	if age, known := s.Age(now); known {
		millis = uint64(age.Milliseconds())
	}
	return &wire.Known{
		Revision:      s.root.GetRevision(),
		PlanRevision:  s.plan.GetPlanRevision(),
		DrainRevision: s.drains.GetRevision(),
		AgeMillis:     millis,
	}
}

// ObserveKnown records the confirmation that a received message carries.
func (s *State) ObserveKnown(known *wire.Known, now time.Time) {
	if known == nil || known.GetAgeMillis() == UnknownAge {
		return
	}
	const limit = uint64(365 * 24 * time.Hour / time.Millisecond)
	age := time.Duration(min(known.GetAgeMillis(), limit)) * time.Millisecond
	s.Confirm(known.GetRevision(), now.Add(-age))
}

// Lacks reports which of the current versions are newer than the sender's.
func (s *State) Lacks(known *wire.Known) (root, plan, drains bool) {
	return known.GetRevision() < s.root.GetRevision(),
		known.GetPlanRevision() < s.plan.GetPlanRevision(),
		known.GetDrainRevision() < s.drains.GetRevision()
}

// Offers reports whether the sender has any version newer than the current one.
func (s *State) Offers(known *wire.Known) bool {
	return known.GetRevision() > s.root.GetRevision() ||
		known.GetPlanRevision() > s.plan.GetPlanRevision() ||
		known.GetDrainRevision() > s.drains.GetRevision()
}
