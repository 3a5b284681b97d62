package dispatch

import (
	"bytes"

	"github.com/zeebo/blake3"

	"comfreyrelay.example/relay/wire"
)

// Kinds of wire.Frame.
const (
	frameBegin   = "begin"
	frameTokens  = "tokens"
	frameBody    = "body"
	frameEnd     = "end"
	frameRefused = "refused"
	frameBroken  = "broken"
)

// reasonVersionChanged is the agents' reason for a broken answer whose engine changed
// its weights meanwhile.
const reasonVersionChanged = "versionChanged"

// maxAnswerBytes bounds the tokens or the body of one answer that are kept.
const maxAnswerBytes = 4 << 20

// StepKind says what one frame means for its request.
type StepKind int

// The kinds of a Step.
const (
	StepIgnore   StepKind = iota // late, doubled or of another attempt: ignore
	StepBegin                    // the back end began
	StepData                     // new tokens
	StepComplete                 // the answer is whole
	StepRefused                  // the attempt is proved not to have run
	StepBroken                   // the attempt is over and proves nothing
)

// Step is the effect of one frame.
type Step struct {
	Kind   StepKind
	Tokens []string // with StepRelay
	Reason string   // with StepRefused and StepBroken
}

// Progress is the state of one request over its attempts. It is pure: frames
// go in, steps come out.
type Progress struct {
	id           string
	repeatable   bool
	proofs       []Proof // one an attempt, in order; the last is the current one
	version      string  // that the current attempt asked for
	adapter      string  // version of the adapter that it asked for
	open         bool    // the current attempt may still send frames
	begun        bool    // its back end said so
	nextSequence uint32  // sequence number of its next frame
	tokens       []string
	size         int // bytes in tokens and body; at most maxAnswerBytes
	body         []byte
	digest       *blake3.Hasher // of tokens, joined by a newline, or of body
	delivered    int            // tokens of the answer that went out to the caller
	tainted      bool           // the tokens so far may be wrong: nothing goes on from them
}

// NewProgress returns the state of a request before its first attempt.
func NewProgress(id string, repeatable bool) *Progress {
	return &Progress{id: id, repeatable: repeatable, digest: blake3.New()}
}

// AttemptNumber returns the current attempt's number, from 1; 0 before the first.
func (p *Progress) AttemptNumber() uint32 { return uint32(len(p.proofs)) }

// Begun reports whether the back end of the current attempt said that it began.
func (p *Progress) Begun() bool { return p.begun }

// Version returns the version of the current attempt.
func (p *Progress) Version() string { return p.version }

// Tokens returns the answer's tokens so far.
func (p *Progress) Tokens() []string { return p.tokens }

// Body returns the answer's body so far.
func (p *Progress) Body() []byte { return p.body }

// Digest returns the digest of the tokens or the body so far.
func (p *Progress) Digest() []byte { return p.digest.Sum(nil) }

// Outcome returns the outcome that the caller may receive now.
func (p *Progress) Outcome() Outcome { return outcomeOf(p.proofs) }

// Pinned returns the versions that the next attempt must use, where tokens
// already went out to the caller: one answer never mixes versions.
func (p *Progress) Pinned() (version, adapter string, pinned bool) {
	return p.version, p.adapter, p.delivered > 0
}

// MayRetry reports whether another attempt is allowed: for what is repeatable,
// unless wrong tokens went out already; else only if nothing so far may have
// run.
//
// Rule PROVED of spec/once.pml.
func (p *Progress) MayRetry() bool {
	if p.tainted && p.delivered > 0 {
		return false
	}
	return p.repeatable || p.Outcome() == NotRun
}

// Start opens the next attempt and returns the tokens that it goes on from.
// An attempt of another version starts the answer over, which is possible only
// while nothing of it went out. ok is false where a rule forbids the attempt.
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

func (p *Progress) discardAnswer() {
	p.tokens, p.body, p.size = nil, nil, 0
	p.tainted = false
	p.digest.Reset()
}

// MarkSent notes that the current attempt's message may have left.
func (p *Progress) MarkSent() { p.setProof(Unproven) }

// MarkNeverBegun notes that the agent answered a cancel with "neverBegun".
func (p *Progress) MarkNeverBegun() { p.setProof(NeverBegun) }

// IsUnproven reports whether the current attempt was handed out and nothing is
// proved of it yet.
func (p *Progress) IsUnproven() bool {
	return len(p.proofs) > 0 && p.proofs[len(p.proofs)-1] == Unproven
}

// Close ends the current attempt: no frame of it counts any more.
func (p *Progress) Close() { p.open = false }

// MarkDelivered notes that the tokens so far went out to the caller.
func (p *Progress) MarkDelivered() { p.delivered = len(p.tokens) }

func (p *Progress) setProof(proof Proof) { p.proofs[len(p.proofs)-1] = proof }

// HandleFrame judges one frame.
func (p *Progress) HandleFrame(frame *wire.Frame) Step {
	current := frame.GetRequestId() == p.id && frame.GetAttempt() == p.AttemptNumber()
	if !p.open || !current || frame.GetSequence() < p.nextSequence {
		return Step{Kind: StepIgnore}
	}
	if frame.GetSequence() > p.nextSequence {
		return p.fail("a frame is missing")
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
		return p.fail("a frame of an unknown kind")
	}
}

func (p *Progress) handleBegin(frame *wire.Frame) Step {
	switch {
	case p.begun:
		return p.fail("a second begin")
	case frame.GetVersion() != p.version:
		return p.fail("the engine began with another version")
	}
	p.begun = true
	return Step{Kind: StepBegin}
}

func (p *Progress) handleTokens(frame *wire.Frame) Step {
	if !p.begun {
		return p.fail("tokens before begin")
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
		return p.fail("a body before begin")
	}
	p.size += len(frame.GetBody())
	if p.size > maxAnswerBytes {
		return p.failTainted("the answer is too long")
	}
	_, _ = p.digest.Write(frame.GetBody())
	p.body = append(p.body, frame.GetBody()...)
	return Step{Kind: StepData}
}

// handleEnd accepts the answer as whole only with the version it began with and the
// digest of everything that was kept, resumed tokens included.
func (p *Progress) handleEnd(frame *wire.Frame) Step {
	switch {
	case !p.begun:
		return p.fail("an end before begin")
	case frame.GetVersion() != p.version:
		return p.failTainted("the engine ended with another version")
	case !bytes.Equal(frame.GetDigest(), p.Digest()):
		return p.failTainted("the answer does not match its digest")
	}
	p.open = false
	p.setProof(Complete)
	return Step{Kind: StepComplete}
}

// handleRefused takes an agent's refusal as proof only as its first frame: after
// "begin" the back end has seen the attempt.
func (p *Progress) handleRefused(frame *wire.Frame) Step {
	if p.begun || frame.GetSequence() != 0 {
		return p.fail("a refusal after begin")
	}
	p.open = false
	p.setProof(Refused)
	return Step{Kind: StepRefused, Reason: frame.GetReason()}
}

// failTainted ends the attempt like broken, and with it the use of the tokens so far:
// resumed from, wrong tokens would come back under a digest that matches them.
func (p *Progress) failTainted(reason string) Step {
	p.tainted = true
	return p.fail(reason)
}

func (p *Progress) fail(reason string) Step {
	p.open = false
	return Step{Kind: StepBroken, Reason: reason}
}

// DigestOf returns the digest of a whole answer's tokens.
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
