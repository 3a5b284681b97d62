// Package dispatch runs requests on hosts: it waits for room, chooses a host,
// hands the attempt out, checks what comes back and decides what may be tried
// again and what the caller receives.
package dispatch

// Outcome is the outcome of a request that its caller receives. Its values are the API's.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered" // the whole answer, verified
	NotRun   Outcome = "notRun"   // proved: no back end ever began it
	Unknown  Outcome = "unknown"  // anything else
)

// Proof is what is known of whether one attempt ran.
type Proof int

// The proofs. An attempt starts as NotHandedOut and loses that at the moment
// its message may have left this process.
const (
	// NotSent: the attempt's message was never given to a connection.
	NotSent Proof = iota
	// Refused: the agent it was meant for answered "refused" as its first
	// frame, which it does only for what the back end never saw, and remembers.
	Refused
	// NeverBegun: the agent it was meant for answered a cancel with
	// "neverBegun"; its tombstone keeps a late delivery from beginning.
	NeverBegun
	// Unproven: it was handed out, and nothing proves that it did not run.
	Unproven
	// Complete: its answer arrived whole.
	Complete
)

// provesNotRun reports whether the attempt surely never ran and never will.
func (p Proof) provesNotRun() bool {
	return p == NotSent || p == Refused || p == NeverBegun
}

// outcomeOf applies the rule for what a caller may receive:
//   - answered, if one attempt's answer arrived whole;
//   - notRun, only if each attempt is proved not to have run;
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
