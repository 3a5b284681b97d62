package policy

import (
	"math/rand/v2"
	"time"

	"comfreyrelay.example/relay/engine"
)

// fluidSpan is how long an engine is kept full to learn what it can serve.
const fluidSpan = 60 * time.Second

// fluid returns the requests a second that all engines serve which are never short of
// work: the bound for any policy that keeps pauses out of account.
func (s *sim) fluid() float64 {
	other := &sim{load: s.load, opts: s.opts, spec: s.spec, rng: rand.New(rand.NewPCG(s.opts.Seed, 2))}
	batch := engine.NewBatch(s.spec, s.spec.Slots, s.load.Engine.MemoryTokens)
	served, now := 0, time.Duration(0)
	for now < fluidSpan {
		for batch.Waiting() < 2 {
			class := other.drawClass()
			if !batch.Add(&engine.Work{Prompt: other.draw(class.Prompt), Answer: other.draw(class.Answer)}) {
				break
			}
		}
		took, ok := batch.Begin()
		if !ok {
			break
		}
		now += took
		_, done := batch.End()
		served += len(done)
	}
	return float64(served) / fluidSpan.Seconds() * float64(len(s.order))
}

func (s *sim) drawClass() *Class {
	point := s.rng.Float64() * s.sharesSum()
	for i := range s.load.Classes {
		if point -= s.load.Classes[i].Share; point < 0 {
			return &s.load.Classes[i]
		}
	}
	return &s.load.Classes[len(s.load.Classes)-1]
}
