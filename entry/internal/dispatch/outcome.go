// Package dispatch runs requests on hosts. It queues a request until a host has
// capacity, sends an attempt to that host, validates the answer frames, and
// decides whether to retry and which outcome the caller receives.
package dispatch

// Outcome is the final state of a request as reported to its caller. The values
// are part of the API.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered" // the complete answer was received and its digest verified
	NotRun   Outcome = "notRun"   // proven: no back end ever began it
	Unknown  Outcome = "unknown"  // anything else
)

// Proof says what is known about whether one attempt ran.
type Proof int

// States of proof. An attempt starts as NotSent and leaves that state as soon as
// its message may have left this process.
const (
	// NotSent: the attempt's message was never written to a connection.
	NotSent Proof = iota
	// Refused: the addressed agent sent "refused" as its first frame. An agent
	// does so only for an attempt that the back end never saw, and it remembers
	// the refusal.
	Refused
	// NeverBegun: the addressed agent answered a cancel request with
	// "neverBegun". Its tombstone prevents a late delivery from starting.
	NeverBegun
	// Unproven: the attempt was sent, and nothing proves that it did not run.
	Unproven
	// Complete: the complete answer arrived.
	Complete
)

// provesNotRun reports whether the attempt certainly never ran and never will.
func (p Proof) provesNotRun() bool {
	return p == NotSent || p == Refused || p == NeverBegun
}

// outcomeOf returns the outcome that a caller may receive:
//   - answered, if the complete answer of one attempt arrived;
//   - notRun, only if every attempt is proven not to have run;
//   - unknown otherwise.
func outcomeOf(proofs []Proof) Outcome {
	outcome := NotRun
	for _, proof := range proofs {
		if proof == Complete {
			return Answered
		}
		if !proof.provesNotRun() {
			outcome = Unknown
		}
	}
	return outcome
}
