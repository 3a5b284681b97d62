// Package engine models an engine that generates tokens in passes. Each pass reads
// prompts of admitted requests and runs a few decoding steps for all requests whose
// prompt has been read. The model does no I/O and reads no clock; it predicts
// times from the figures that operators declare for an engine.
package engine

import (
	"time"

	"comfreyrelay.example/relay/catalog"
)

const (
	tokensPerThousand = 1000.0
	pairsPerMillion   = 1e6
)

// ReadTime returns the time to read a prompt of the given number of tokens.
func ReadTime(spec *catalog.Engine, prompt int) time.Duration {
	if spec.PromptTokensPerSecond <= 0 {
		return 0
	}
	tokens := float64(prompt)
	pairs := tokens * tokens / 2
	return time.Duration(tokens/spec.PromptTokensPerSecond*float64(time.Second)) + fromMillis(spec.PairMillis*pairs/pairsPerMillion)
}

// WriteTime returns the time of the decoding steps of one pass, with the given number of
// writing requests and total tokens of context.
func WriteTime(spec *catalog.Engine, writers, context int) time.Duration {
	return time.Duration(max(1, spec.StepsPerPass)) * stepTime(spec, writers, context)
}

// stepTime returns the time of one decoding step.
func stepTime(spec *catalog.Engine, writers, context int) time.Duration {
	return fromMillis(spec.StepMillis + spec.PerSeqMillis*float64(writers) + spec.ContextMillis*float64(context)/tokensPerThousand)
}

// UsualPassTime returns the average time of a pass with the given number of requests in
// progress. Each writes StepsPerPass tokens per pass, and new prompts replace requests
// that end.
func UsualPassTime(spec *catalog.Engine, running int) time.Duration {
	context := running * (spec.MeanPromptTokens + spec.MeanAnswerTokens/2)
	writeTime := WriteTime(spec, running, context)
	if spec.MeanAnswerTokens <= 0 {
		return writeTime
	}
	ending := float64(running) * float64(max(1, spec.StepsPerPass)) / float64(spec.MeanAnswerTokens)
	return writeTime + time.Duration(ending*float64(ReadTime(spec, spec.MeanPromptTokens)))
}

// FirstEventTime returns the expected time from dispatch to the first event of a request,
// with the given number of other requests in progress: the rest of the pass in progress,
// reading the prompt, and the steps of the pass in which the request starts writing.
func FirstEventTime(spec *catalog.Engine, running, prompt int) time.Duration {
	pass := UsualPassTime(spec, running)
	return pass/2 + pass + ReadTime(spec, prompt)
}

// CompletionInterval returns the mean time between the ends of two requests at an engine
// whose slots are all taken.
func CompletionInterval(spec *catalog.Engine) time.Duration {
	if spec.Slots <= 0 || spec.MeanAnswerTokens <= 0 {
		return 0
	}
	passes := float64(spec.MeanAnswerTokens) / float64(max(1, spec.StepsPerPass))
	return time.Duration(float64(UsualPassTime(spec, spec.Slots)) * passes / float64(spec.Slots))
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
