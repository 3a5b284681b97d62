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

// Constants for claiming and settling keys at other entries.
const (
	claimTimeout      = 500 * time.Millisecond // per attempt
	claimAttempts     = 2
	settleTimeout     = 500 * time.Millisecond
	settleAttempts    = 2
	maxHops           = 5 // processes to contact about one key
	runningRetryAfter = 250 * time.Millisecond
	fullRetryAfter    = 2 * time.Second
)

// ownerClient sends claims and settlements to the entries that own keys. Its
// fields are functions, so that tests can replace them.
type ownerClient struct {
	claim  func(ctx context.Context, address string, req *wire.ClaimRequest) (*wire.ClaimReply, error)
	settle func(ctx context.Context, address string, req *wire.SettleRequest) error
}

func newOwnerClient(pool *peer.Pool) ownerClient {
	return ownerClient{
		claim: func(ctx context.Context, address string, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
			return wire.NewDRPCControlClient(pool.Conn(ctx, address)).Claim(ctx, req)
		},
		settle: func(ctx context.Context, address string, req *wire.SettleRequest) error {
			_, err := wire.NewDRPCControlClient(pool.Conn(ctx, address)).Settle(ctx, req)
			return err
		},
	}
}

// grant is the right to run one key once.
type grant struct {
	claim    once.Claim
	address  string // of the process that granted it; empty for this process and for the store
	inStore  bool   // granted by the platform's store
	revision uint64 // of the key in the store
}

// Claim handles another entry's claim of a key that this entry is responsible for.
func (s *Server) Claim(_ context.Context, req *wire.ClaimRequest) (*wire.ClaimReply, error) {
	claim, err := parseClaim(req.GetKey(), req.GetNonce(), req.GetBodyHash())
	if err != nil {
		return nil, err
	}
	verdict := s.keys.Claim(s.now(), claim)
	counters.Add("claims."+string(verdict.State), 1)
	return &wire.ClaimReply{State: string(verdict.State), Answer: verdict.Answer, MovedTo: verdict.To}, nil
}

// Settle handles another entry's report of how the run of a claimed key ended,
// or a part of the handover from an entry that shuts down.
func (s *Server) Settle(_ context.Context, req *wire.SettleRequest) (*wire.SettleReply, error) {
	if req.GetHandover() != nil {
		return &wire.SettleReply{}, s.acceptHandover(req.GetHandover())
	}
	claim, err := parseClaim(req.GetKey(), req.GetNonce(), nil)
	if err != nil {
		return nil, err
	}
	counted, owned := s.keys.Settle(s.now(), claim, once.Outcome(req.GetOutcome()), req.GetAnswer())
	if !owned {
		return nil, failure.New(failure.NotFound, "this entry is not responsible for the key", "ask its successor")
	}
	if !counted {
		counters.Add("settlesIgnored", 1)
	}
	return &wire.SettleReply{}, nil
}

// parseClaim converts the fields of a wire message to a claim.
func parseClaim(keyText, nonceText string, hash []byte) (once.Claim, error) {
	key, err := once.Parse(keyText)
	if err != nil {
		return once.Claim{}, err
	}
	nonce, err := uuid.Parse(nonceText)
	if err != nil {
		return once.Claim{}, failure.New(failure.Invalid, "the claim's nonce is not a UUID", "this is a bug in the program: report it")
	}
	claim := once.Claim{Key: key, Nonce: nonce}
	copy(claim.Hash[:], hash)
	return claim, nil
}

// claim asks the process that is responsible for the key for the right to run
// it. Exactly one of the results is set: the grant, the stored answer of an
// earlier run, or the problem to report.
func (s *Server) claim(ctx context.Context, idx *index, claim once.Claim) (*grant, []byte, *problem) {
	if claim.Key.Owner() == "" {
		return s.claimInStore(ctx, claim)
	}
	verdict := s.keys.Claim(s.now(), claim)
	switch verdict.State {
	case once.NotOwner:
		return s.claimRemotely(ctx, idx.ownerAddresses(claim.Key.Owner()), claim)
	case once.Moved:
		return s.claimRemotely(ctx, []string{verdict.To}, claim)
	default:
		return claimResult(&grant{claim: claim}, verdict)
	}
}

// claimRemotely tries the processes that may be responsible for the key one
// after the other. If a reply is lost, the claim is repeated with the same nonce,
// for which the owner grants the key again. If no process is responsible for the
// key, it can't be known whether the key ran before, and the outcome is unknown
// at once.
func (s *Server) claimRemotely(ctx context.Context, addresses []string, claim once.Claim) (*grant, []byte, *problem) {
	req := &wire.ClaimRequest{
		From:     s.cfg.Self,
		Key:      claim.Key.String(),
		BodyHash: claim.Hash[:],
		Nonce:    claim.Nonce.String(),
	}
	var unanswered []string // addresses that sent no reply, where the claim may still arrive
	for range maxHops {
		if len(addresses) == 0 {
			break
		}
		address := addresses[0]
		addresses = addresses[1:]
		reply, err := s.sendClaim(ctx, address, req)
		switch state := once.State(reply.GetState()); {
		case err != nil:
			unanswered = append(unanswered, address)
		case state == once.Moved:
			addresses = []string{reply.GetMovedTo()}
		case state != once.NotOwner:
			return claimResult(&grant{claim: claim, address: address}, once.Verdict{State: state, Answer: reply.GetAnswer()})
		}
	}
	s.withdrawClaim(ctx, claim, unanswered)
	return nil, nil, ownerUnavailable()
}

