package policy

import (
	"slices"
	"time"
)

// ask is one request of a caller, including its retries.
type ask struct {
	class    *Class
	number   int // index of the class in Load.Classes
	region   int
	size     int // prompt tokens
	answer   int // answer tokens
	asked    time.Duration
	deadline time.Duration
	tries    int
	over     bool // the request has ended, with any outcome

	first, newest time.Duration // arrival of the first and latest event; 0 if there was none
	longest       time.Duration // longest pause between two events
	state         outcome
}

// arrive creates a request in the region and schedules the next arrival there.
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

// sharesSum returns the sum of the shares of all classes.
func (s *sim) sharesSum() float64 {
	sum := 0.0
	for _, class := range s.load.Classes {
		sum += class.Share
	}
	return sum
}

// send sends the request to a random entry in the caller's region, or to any
// entry if the region has none.
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

// refused tells the caller that its request was not run. The caller retries
// after wait if it has retries left and wait is at most a third of the time left.
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

// event records that an event of the answer reached the caller.
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

// finish ends the request with an outcome. An answer in aim counts as late if its
// first event or a pause took longer than its class allows.
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
