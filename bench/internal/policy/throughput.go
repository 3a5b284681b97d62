package policy

import (
	"math/rand/v2"
	"time"

	"comfreyrelay.example/relay/engine"
)

// throughputSpan is the virtual time for which a saturated engine is simulated to
// measure its throughput.
const throughputSpan = 60 * time.Second

// maxThroughput returns the requests per second that all engines serve together
// when they always have waiting work. It is an upper bound for any policy and does
// not account for pauses.
func (s *sim) maxThroughput() float64 {
	sampler := &sim{load: s.load, opts: s.opts, spec: s.spec, rng: rand.New(rand.NewPCG(s.opts.Seed, 2))}
	batch := engine.NewBatch(s.spec, s.spec.Slots, s.load.Engine.MemoryTokens)
	served, now := 0, time.Duration(0)
	for now < throughputSpan {
		for batch.Waiting() < 2 {
			class := sampler.drawClass()
			if !batch.Add(&engine.Work{Prompt: sampler.draw(class.Prompt), Answer: sampler.draw(class.Answer)}) {
				break
			}
		}
		passDuration, ok := batch.Begin()
		if !ok {
			break
		}
		now += passDuration
		_, done := batch.End()
		served += len(done)
	}
	return float64(served) / throughputSpan.Seconds() * float64(len(s.order))
}

// drawClass draws a class at random, weighted by the shares.
func (s *sim) drawClass() *Class {
	point := s.rng.Float64() * s.sharesSum()
	for i := range s.load.Classes {
		if point -= s.load.Classes[i].Share; point < 0 {
			return &s.load.Classes[i]
		}
	}
	return &s.load.Classes[len(s.load.Classes)-1]
}
