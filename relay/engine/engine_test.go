package engine_test

import (
	"testing"
	"time"

	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/engine"
)

// spec is an engine as declared in the users' data sheets.
var spec = &catalog.Engine{
	Slots: 16, StepsPerPass: 5, StepMillis: 8.87, PerSeqMillis: 0.0388, ContextMillis: 0.0227,
	PromptTokensPerSecond: 19100, PairMillis: 1.47, ChunkTokens: 2048, MeanPromptTokens: 977, MeanAnswerTokens: 94,
}

// The expected times were calculated by hand from the data sheet.
func TestTimesMatchDeclaredFigures(t *testing.T) {
	for _, test := range []struct {
		name      string
		got, want time.Duration
	}{
		{"reading 1000 tokens", engine.ReadTime(spec, 1000), 53090 * time.Microsecond},
		{"a pass of one writer", engine.WriteTime(spec, 1, 1000), 44660 * time.Microsecond},
		{"a pass of 16 writers", engine.WriteTime(spec, 16, 16000), 49270 * time.Microsecond},
		{"an average pass of 16", engine.UsualPassTime(spec, 16), 93900 * time.Microsecond},
		{"the interval between completions", engine.CompletionInterval(spec), 110300 * time.Microsecond},
	} {
		if diff := test.got - test.want; diff < -time.Millisecond || diff > time.Millisecond {
			t.Errorf("%s: got %v, want %v", test.name, test.got, test.want)
		}
	}
}

func TestFirstEventGrowsWithLoadAndPrompt(t *testing.T) {
	idle, full := engine.FirstEventTime(spec, 1, 500), engine.FirstEventTime(spec, 16, 500)
	long := engine.FirstEventTime(spec, 16, 3000)
	if idle >= full || full >= long {
		t.Errorf("got %v, %v, %v, want increasing times", idle, full, long)
	}
}

func TestUndeclaredEngineTakesNoTime(t *testing.T) {
	if got := engine.FirstEventTime(&catalog.Engine{}, 3, 1000); got != 0 {
		t.Errorf("got %v for an engine without declared figures, want 0", got)
	}
}
