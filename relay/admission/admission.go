// Package admission decides how long a request may wait for an endpoint, in which order waiting requests
// are served, how many prompt tokens may be queued ahead of a request at an engine, and when the caller of a
// refused request should retry.
//
// All of it follows from the time that the caller has and from the work that is left. A request that can
// still be answered completely within its caller's time waits its turn. One that can't is refused at once,
// with the time at which those that wait before it have been served.
package admission

import (
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/engine"
)

const (
	// A caller abandons a stream without progress after the longest of minPatience, targetPatience times the
	// route's target and gapPatience times its gap. The platform's page on requests says so.
	minPatience    = 2 * time.Second
	targetPatience = 4
	gapPatience    = 8
	// workMargin is a safety factor on the work that is left: a request that starts with only the expected
	// time left misses its caller in about half of the cases, and its work is lost.
	workMargin = 1.5
	// prefillAhead is how far ahead an engine gets prompts: until the next report of its state has arrived and
	// requests sent in response have reached it. A longer queue there would not make it faster, but would take
	// the choice of the next request from the entry and lengthen the pauses of running streams.
	prefillAhead = 250 * time.Millisecond
	// unreadFraction leaves room for prompts of other entries that are not known yet.
	unreadFraction = 0.9
	// minRetryAfter is the shortest retry delay: a caller that returns sooner finds the same queue.
	minRetryAfter = 100 * time.Millisecond
)

// Patience returns how long the caller of a stream waits without any progress before it gives up.
func Patience(target, gap time.Duration) time.Duration {
	return max(minPatience, targetPatience*target, gapPatience*gap)
}

// streamWork returns the expected time from dispatch to the first event of a stream, and from there to its
// end, at an engine whose slots are all taken.
func streamWork(spec *catalog.Engine, prompt, answer int) (first, rest time.Duration) {
	steps := max(1, spec.StepsPerPass)
	passes := (max(1, answer) + steps - 1) / steps
	rest = time.Duration(passes-1) * engine.UsualPassTime(spec, spec.Slots)
	return engine.FirstEventTime(spec, spec.Slots, prompt), rest
}

// MaxAhead returns the number of prompt tokens that may wait at an engine ahead of a request that is sent
// there. Between two chunks of prompts the engine runs a write step for the running requests, so reading
// takes longer than its rate alone suggests.
func MaxAhead(spec *catalog.Engine) int {
	if spec.PromptTokensPerSecond <= 0 {
		return 0
	}
	perToken := 1 / spec.PromptTokensPerSecond
	if spec.ChunkTokens > 0 {
		writeTime := engine.WriteTime(spec, spec.Slots, spec.Slots*spec.MeanPromptTokens).Seconds()
		perToken += writeTime / float64(spec.ChunkTokens)
	}
	return int(unreadFraction * prefillAhead.Seconds() / perToken)
}
