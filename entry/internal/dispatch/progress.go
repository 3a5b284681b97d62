package dispatch

import (
	"bytes"

	"github.com/zeebo/blake3"

	"comfreyrelay.example/relay/wire"
)

// Values of wire.Frame.Kind.
const (
	frameBegin   = "begin"
	frameTokens  = "tokens"
	frameBody    = "body"
	frameEnd     = "end"
	frameRefused = "refused"
	frameBroken  = "broken"
)

// reasonVersionChanged is the reason of a "broken" frame that an agent sends when
// its engine switched weights during the answer.
const reasonVersionChanged = "versionChanged"

// maxAnswerBytes limits the size of the tokens or the body kept for one answer.
const maxAnswerBytes = 4 << 20

// StepKind classifies the effect of a frame on its request.
type StepKind int

// Kinds of a Step.
const (
	StepIgnore   StepKind = iota // late, duplicate or from another attempt: ignored
	StepBegin                    // the back end began the attempt
	StepData                     // new tokens or new body bytes
	StepComplete                 // the answer is complete and verified
	StepRefused                  // the attempt is proven not to have run
	StepBroken                   // the attempt ended without proving whether it ran
)

// Step is the effect of one frame.
type Step struct {
	Kind   StepKind
	Tokens []string // with StepData
	Reason string   // with StepRefused and StepBroken
}

// Progress is the state machine of one request across its attempts. It performs
// no I/O: it maps each frame to a Step.
type Progress struct {
	id           string
	repeatable   bool
	proofs       []Proof // one per attempt, in order; the last is the current attempt
	version      string  // model version requested by the current attempt
	adapter      string  // adapter version requested by the current attempt
	open         bool    // frames of the current attempt are still accepted
	begun        bool    // the back end of the current attempt sent "begin"
	nextSequence uint32  // expected sequence number of the next frame
	tokens       []string
	size         int // total bytes of tokens and body; at most maxAnswerBytes
	body         []byte
	digest       *blake3.Hasher // of the tokens joined by newlines, or of the body
	delivered    int            // number of tokens already delivered to the caller
	tainted      bool           // the tokens so far may be wrong, so no attempt resumes from them
}

// NewProgress returns the state of a request before its first attempt.
func NewProgress(id string, repeatable bool) *Progress {
	return &Progress{id: id, repeatable: repeatable, digest: blake3.New()}
}

// AttemptNumber returns the number of the current attempt, counted from 1, or 0
// before the first attempt.
func (p *Progress) AttemptNumber() uint32 { return uint32(len(p.proofs)) }

// Begun reports whether the back end of the current attempt sent "begin".
func (p *Progress) Begun() bool { return p.begun }

// Version returns the model version requested by the current attempt.
func (p *Progress) Version() string { return p.version }

// Tokens returns the tokens received so far.
func (p *Progress) Tokens() []string { return p.tokens }

// Body returns the body received so far.
func (p *Progress) Body() []byte { return p.body }

// Digest returns the digest of the tokens or the body received so far.
func (p *Progress) Digest() []byte { return p.digest.Sum(nil) }

// Outcome returns the outcome that the caller would receive now.
func (p *Progress) Outcome() Outcome { return outcomeOf(p.proofs) }

// Pinned returns the model and adapter versions that the next attempt must use.
// pinned is true once tokens were delivered to the caller, because one answer
// never mixes versions.
func (p *Progress) Pinned() (version, adapter string, pinned bool) {
	return p.version, p.adapter, p.delivered > 0
}

// MayRetry reports whether another attempt is allowed. A repeatable request may
// be retried unless possibly wrong tokens were delivered. Any other request may
// be retried only if every earlier attempt is proven not to have run.
//
// Rule PROVED of spec/once.pml.
func (p *Progress) MayRetry() bool {
	if p.tainted && p.delivered > 0 {
		return false
	}
	return p.repeatable || p.Outcome() == NotRun
}

// Start begins the next attempt and returns the tokens from which it resumes. An
// attempt with a different version restarts the answer, which is possible only
// while no token was delivered. ok is false if the attempt is not allowed.
func (p *Progress) Start(version, adapter string) (resume []string, ok bool) {
	same := version == p.version && adapter == p.adapter
	if !p.MayRetry() || (p.delivered > 0 && !same) {
		return nil, false
	}
	if !same || p.tainted {
		p.discardAnswer()
	}
	p.proofs = append(p.proofs, NotSent)
	p.version, p.adapter = version, adapter
	p.open, p.begun, p.nextSequence = true, false, 0
	return p.tokens, true
}

// discardAnswer drops the tokens and the body received so far.
func (p *Progress) discardAnswer() {
	p.tokens, p.body, p.size = nil, nil, 0
	p.tainted = false
	p.digest.Reset()
}

// MarkSent records that the current attempt's message may have left this process.
func (p *Progress) MarkSent() { p.setProof(Unproven) }