// claimResult converts the owner's verdict to the results of claim.
func claimResult(granted *grant, verdict once.Verdict) (*grant, []byte, *problem) {
	switch verdict.State {
	case once.Granted:
		return granted, nil, nil
	case once.Answered:
		if len(verdict.Answer) > 0 {
			return nil, verdict.Answer, nil
		}
		return nil, nil, unknownOutcome(failure.New(failure.Ambiguous, "the request with this key ran, and its answer is no longer kept",
			"look for its effect; don't send it with a new key"))
	case once.Running:
		return nil, nil, unknownOutcome(failure.New(failure.Ambiguous, "the request with this key is running",
			"send the same key again in a moment for its answer").WithRetryAfter(runningRetryAfter))
	case once.Mismatch:
		return nil, nil, notRun(http.StatusConflict, failure.New(failure.Conflict, "this key names another request",
			"make a new key for each request"))
	case once.Full:
		return nil, nil, notRun(http.StatusServiceUnavailable, failure.New(failure.Exhausted, "the entry that owns the key has no room for more keys",
			"get another entry from GET /v1/entries and make a new key").WithRetryAfter(fullRetryAfter))
	case once.Held:
		return nil, nil, notRun(http.StatusServiceUnavailable, failure.New(failure.Unavailable, "an earlier request with this key was refused just now without running",
			"send the key again").WithRetryAfter(once.ReclaimDelay))
	case once.Ahead:
		return nil, nil, invalid("the time in the once key is in the future", "set the clock of the machine that makes the keys")
	case once.NotOwner:
		return nil, nil, ownerUnavailable()
	default:
		return nil, nil, unknownOutcome(failure.New(failure.Ambiguous, "the request with this key may have run before",
			"look for its effect before you send it with a new key"))
	}
}

// ownerUnavailable reports that no process responsible for the key could be
// reached.
func ownerUnavailable() *problem {
	return unknownOutcome(failure.New(failure.Ambiguous, "the entry that owns the key cannot be asked whether the request ran before",
		"if this key was never sent before, make a new one with the owner from GET /v1/entries; otherwise look for the request's effect"))
}

// settle reports the outcome of a run to the process that granted the key. If
// the report is lost, the key stays granted and a later request with it gets
// unknown.
func (s *Server) settle(ctx context.Context, granted *grant, outcome once.Outcome, answer []byte) {
	if granted.inStore {
		if outcome == once.RunNotRun {
			s.keyStore.release(ctx, granted)
		}
		return
	}
	if granted.address == "" {
		if _, owned := s.keys.Settle(s.now(), granted.claim, outcome, answer); owned {
			return
		}
	}
	s.settleRemotely(ctx, granted, outcome, answer)
}

// settleRemotely reports the outcome to the process that granted the key, or to
// its successor.
func (s *Server) settleRemotely(ctx context.Context, granted *grant, outcome once.Outcome, answer []byte) {
	req := newSettleRequest(s.cfg.Self, granted.claim, outcome, answer)
	addresses := s.index().ownerAddresses(granted.claim.Key.Owner())
	if granted.address != "" {
		addresses = append([]string{granted.address}, addresses...)
	}
	for _, address := range addresses[:min(len(addresses), maxHops)] {
		if s.sendSettle(ctx, address, req) == nil {
			return
		}
	}
	counters.Add("settlesLost", 1)
}

func newSettleRequest(self *wire.Node, claim once.Claim, outcome once.Outcome, answer []byte) *wire.SettleRequest {
	return &wire.SettleRequest{
		From:    self,
		Key:     claim.Key.String(),
		Nonce:   claim.Nonce.String(),
		Outcome: string(outcome),
		Answer:  answer,
	}
}

// sendClaim sends a claim and retries it on an error; it makes at most
// claimAttempts attempts.
func (s *Server) sendClaim(ctx context.Context, address string, req *wire.ClaimRequest) (reply *wire.ClaimReply, err error) {
	for range claimAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		reply, err = s.ownerClient.claim(attemptCtx, address, req)
		cancel()
		if err == nil {
			return reply, nil
		}
	}
	return nil, err
}

// sendSettle sends a settlement or a part of a handover and retries it on an
// error; it makes at most settleAttempts attempts.
func (s *Server) sendSettle(ctx context.Context, address string, req *wire.SettleRequest) (err error) {
	for range settleAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, settleTimeout)
		err = s.ownerClient.settle(attemptCtx, address, req)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// withdrawClaim settles a claim that got no reply as not run, in the background.
// Otherwise, if the claim still arrived, the key would stay granted to a request
// that has already been refused.
func (s *Server) withdrawClaim(ctx context.Context, claim once.Claim, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	ctx = context.WithoutCancel(ctx)
	req := newSettleRequest(s.cfg.Self, claim, once.RunNotRun, nil)
	s.tracker.add()
	go func() {
		defer s.tracker.done()
		for _, address := range addresses {
			_ = s.sendSettle(ctx, address, req)
		}
	}()
}
