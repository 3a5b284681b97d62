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

// reasonVersion is the agents' reason for a broken answer whose engine changed
// its weights meanwhile.
const reasonVersion = "versionChanged"

// maxAnswerBytes bounds the tokens or the body of one answer that are kept.
const maxAnswerBytes = 4 << 20

// StepKind says what one frame means for its request.
type StepKind int

// The kinds of a Step.
const (
	StepDrop    StepKind = iota // late, doubled or of another attempt: ignore
	StepBegin                   // the back end began
	StepRelay                   // new tokens
	StepWhole                   // the answer is whole
	StepRefused                 // the attempt is proved not to have run
	StepBroken                  // the attempt is over and proves nothing
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
	id         string
	repeatable bool
	attempts   []Proof // one an attempt, in order; the last is the current one
	version    string  // that the current attempt asked for
	adapter    string  // version of the adapter that it asked for
	open       bool    // the current attempt may still send frames
	begun      bool    // its back end said so
	next       uint32  // sequence number of its next frame
	tokens     []string
	size       int // bytes in tokens and body; at most maxAnswerBytes
	body       []byte
	digest     *blake3.Hasher // of tokens, joined by a newline, or of body
	handed     int            // tokens of the answer that went out to the caller
	tainted    bool           // the tokens so far may be wrong: nothing goes on from them
}

// NewProgress returns the state of a request before its first attempt.
func NewProgress(id string, repeatable bool) *Progress {
	return &Progress{id: id, repeatable: repeatable, digest: blake3.New()}
}

// Number returns the current attempt's number, from 1; 0 before the first.
func (p *Progress) Number() uint32 { return uint32(len(p.attempts)) }

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
func (p *Progress) Outcome() Outcome { return outcomeOf(p.attempts) }

// Pinned returns the versions that the next attempt must use, where tokens
// already went out to the caller: one answer never mixes versions.
func (p *Progress) Pinned() (version, adapter string, pinned bool) {
	return p.version, p.adapter, p.handed > 0
}

// MayRetry reports whether another attempt is allowed: for what is repeatable,
// unless wrong tokens went out already; else only if nothing so far may have
// run.
//
// Rule PROVED of spec/once.pml.
func (p *Progress) MayRetry() bool {
	if p.tainted && p.handed > 0 {
		return false
	}
	return p.repeatable || p.Outcome() == NotRun
}

// Start opens the next attempt and returns the tokens that it goes on from.
// An attempt of another version starts the answer over, which is possible only
// while nothing of it went out. ok is false where a rule forbids the attempt.
func (p *Progress) Start(version, adapter string) (resume []string, ok bool) {
	same := version == p.version && adapter == p.adapter
	if !p.MayRetry() || (p.handed > 0 && !same) {
		return nil, false
	}
	if !same || p.tainted {
		p.restart()
	}
	p.attempts = append(p.attempts, NotHandedOut)
	p.version, p.adapter = version, adapter
	p.open, p.begun, p.next = true, false, 0
	return p.tokens, true
}

func (p *Progress) restart() {
	p.tokens, p.body, p.size = nil, nil, 0
	p.tainted = false
	p.digest.Reset()
}

// HandedOut notes that the current attempt's message may have left.
func (p *Progress) HandedOut() { p.prove(NoProof) }

// Cancelled notes that the agent answered a cancel with "neverBegun".
func (p *Progress) Cancelled() { p.prove(NeverBegun) }

// Unproved reports whether the current attempt was handed out and nothing is
// proved of it yet.
func (p *Progress) Unproved() bool {
	return len(p.attempts) > 0 && p.attempts[len(p.attempts)-1] == NoProof
}

// Close ends the current attempt: no frame of it counts any more.
func (p *Progress) Close() { p.open = false }

// Handed notes that the tokens so far went out to the caller.
func (p *Progress) Handed() { p.handed = len(p.tokens) }

func (p *Progress) prove(proof Proof) { p.attempts[len(p.attempts)-1] = proof }

// Take judges one frame.
func (p *Progress) Take(frame *wire.Frame) Step {
	current := frame.GetRequestId() == p.id && frame.GetAttempt() == p.Number()
	if !p.open || !current || frame.GetSequence() < p.next {
		return Step{Kind: StepDrop}
	}
	if frame.GetSequence() > p.next {
		return p.broken("a frame is missing")
	}
	p.next++
	switch frame.GetKind() {
	case frameBegin:
		return p.begin(frame)
	case frameTokens:
		return p.relay(frame)
	case frameBody:
		return p.takeBody(frame)
	case frameEnd:
		return p.end(frame)
	case frameRefused:
		return p.refused(frame)
	case frameBroken:
		if frame.GetReason() == reasonVersion {
			return p.taint(frame.GetReason())
		}
		return p.broken(frame.GetReason())
	default:
		return p.broken("a frame of an unknown kind")
	}
}

func (p *Progress) begin(frame *wire.Frame) Step {
	switch {
	case p.begun:
		return p.broken("a second begin")
	case frame.GetVersion() != p.version:
		return p.broken("the engine began with another version")
	}
	p.begun = true
	return Step{Kind: StepBegin}
}

func (p *Progress) relay(frame *wire.Frame) Step {
	if !p.begun {
		return p.broken("tokens before begin")
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
		return p.taint("the answer is too long")
	}
	return Step{Kind: StepRelay, Tokens: frame.GetTokens()}
}

func (p *Progress) takeBody(frame *wire.Frame) Step {
	if !p.begun {
		return p.broken("a body before begin")
	}
	p.size += len(frame.GetBody())
	if p.size > maxAnswerBytes {
		return p.taint("the answer is too long")
	}
	_, _ = p.digest.Write(frame.GetBody())
	p.body = append(p.body, frame.GetBody()...)
	return Step{Kind: StepRelay}
}

// end accepts the answer as whole only with the version it began with and the
// digest of everything that was kept, resumed tokens included.
func (p *Progress) end(frame *wire.Frame) Step {
	switch {
	case !p.begun:
		return p.broken("an end before begin")
	case frame.GetVersion() != p.version:
		return p.taint("the engine ended with another version")
	case !bytes.Equal(frame.GetDigest(), p.Digest()):
		return p.taint("the answer does not match its digest")
	}
	p.open = false
	p.prove(Whole)
	return Step{Kind: StepWhole}
}

// refused takes an agent's refusal as proof only as its first frame: after
// "begin" the back end has seen the attempt.
func (p *Progress) refused(frame *wire.Frame) Step {
	if p.begun || frame.GetSequence() != 0 {
		return p.broken("a refusal after begin")
	}
	p.open = false
	p.prove(Refused)
	return Step{Kind: StepRefused, Reason: frame.GetReason()}
}

// taint ends the attempt like broken, and with it the use of the tokens so far:
// resumed from, wrong tokens would come back under a digest that matches them.
func (p *Progress) taint(reason string) Step {
	p.tainted = true
	return p.broken(reason)
}

func (p *Progress) broken(reason string) Step {
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