// MarkNeverBegun records that the agent answered a cancel request with
// "neverBegun".
func (p *Progress) MarkNeverBegun() { p.setProof(NeverBegun) }

// IsUnproven reports whether the current attempt was sent and it is not yet proven
// whether it ran.
func (p *Progress) IsUnproven() bool {
	return len(p.proofs) > 0 && p.proofs[len(p.proofs)-1] == Unproven
}

// Close ends the current attempt. Its later frames are ignored.
func (p *Progress) Close() { p.open = false }

// MarkDelivered records that the tokens received so far were sent to the caller.
func (p *Progress) MarkDelivered() { p.delivered = len(p.tokens) }

// setProof records the proof of the current attempt.
func (p *Progress) setProof(proof Proof) { p.proofs[len(p.proofs)-1] = proof }

// HandleFrame validates one frame, updates the state and returns the effect.
func (p *Progress) HandleFrame(frame *wire.Frame) Step {
	current := frame.GetRequestId() == p.id && frame.GetAttempt() == p.AttemptNumber()
	if !p.open || !current || frame.GetSequence() < p.nextSequence {
		return Step{Kind: StepIgnore}
	}
	if frame.GetSequence() > p.nextSequence {
		return p.fail("missing frame")
	}
	p.nextSequence++
	switch frame.GetKind() {
	case frameBegin:
		return p.handleBegin(frame)
	case frameTokens:
		return p.handleTokens(frame)
	case frameBody:
		return p.handleBody(frame)
	case frameEnd:
		return p.handleEnd(frame)
	case frameRefused:
		return p.handleRefused(frame)
	case frameBroken:
		if frame.GetReason() == reasonVersionChanged {
			return p.failTainted(frame.GetReason())
		}
		return p.fail(frame.GetReason())
	default:
		return p.fail("unknown frame kind")
	}
}

func (p *Progress) handleBegin(frame *wire.Frame) Step {
	switch {
	case p.begun:
		return p.fail("duplicate begin frame")
	case frame.GetVersion() != p.version:
		return p.fail("the engine began with a version that was not requested")
	}
	p.begun = true
	return Step{Kind: StepBegin}
}

func (p *Progress) handleTokens(frame *wire.Frame) Step {
	if !p.begun {
		return p.fail("tokens frame before begin")
	}
	for _, token := range frame.GetTokens() {
		if len(p.tokens) > 0 {
			_, _ = p.digest.WriteString("\n")
		}
		_, _ = p.digest.WriteString(token)
		p.tokens = append(p.tokens, token)
		p.size += len(token)
	}
	if p.size > maxAnswerBytes {
		return p.failTainted("the answer is too long")
	}
	return Step{Kind: StepData, Tokens: frame.GetTokens()}
}

func (p *Progress) handleBody(frame *wire.Frame) Step {
	if !p.begun {
		return p.fail("body frame before begin")
	}
	p.size += len(frame.GetBody())
	if p.size > maxAnswerBytes {
		return p.failTainted("the answer is too long")
	}
	_, _ = p.digest.Write(frame.GetBody())
	p.body = append(p.body, frame.GetBody()...)
	return Step{Kind: StepData}
}

// handleEnd accepts the answer as complete only if the version is the one it began
// with and the digest covers everything kept, including the resumed tokens.
func (p *Progress) handleEnd(frame *wire.Frame) Step {
	switch {
	case !p.begun:
		return p.fail("end frame before begin")
	case frame.GetVersion() != p.version:
		return p.failTainted("the engine ended with a version that was not requested")
	case !bytes.Equal(frame.GetDigest(), p.Digest()):
		return p.failTainted("the answer does not match its digest")
	}
	p.open = false
	p.setProof(Complete)
	return Step{Kind: StepComplete}
}

// handleRefused accepts a refusal as proof only if it is the first frame: after
// "begin" the back end has seen the attempt.
func (p *Progress) handleRefused(frame *wire.Frame) Step {
	if p.begun || frame.GetSequence() != 0 {
		return p.fail("refused frame after begin")
	}
	p.open = false
	p.setProof(Refused)
	return Step{Kind: StepRefused, Reason: frame.GetReason()}
}

// failTainted ends the attempt like fail and forbids resuming from the tokens
// received so far. If an attempt resumed from wrong tokens, its digest would cover
// them and match.
func (p *Progress) failTainted(reason string) Step {
	p.tainted = true
	return p.fail(reason)
}

// fail ends the attempt without proof of whether it ran.
func (p *Progress) fail(reason string) Step {
	p.open = false
	return Step{Kind: StepBroken, Reason: reason}
}

// DigestOf returns the digest of the tokens of a complete answer.
func DigestOf(tokens []string) []byte {
	sum := blake3.New()
	for i, token := range tokens {
		if i > 0 {
			_, _ = sum.WriteString("\n")
		}
		_, _ = sum.WriteString(token)
	}
	return sum.Sum(nil)
}
