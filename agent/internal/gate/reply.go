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

// reply sends the frames of one attempt. One goroutine uses it.
type reply struct {
	gate     *Gate
	att      *wire.Attempt
	send     func(*wire.Frame) error
	sequence uint32 // of the next frame; no gaps
	closed   bool   // the last frame was sent
}

func (r *reply) frame(frame *wire.Frame) error {
	frame.RequestId = r.att.GetRequestId()
	frame.Attempt = r.att.GetAttempt()
	frame.Sequence = r.sequence
	r.sequence++
	return r.send(frame)
}

// last sends the frame after which there is none.
func (r *reply) last(frame *wire.Frame) error {
	if !r.gate.cfg.Invariants.Check(!r.closed, "oneLastFrame", "request", r.att.GetRequestId()) {
		return nil
	}
	r.closed = true
	running, _ := r.gate.capacity.inUse()
	frame.Running = uint32(running)
	_, frame.Revision = r.gate.rules.load()
	return r.frame(frame)
}

// refuse says that the attempt was not run, or that it may have been where the
// refusal is no proof.
func (r *reply) refuse(why refusal) error {
	if why.unproved {
		return r.broken(why.reason)
	}
	r.gate.cfg.Counters.Add("refused."+why.reason, 1)
	r.log("attempt refused", why.reason)
	return r.last(&wire.Frame{
		Kind:             frameRefused,
		Reason:           why.reason,
		RetryAfterMillis: uint32(why.retry / time.Millisecond),
	})
}

func (r *reply) broken(reason string) error {
	r.gate.cfg.Counters.Add("broken."+reason, 1)
	r.log("attempt broken", reason)
	return r.last(&wire.Frame{Kind: frameBroken, Reason: reason})
}

func (r *reply) log(message, reason string) {
	r.gate.cfg.Log.Debug(message, "request", r.att.GetRequestId(), "attempt", r.att.GetAttempt(), "reason", reason)
}

func (r *reply) begin(version string) error {
	running, _ := r.gate.capacity.inUse()
	return r.frame(&wire.Frame{Kind: frameBegin, Version: version, Running: uint32(running)})
}

func (r *reply) end(version string, digest []byte) error {
	r.gate.cfg.Counters.Add("answered", 1)
	return r.last(&wire.Frame{Kind: frameEnd, Version: version, Digest: digest})
}

// digest is the BLAKE3 of all tokens joined by a newline.
type digest struct {
	hash  *blake3.Hasher
	count int
}

func newDigest(tokens []string) *digest {
	sum := &digest{hash: blake3.New()}
	for _, token := range tokens {
		sum.add(token)
	}
	return sum
}

func (d *digest) add(token string) {
	if d.count > 0 {
		_, _ = d.hash.WriteString("\n")
	}
	_, _ = d.hash.WriteString(token)
	d.count++
}

func (d *digest) sum() []byte { return d.hash.Sum(nil) }
