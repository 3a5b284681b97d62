package callers

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/relay/once"
	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

// Constants of claims at other entries.
const (
	claimTimeout  = 500 * time.Millisecond // one call
	claimTries    = 2
	settleTimeout = 500 * time.Millisecond
	settleTries   = 3
	runningRetry  = 250 * time.Millisecond
	fullRetry     = 2 * time.Second
)

// owners is how this entry reaches the others that own keys. Its fields are
// the seams.
type owners struct {
	claim  func(ctx context.Context, address string, ask *wire.ClaimRequest) (*wire.ClaimReply, error)
	settle func(ctx context.Context, address string, ask *wire.SettleRequest) error
}

func newOwners(pool *peer.Pool) owners {
	return owners{
		claim: func(ctx context.Context, address string, ask *wire.ClaimRequest) (*wire.ClaimReply, error) {
			return wire.NewDRPCControlClient(pool.Conn(ctx, address)).Claim(ctx, ask)
		},
		settle: func(ctx context.Context, address string, ask *wire.SettleRequest) error {
			_, err := wire.NewDRPCControlClient(pool.Conn(ctx, address)).Settle(ctx, ask)
			return err
		},
	}
}

// ticket is the right to run one key once.
type ticket struct {
	claim    once.Claim
	address  string // of the owner's control listener; empty: this entry or the platform
	platform bool   // the platform's service granted it
	revision uint64 // of the key there
}

// Claim answers another entry that asks to run a key owned by this one. It
// implements the rule grantOnce of the specification.
func (s *Server) Claim(_ context.Context, ask *wire.ClaimRequest) (*wire.ClaimReply, error) {
	claim, err := claimOf(ask.GetKey(), ask.GetNonce(), ask.GetBodyHash())
	if err != nil {
		return nil, err
	}
	verdict := s.keys.Claim(s.now(), claim)
	counters.Add("claims."+string(verdict.State), 1)
	return &wire.ClaimReply{State: string(verdict.State), Answer: verdict.Answer}, nil
}

// Settle takes another entry's word on how a claimed key ended.
func (s *Server) Settle(_ context.Context, ask *wire.SettleRequest) (*wire.SettleReply, error) {
	claim, err := claimOf(ask.GetKey(), ask.GetNonce(), nil)
	if err != nil {
		return nil, err
	}
	if !s.keys.Settle(s.now(), claim, once.Outcome(ask.GetOutcome()), ask.GetAnswer()) {
		counters.Add("settlesIgnored", 1)
	}
	return &wire.SettleReply{}, nil
}

func claimOf(keyText, nonceText string, hash []byte) (once.Claim, error) {
	key, err := once.Parse(keyText)
	if err != nil {
		return once.Claim{}, err
	}
	nonce, err := uuid.Parse(nonceText)
	if err != nil {
		return once.Claim{}, failure.New(failure.Invalid, "the claim's nonce is no UUID", "this is an error of the program: report it")
	}
	claim := once.Claim{Key: key, Nonce: nonce}
	copy(claim.Hash[:], hash)
	return claim, nil
}

// claim asks whoever owns the key for the right to run it. Exactly one of the
// results is set: the ticket, a kept answer, or the reason why it may not run.
func (s *Server) claim(ctx context.Context, now *index, claim once.Claim) (*ticket, []byte, *problem) {
	switch owner := claim.Key.Owner(); owner {
	case s.cfg.Self.GetIncarnation():
		return judge(&ticket{claim: claim}, s.keys.Claim(s.now(), claim))
	case "":
		return s.claimAtPlatform(ctx, claim)
	default:
		return s.claimAtOwner(ctx, now.owners[owner], claim)
	}
}

