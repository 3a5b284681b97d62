// Package revision decides which document, plan and drain marks a process
// holds in force, whatever its source: the key-value service, another entry or an
// agent. What is in force never falls back to something older.
package revision

import (
	"time"

	"comfreyrelay.example/relay/wire"
)

// Verdict says what an offer means to its receiver.
type Verdict int

// The verdicts.
const (
	Older         Verdict = iota // the receiver knows more: keep
	Same                         // nothing new, but perhaps a fresher confirmation
	Newer                        // adopt
	Contradiction                // the same revision with another content: an invariant broke
)

// String returns the verdict as logs show it.
func (v Verdict) String() string {
	return [...]string{"older", "same", "newer", "contradiction"}[v]
}

// State is what one process has in force. It is not safe for concurrent use.
type State struct {
	root        *wire.Root       // nil: revision 0; its parts are all at hand
	plan        *wire.Plan       // nil: plan revision 0
	drains      *wire.DrainMarks // nil: none
	confirmedAt time.Time        // never falls; zero: nobody confirmed anything yet
}

// Root returns the root in force, or nil.
func (s *State) Root() *wire.Root { return s.root }

// Plan returns the plan in force, or nil.
func (s *State) Plan() *wire.Plan { return s.plan }

// Drains returns the operators' marks in force, or nil.
func (s *State) Drains() *wire.DrainMarks { return s.drains }

// ConfirmedAt returns when the service last confirmed the root, by the local
// clock; zero where nobody ever did.
func (s *State) ConfirmedAt() time.Time { return s.confirmedAt }

// JudgeRoot says what a root would change, without adopting it.
func (s *State) JudgeRoot(root *wire.Root) Verdict {
	offered, held := root.GetRevision(), s.root.GetRevision()
	if offered < held {
		return Older
	}
	if offered > held {
		return Newer
	}
	if contentOf(root) != contentOf(s.root) {
		return Contradiction
	}
	return Same
}

// AdoptRoot takes the root in force where it is newer; the caller holds all
// its parts.
//
// Rule MONOTONE of spec/document.pml.
func (s *State) AdoptRoot(root *wire.Root) Verdict {
	verdict := s.JudgeRoot(root)
	if verdict == Newer {
		s.root = root
	}
	return verdict
}

// contentOf identifies a root beyond its revision. Two submissions of the same
// content are still two: the service accepted only one of them.
func contentOf(root *wire.Root) [2]string {
	return [2]string{root.GetAudit().GetContentHash(), root.GetSubmissionId()}
}

// AdoptPlan takes the plan in force where it is newer.
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

// AdoptDrains takes the marks in force where they are newer.
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

// Confirm notes that the service confirmed the revision at the given moment:
// only a confirmation of what is in force counts, and time never goes back
// when the clock does.
func (s *State) Confirm(revision uint32, at time.Time) {
	if revision == s.root.GetRevision() && at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// Age returns how old the knowledge is; known is false where nobody ever
// confirmed it. A clock that jumped back yields 0, never a negative age.
func (s *State) Age(now time.Time) (age time.Duration, known bool) {
	if s.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(s.confirmedAt)), true
}

// UnknownAge is what Known.AgeMillis bears while nobody confirmed anything.
const UnknownAge = ^uint64(0)

// Known returns what messages to other processes bear.
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

// ObserveKnown takes over a confirmation that came with a message.
func (s *State) ObserveKnown(known *wire.Known, now time.Time) {
	if known == nil || known.GetAgeMillis() == UnknownAge {
		return
	}
	const limit = uint64(365 * 24 * time.Hour / time.Millisecond)
	age := time.Duration(min(known.GetAgeMillis(), limit)) * time.Millisecond
	s.Confirm(known.GetRevision(), now.Add(-age))
}

// Lacks says what a message's sender lacks of what is in force here.
func (s *State) Lacks(known *wire.Known) (root, plan, drains bool) {
	return known.GetRevision() < s.root.GetRevision(),
		known.GetPlanRevision() < s.plan.GetPlanRevision(),
		known.GetDrainRevision() < s.drains.GetRevision()
}

// Offers says what a message's sender knows that is not in force here.
func (s *State) Offers(known *wire.Known) bool {
	return known.GetRevision() > s.root.GetRevision() ||
		known.GetPlanRevision() > s.plan.GetPlanRevision() ||
		known.GetDrainRevision() > s.drains.GetRevision()
}
