package load

import (
	"bytes"
	"fmt"
	"time"

	"comfreyrelay.example/standin/internal/answer"
)

// Outcomes of a request, as the caller judges them; each request has one.
const (
	Answered     = "answered"     // whole and right
	NotRun       = "notRun"       // the system says that it was not run
	Unknown      = "unknown"      // it may have run or not
	WrongAnswer  = "wrongAnswer"  // not this request's tokens or body
	WrongVersion = "wrongVersion" // of a version that nobody intends
	CutOff       = "cutOff"       // ended before its end
)

// Kinds of failure that the caller itself finds; the others come from the
// system's errors.
const (
	kindUnreachable = "unreachable"
	kindBroken      = "connectionBroken"
	kindTimeout     = "timeout"
	kindMalformed   = "malformed"
)

// verdict is what the caller makes of one reply.
type verdict struct {
	outcome string
	// detail says what was wrong with an outcome other than answered.
	detail string
	// kind classifies failures.
	kind       string
	requestID  string
	version    string
	tokens     int
	retryAfter time.Duration // 0 if unknown
	spares     []string      // entries to use instead
	address    string        // that the attempt was sent to; "" if none

	firstToken time.Time // zero before any
	gaps       []time.Duration
}

// reading judges one reply as it comes in.
type replyChecker struct {
	request    request
	key        string // once key, "" for repeatable requests
	askedAt    time.Time
	versions   *versions
	requestID  string
	version    string
	tokens     []string
	begun      bool
	ended      bool
	problem    *verdict // the first thing wrong with it
	firstToken time.Time
	lastToken  time.Time
	gaps       []time.Duration // at most one for each token
}

// begin takes the first event of a stream.
func (r *replyChecker) begin(requestID, version string) {
	if r.begun {
		r.addProblem(WrongAnswer, "a second begin")
		return
	}
	r.begun = true
	r.setRequestID(requestID)
	r.version = version
}

func (r *replyChecker) setRequestID(requestID string) {
	r.requestID = requestID
	if r.key != "" && requestID != r.key {
		r.addProblem(WrongAnswer, fmt.Sprintf("the answer bears id %q, the request had key %q", requestID, r.key))
	}
}

// more takes tokens that arrived now.
func (r *replyChecker) addTokens(tokens []string, now time.Time) {
	if r.ended {
		r.addProblem(WrongAnswer, "tokens after the end")
		return
	}
	if len(r.tokens)+len(tokens) > r.request.maxTokens {
		r.addProblem(WrongAnswer, "more tokens than asked for")
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

// end takes the end event. The digest is "" where the protocol has none.
func (r *replyChecker) end(version, digest string, count int) {
	switch {
	case r.ended:
		r.addProblem(WrongAnswer, "a second end")
	case !r.begun:
		r.addProblem(WrongAnswer, "an end without a begin")
	case version != r.version:
		r.addProblem(WrongVersion, fmt.Sprintf("begun by version %s, ended by %s", r.version, version))
	case count != len(r.tokens):
		r.addProblem(CutOff, fmt.Sprintf("the end counts %d tokens, %d came", count, len(r.tokens)))
	case digest != "" && digest != answer.Digest(r.tokens):
		r.addProblem(CutOff, "the digest does not match the tokens")
	}
	r.ended = true
}

// failed takes an error that the system reports.
func (r *replyChecker) addError(reported replyError) {
	if r.ended {
		r.addProblem(WrongAnswer, "an error after the end")
		return
	}
	if reported.Outcome == NotRun && len(r.tokens) > 0 {
		r.addProblem(WrongAnswer, "called not run after tokens had come")
		return
	}
	r.ended = true
	r.setProblem(reported.verdict())
}

// closed takes the end of the connection and returns the verdict.
func (r *replyChecker) connectionClosed(err error) verdict {
	if !r.ended {
		r.addProblem(CutOff, fmt.Sprintf("the stream closed after %d tokens without an end: %v", len(r.tokens), err))
	}
	return r.verdict()
}

// judge returns the verdict on a stream that ended.
func (r *replyChecker) verdict() verdict {
	if r.problem == nil {
		r.check()
	}
	// Tokens of another answer are a fault even where the stream then fails:
	// they reached the caller.
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

// check looks for what is wrong with an answer that ended well.
func (r *replyChecker) check() {
	if len(r.tokens) < r.request.maxTokens {
		r.addProblem(CutOff, fmt.Sprintf("%d tokens of %d", len(r.tokens), r.request.maxTokens))
		return
	}
	if !r.versions.allowed(r.version, r.askedAt) {
		r.addProblem(WrongVersion, "nobody intends version "+r.version)
	}
}

// tokensMatch reports whether one of the adapter's intended versions makes the
// tokens.
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

// whole judges an answer that came in one piece.
func (r *replyChecker) checkReply(reply unaryReply, now time.Time) verdict {
	r.begin(reply.RequestID, reply.Version)
	if r.request.service != "" {
		return r.checkServiceReply(reply)
	}
	r.addTokens(reply.Tokens, now)
	r.ended = true
	v := r.verdict()
	v.firstToken = time.Time{} // the first token was not seen on its own
	return v
}

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

// keep remembers the first problem only: what follows from it says less.
func (r *replyChecker) setProblem(problem verdict) {
	if r.problem == nil {
		r.problem = &problem
	}
}
