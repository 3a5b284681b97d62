// Package engine models a model engine that works in passes: each pass reads
// prompts that were admitted and runs a few token steps for all requests that
// write. The model is pure; it predicts times from what operators declare of an
// engine.
package engine

import (
	"time"

	"comfreyrelay.example/relay/catalog"
)

const (
	tokensPerThousand = 1000.0
	pairsPerMillion   = 1e6
)

// Read returns the time to read a prompt.
func Read(spec *catalog.Engine, prompt int) time.Duration {
	if spec.ReadPerSecond <= 0 {
		return 0
	}
	tokens := float64(prompt)
	pairs := tokens * tokens / 2
	return time.Duration(tokens/spec.ReadPerSecond*float64(time.Second)) + fromMillis(spec.PairMillis*pairs/pairsPerMillion)
}

// Write returns the time of the token steps of one pass with so many writers
// and so much context in all, tokens.
func Write(spec *catalog.Engine, writers, context int) time.Duration {
	return time.Duration(max(1, spec.Stride)) * stepTime(spec, writers, context)
}

// step returns the time of one token step.
func stepTime(spec *catalog.Engine, writers, context int) time.Duration {
	return fromMillis(spec.StepMillis + spec.PerSeqMillis*float64(writers) + spec.ContextMillis*float64(context)/tokensPerThousand)
}

// UsualPass returns the time of a pass in the long run with so many requests in
// progress: each writes a stride of tokens a pass, and new prompts come as
// others end.
func UsualPass(spec *catalog.Engine, running int) time.Duration {
	context := running * (spec.UsualPrompt + spec.UsualAnswer/2)
	writeTime := Write(spec, running, context)
	if spec.UsualAnswer <= 0 {
		return writeTime
	}
	ending := float64(running) * float64(max(1, spec.Stride)) / float64(spec.UsualAnswer)
	return writeTime + time.Duration(ending*float64(Read(spec, spec.UsualPrompt)))
}

// FirstEvent returns the expected time from dispatch to the first event of a
// request with the prompt, where so many others are in progress: what is left
// of the pass that runs, the reading, and the steps of the pass that it begins
// with.
func FirstEvent(spec *catalog.Engine, running, prompt int) time.Duration {
	pass := UsualPass(spec, running)
	return pass/2 + pass + Read(spec, prompt)
}

// Gap returns the mean time between two requests' ends at an engine with all
// slots taken.
func Gap(spec *catalog.Engine) time.Duration {
	if spec.Slots <= 0 || spec.UsualAnswer <= 0 {
		return 0
	}
	passes := float64(spec.UsualAnswer) / float64(max(1, spec.Stride))
	return time.Duration(float64(UsualPass(spec, spec.Slots)) * passes / float64(spec.Slots))
}

func fromMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
