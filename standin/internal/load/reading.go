package load

import (
	"bytes"
	"fmt"
	"time"

	"comfreyrelay.example/standin/internal/answer"
)

// Outcomes of a request as the caller determines them; each request has one.
const (
	Answered     = "answered"     // complete and correct
	NotRun       = "notRun"       // the system reports that it was not run
	Unknown      = "unknown"      // it may or may not have run
	WrongAnswer  = "wrongAnswer"  // tokens or body that do not belong to this request
	WrongVersion = "wrongVersion" // from an unintended version
	CutOff       = "cutOff"       // ended before it was complete
)

// Kinds of failure that the caller detects; the system's errors name the others.
const (
	kindUnreachable = "unreachable"
	kindBroken      = "connectionBroken"
	kindTimeout     = "timeout"
	kindMalformed   = "malformed"
)

// verdict is the result of checking one reply.
type verdict struct {
	outcome string
	// detail describes the problem if the outcome is not answered.
	detail string
	// kind classifies failures.
	kind       string
	requestID  string
	version    string
	tokens     int
	retryAfter time.Duration // 0 if unknown
	spares     []string      // entries to use instead
	address    string        // where the attempt was sent; "" if nowhere

	firstToken time.Time // zero if none arrived
	gaps       []time.Duration
}

// replyChecker checks one reply while it arrives.
type replyChecker struct {
	request    request
	key        string // of a request that must run at most once; "" for repeatable requests
	askedAt    time.Time
	versions   *versions
	requestID  string
	version    string
	tokens     []string
	begun      bool
	ended      bool
	problem    *verdict // the first one found
	firstToken time.Time
	lastToken  time.Time
	gaps       []time.Duration // at most one per token
}

// begin handles the first event of a stream.
func (r *replyChecker) begin(requestID, version string) {
	if r.begun {
		r.addProblem(WrongAnswer, "duplicate begin event")
		return
	}
	r.begun = true
	r.setRequestID(requestID)
	r.version = version
}

// setRequestID records the reply's request ID, which must equal the request's key
// if it has one.
func (r *replyChecker) setRequestID(requestID string) {
	r.requestID = requestID
	if r.key != "" && requestID != r.key {
		r.addProblem(WrongAnswer, fmt.Sprintf("the answer has ID %q, the request had key %q", requestID, r.key))
	}
}

// addTokens handles tokens that arrived at the time now.
func (r *replyChecker) addTokens(tokens []string, now time.Time) {
	if r.ended {
		r.addProblem(WrongAnswer, "tokens after the end event")
		return
	}
	if len(r.tokens)+len(tokens) > r.request.maxTokens {
		r.addProblem(WrongAnswer, "more tokens than requested")
		return
	}
	if len(tokens) == 0 {
		return
	}
	if r.firstToken.IsZero() {
		r.firstToken = now
	} else {
		r.gaps = append(r.gaps, now.Sub(r.lastToken)/time.Duration(len(tokens)))
	}
	r.lastToken = now
	r.tokens = append(r.tokens, tokens...)
}

// end handles the end event. The digest is "" if the protocol has none.
func (r *replyChecker) end(version, digest string, count int) {
	switch {
	case r.ended:
		r.addProblem(WrongAnswer, "duplicate end event")
	case !r.begun:
		r.addProblem(WrongAnswer, "end event without a begin event")
	case version != r.version:
		r.addProblem(WrongVersion, fmt.Sprintf("begun with version %s, ended with version %s", r.version, version))
	case count != len(r.tokens):
		r.addProblem(CutOff, fmt.Sprintf("the end event counts %d tokens, %d arrived", count, len(r.tokens)))
	case digest != "" && digest != answer.Digest(r.tokens):
		r.addProblem(CutOff, "the digest does not match the tokens")
	}
	r.ended = true
}