// claimAtOwner asks the entry that owns the key. A reply that is lost is asked
// for again with the same nonce, which the owner grants again. Without a reply
// nobody can tell whether the key ran before: unknown, at once.
func (s *Server) claimAtOwner(ctx context.Context, owner *wire.Node, claim once.Claim) (*ticket, []byte, *problem) {
	if owner == nil {
		return nil, nil, ownerGone()
	}
	ask := &wire.ClaimRequest{
		From:     s.cfg.Self,
		Key:      claim.Key.String(),
		BodyHash: claim.Hash[:],
		Nonce:    claim.Nonce.String(),
	}
	won := &ticket{claim: claim, address: owner.GetControlAddress()}
	for range claimTries {
		reply, err := s.askOwner(ctx, won.address, ask)
		if err == nil {
			return judge(won, once.Verdict{State: once.State(reply.GetState()), Answer: reply.GetAnswer()})
		}
	}
	// The claim may still arrive: settled first, it is not granted.
	s.door.enter()
	go func() {
		defer s.door.leave()
		s.settle(context.WithoutCancel(ctx), won, once.RunNotRun, nil)
	}()
	return nil, nil, ownerGone()
}

func (s *Server) askOwner(ctx context.Context, address string, ask *wire.ClaimRequest) (*wire.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return s.owners.claim(ctx, address, ask)
}

// judge turns the owner's verdict into what happens to the request.
func judge(won *ticket, verdict once.Verdict) (*ticket, []byte, *problem) {
	switch verdict.State {
	case once.Granted:
		return won, nil, nil
	case once.Answered:
		if len(verdict.Answer) > 0 {
			return nil, verdict.Answer, nil
		}
		return nil, nil, unknown(failure.New(failure.Ambiguous, "the request with this key ran, and its answer is no longer kept",
			"look for its effect; don't send it with a new key"))
	case once.Running:
		return nil, nil, unknown(failure.New(failure.Ambiguous, "the request with this key is running",
			"send the same key again in a moment for its answer").WithRetryAfter(runningRetry))
	case once.Mismatch:
		return nil, nil, notRun(http.StatusConflict, failure.New(failure.Conflict, "this key names another request",
			"make a new key for each request"))
	case once.Full:
		return nil, nil, notRun(http.StatusServiceUnavailable, failure.New(failure.Exhausted, "the entry that the key names can remember no more keys",
			"ask GET /v1/entries for another and make a new key").WithRetryAfter(fullRetry))
	case once.Ahead:
		return nil, nil, invalid("the once key was made in the future", "set the clock that makes the keys")
	case once.NotOwner:
		return nil, nil, ownerGone()
	default:
		return nil, nil, unknown(failure.New(failure.Ambiguous, "the request with this key may have run before",
			"look for its effect before you send it with a new key"))
	}
}

func ownerGone() *problem {
	return unknown(failure.New(failure.Ambiguous, "the entry that the key names cannot be asked whether it ran before",
		"if this key was never sent before, make a new one with the owner from GET /v1/entries; else look for the request's effect"))
}

// settle tells whoever granted the ticket how the run ended. Where the word is
// lost the key stays granted, and a later sending of it gets unknown.
func (s *Server) settle(ctx context.Context, won *ticket, outcome once.Outcome, answer []byte) {
	switch {
	case won.platform:
		if outcome == once.RunNotRun {
			s.platform.release(ctx, won)
		}
	case won.address == "":
		s.keys.Settle(s.now(), won.claim, outcome, answer)
	default:
		s.settleAtOwner(ctx, won, outcome, answer)
	}
}

func (s *Server) settleAtOwner(ctx context.Context, won *ticket, outcome once.Outcome, answer []byte) {
	ask := &wire.SettleRequest{
		From:    s.cfg.Self,
		Key:     won.claim.Key.String(),
		Nonce:   won.claim.Nonce.String(),
		Outcome: string(outcome),
		Answer:  answer,
	}
	for range settleTries {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		err := s.owners.settle(ctx, won.address, ask)
		cancel()
		if err == nil {
			return
		}
	}
	counters.Add("settlesLost", 1)
}
