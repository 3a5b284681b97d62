package policy

import (
	"slices"
	"time"
)

// request is one request of a caller, including its retries.
type request struct {
	class        *Class
	classIndex   int // index of the class in Load.Classes
	region       int
	promptTokens int // prompt tokens
	answerTokens int // answer tokens
	arrivedAt    time.Duration
	deadline     time.Duration
	retries      int
	done         bool // the request has ended, with any outcome

	firstEventAt, lastEventAt time.Duration // arrival of the first and latest event; 0 if there was none
	longestPause              time.Duration // longest pause between two events
	outcome                   outcome
}

// arrive creates a request in the region and schedules the next arrival there.
func (s *sim) arrive(region int) {
	s.after(s.interarrivalTime(region), func() { s.arrive(region) })
	req := &request{region: region, arrivedAt: s.now}
	req.class = s.drawClass()
	req.classIndex = slices.IndexFunc(s.load.Classes, func(class Class) bool { return class.Name == req.class.Name })
	req.promptTokens, req.answerTokens = s.draw(req.class.Prompt), s.draw(req.class.Answer)
	timeout := s.load.Callers.DeadlineMillis * (1 - s.load.Callers.Patience*s.rng.Float64())
	req.deadline = s.now + millis(timeout)
	s.tally.begin(req)
	s.send(req)
	s.after(req.deadline-s.now, func() { s.finish(req, failed) })
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
func (s *sim) send(req *request) {
	var candidates []*entry
	for _, ent := range s.entries {
		if ent.region == req.region {
			candidates = append(candidates, ent)
		}
	}
	if len(candidates) == 0 {
		candidates = s.entries
	}
	ent := candidates[s.rng.IntN(len(candidates))]
	s.after(s.callerDelay(), func() { ent.receive(req) })
}

// refused tells the caller that its request was not run. The caller retries
// after wait if it has retries left and wait is at most a third of the time left.
func (s *sim) refused(req *request, wait time.Duration) {
	if req.done {
		return
	}
	remaining := req.deadline - s.now
	if req.retries < s.load.Callers.Retries && wait <= remaining/3 {
		req.retries++
		s.tally.retries++
		s.after(wait, func() {
			if !req.done {
				s.send(req)
			}
		})
		return
	}
	s.finish(req, refused)
}

// event records that an event of the answer reached the caller.
func (s *sim) event(req *request) {
	if req.done {
		return
	}
	if req.firstEventAt == 0 {
		req.firstEventAt = s.now
	} else {
		req.longestPause = max(req.longestPause, s.now-req.lastEventAt)
	}
	req.lastEventAt = s.now
}

// finish ends the request with an outcome. An answer in aim counts as late if its
// first event or a pause took longer than its class allows.
func (s *sim) finish(req *request, result outcome) {
	if req.done {
		return
	}
	req.done = true
	if result == inAim && (req.firstEventAt-req.arrivedAt > millis(req.class.TargetMillis) || req.longestPause > millis(req.class.GapMillis)) {
		result = late
	}
	req.outcome = result
	s.tally.end(req)
}