// addError handles an error that the system reports in the stream.
func (r *replyChecker) addError(reported replyError) {
	if r.ended {
		r.addProblem(WrongAnswer, "error event after the end event")
		return
	}
	if reported.Outcome == NotRun && len(r.tokens) > 0 {
		r.addProblem(WrongAnswer, "reported as not run after tokens had arrived")
		return
	}
	r.ended = true
	r.setProblem(reported.verdict())
}

// connectionClosed handles the end of the connection and returns the verdict.
func (r *replyChecker) connectionClosed(err error) verdict {
	if !r.ended {
		r.addProblem(CutOff, fmt.Sprintf("the stream closed after %d tokens without an end event: %v", len(r.tokens), err))
	}
	return r.verdict()
}

// verdict returns the verdict on a reply that has ended.
func (r *replyChecker) verdict() verdict {
	if r.problem == nil {
		r.check()
	}
	// Tokens of another answer are a fault even if the stream fails afterwards,
	// because they reached the caller.
	if severity[r.problemOutcome()] < severity[WrongAnswer] && !r.tokensMatch() {
		r.problem = &verdict{outcome: WrongAnswer, kind: WrongAnswer, detail: "the tokens are not those of the version and the prompt"}
	}
	v := verdict{outcome: Answered}
	if r.problem != nil {
		v = *r.problem
	}
	if v.requestID == "" {
		v.requestID = r.requestID
	}
	v.version = r.version
	v.tokens = len(r.tokens)
	v.firstToken = r.firstToken
	v.gaps = r.gaps
	return v
}

func (r *replyChecker) problemOutcome() string {
	if r.problem == nil {
		return Answered
	}
	return r.problem.outcome
}

// check verifies length and version of an answer that ended without a problem.
func (r *replyChecker) check() {
	if len(r.tokens) < r.request.maxTokens {
		r.addProblem(CutOff, fmt.Sprintf("%d tokens of %d", len(r.tokens), r.request.maxTokens))
		return
	}
	if !r.versions.allowed(r.version, r.askedAt) {
		r.addProblem(WrongVersion, "unintended version "+r.version)
	}
}

// tokensMatch reports whether the tokens are those of the model version or, for an
// adapter, of one of its intended versions.
func (r *replyChecker) tokensMatch() bool {
	if r.request.adapter.Name == "" {
		return matches(answer.New(r.version, "", r.request.prompt), r.tokens)
	}
	for _, version := range r.versions.ofAdapter(r.request.adapter.Name) {
		if matches(answer.New(r.version, version, r.request.prompt), r.tokens) {
			return true
		}
	}
	return false
}

func matches(text answer.Text, tokens []string) bool {
	for i, token := range tokens {
		if token != text.Token(i) {
			return false
		}
	}
	return true
}

// checkReply checks an answer that was not streamed.
func (r *replyChecker) checkReply(reply unaryReply, now time.Time) verdict {
	r.begin(reply.RequestID, reply.Version)
	if r.request.service != "" {
		return r.checkServiceReply(reply)
	}
	r.addTokens(reply.Tokens, now)
	r.ended = true
	v := r.verdict()
	v.firstToken = time.Time{} // not observable without a stream
	return v
}

// checkServiceReply checks the answer of a plain service.
func (r *replyChecker) checkServiceReply(reply unaryReply) verdict {
	r.ended = true
	if !bytes.Equal(reply.Body, answer.Service([]byte(r.request.prompt))) {
		r.addProblem(WrongAnswer, "the body is not the service's answer to this call")
	}
	v := verdict{outcome: Answered}
	if r.problem != nil {
		v = *r.problem
	}
	v.requestID = r.requestID
	return v
}

func (r *replyChecker) addProblem(outcome, detail string) {
	r.setProblem(verdict{outcome: outcome, detail: detail, kind: outcome})
}

// setProblem keeps only the first problem, because later ones usually follow from it.
func (r *replyChecker) setProblem(problem verdict) {
	if r.problem == nil {
		r.problem = &problem
	}
}
