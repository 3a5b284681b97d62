package policy

import (
	"slices"
	"time"
)

// ask is one request of a caller, with its later tries.
type ask struct {
	class    *Class
	number   int // of the class
	region   int
	size     int // prompt tokens
	answer   int // tokens
	asked    time.Duration
	deadline time.Duration
	tries    int
	over     bool // it ended, one way or another

	first, newest time.Duration // events; 0: none came
	longest       time.Duration // pause
	state         outcome
}

// arrive lets a region's next caller ask.
func (s *sim) arrive(region int) {
	s.after(s.gap(region), func() { s.arrive(region) })
	a := &ask{region: region, asked: s.now}
	a.class = s.drawClass()
	a.number = slices.IndexFunc(s.load.Classes, func(class Class) bool { return class.Name == a.class.Name })
	a.size, a.answer = s.draw(a.class.Prompt), s.draw(a.class.Answer)
	given := s.load.Callers.DeadlineMillis * (1 - s.load.Callers.Patience*s.rng.Float64())
	a.deadline = s.now + millis(given)
	s.out.begin(a)
	s.send(a)
	s.after(a.deadline-s.now, func() { s.finish(a, failed) })
}

func (s *sim) sharesSum() float64 {
	sum := 0.0
	for _, class := range s.load.Classes {
		sum += class.Share
	}
	return sum
}

// send brings the request to an entry of the caller's region.
func (s *sim) send(a *ask) {
	var near []*entry
	for _, ent := range s.entries {
		if ent.region == a.region {
			near = append(near, ent)
		}
	}
	if len(near) == 0 {
		near = s.entries
	}
	ent := near[s.rng.IntN(len(near))]
	s.after(s.callerDelay(), func() { ent.receive(a) })
}

// refused notifies the caller that its request was not run and when to come back.
func (s *sim) refused(a *ask, wait time.Duration) {
	if a.over {
		return
	}
	left := a.deadline - s.now
	if a.tries < s.load.Callers.Retries && wait <= left/3 {
		a.tries++
		s.out.returns++
		s.after(wait, func() {
			if !a.over {
				s.send(a)
			}
		})
		return
	}
	s.finish(a, refused)
}

// event brings an event to the caller.
func (s *sim) event(a *ask) {
	if a.over {
		return
	}
	if a.first == 0 {
		a.first = s.now
	} else {
		a.longest = max(a.longest, s.now-a.newest)
	}
	a.newest = s.now
}

// finish ends the request for its caller.
func (s *sim) finish(a *ask, how outcome) {
	if a.over {
		return
	}
	a.over = true
	if how == inAim && (a.first-a.asked > millis(a.class.TargetMillis) || a.longest > millis(a.class.GapMillis)) {
		how = late
	}
	a.state = how
	s.out.end(a)
}
