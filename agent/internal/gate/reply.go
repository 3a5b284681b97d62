package gate

import (
	"time"

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

// replyStream sends the frames of one attempt. It is not safe for concurrent use.
type replyStream struct {
	gate     *Gate
	att      *wire.Attempt
	send     func(*wire.Frame) error
	sequence uint32 // of the next frame; consecutive
	lastSent bool   // sendLast was called; the send may have failed
}

// sendFrame numbers a frame and sends it.
func (r *replyStream) sendFrame(frame *wire.Frame) error {
	frame.RequestId = r.att.GetRequestId()
	frame.Attempt = r.att.GetAttempt()
	frame.Sequence = r.sequence
	r.sequence++
	return r.send(frame)
}

// sendLast sends the last frame of the attempt. There must be exactly one.
func (r *replyStream) sendLast(frame *wire.Frame) error {
	if !r.gate.cfg.Invariants.Check(!r.lastSent, "oneLastFrame", "request", r.att.GetRequestId()) {
		return nil
	}
	r.lastSent = true
	running, _ := r.gate.limiter.inUse()
	frame.Running = uint32(running)
	_, frame.Revision = r.gate.rules.current()
	return r.sendFrame(frame)
}

// sendRefused sends a refused frame, which proves that the attempt did not run. If
// the attempt may have run, it sends a broken frame instead.
func (r *replyStream) sendRefused(refused refusal) error {
	if refused.mayHaveRun {
		return r.sendBroken(refused.reason)
	}
	r.gate.cfg.Counters.Add("refused."+refused.reason, 1)
	r.logOutcome("attempt refused", refused.reason)
	return r.sendLast(&wire.Frame{
		Kind:             frameRefused,
		Reason:           refused.reason,
		RetryAfterMillis: uint32(refused.retryAfter / time.Millisecond),
	})
}

// sendBroken sends a broken frame: the attempt may have run, and the answer is not
// complete.
func (r *replyStream) sendBroken(reason string) error {
	r.gate.cfg.Counters.Add("broken."+reason, 1)
	r.logOutcome("attempt broken", reason)
	return r.sendLast(&wire.Frame{Kind: frameBroken, Reason: reason})
}

func (r *replyStream) logOutcome(message, reason string) {
	r.gate.cfg.Log.Debug(message, "request", r.att.GetRequestId(), "attempt", r.att.GetAttempt(), "reason", reason)
}

func (r *replyStream) sendBegin(version string) error {
	running, _ := r.gate.limiter.inUse()
	return r.sendFrame(&wire.Frame{Kind: frameBegin, Version: version, Running: uint32(running)})
}

// sendEnd sends the end frame, which marks the answer as complete. digest is the
// BLAKE3 hash of the answer.
func (r *replyStream) sendEnd(version string, digest []byte) error {
	r.gate.cfg.Counters.Add("answered", 1)
	return r.sendLast(&wire.Frame{Kind: frameEnd, Version: version, Digest: digest})
}

// tokenDigest computes the BLAKE3 hash of all tokens joined by newlines, and counts
// them.
type tokenDigest struct {
	hash  *blake3.Hasher
	count int
}

// newTokenDigest returns a digest of the tokens relayed before this attempt.
func newTokenDigest(tokens []string) *tokenDigest {
	digest := &tokenDigest{hash: blake3.New()}
	for _, token := range tokens {
		digest.add(token)
	}
	return digest
}

func (d *tokenDigest) add(token string) {
	if d.count > 0 {
		_, _ = d.hash.WriteString("\n")
	}
	_, _ = d.hash.WriteString(token)
	d.count++
}

func (d *tokenDigest) sum() []byte { return d.hash.Sum(nil) }
