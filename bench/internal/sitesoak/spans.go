package sitesoak

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/site"
	"comfreyrelay.example/platform/platformtest"
)

// stops records the planned stops of processes. It is safe for concurrent use.
type stops struct {
	mu   sync.Mutex
	list []faultRecord
}

func (s *stops) add(m *site.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, faultRecord{kind: stopEntry, member: m, from: time.Now(), to: time.Now().Add(bounds.Grace + time.Second)})
}

// lastAcceptedAfter is how long after the signal to stop an entry a request may be sent that the stop may cut.
const lastAcceptedAfter = 3 * time.Second

// mayHaveCut reports whether a stopping entry may have cut off a request: it was sent soon after the signal
// at the latest, and an endpoint still worked on it in the last sixth of the grace time.
func (s *stops) mayHaveCut(entry *site.Member, sent time.Time, runs []platformtest.Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(fault faultRecord) bool {
		late := fault.from.Add(bounds.Grace - bounds.Grace/6)
		atWork := func(execution platformtest.Run) bool {
			began, ended := time.Unix(0, execution.Began), time.Unix(0, execution.Ended)
			return execution.Began != 0 && began.Before(fault.to) && (execution.Ended == 0 || ended.After(late) && ended.Before(fault.to))
		}
		return fault.member == entry && !sent.After(fault.from.Add(lastAcceptedAfter)) && slices.ContainsFunc(runs, atWork)
	})
}

// stoppedNear reports whether an entry was asked to stop shortly before a time.
func (s *stops) stoppedNear(entry *site.Member, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(fault faultRecord) bool {
		return fault.member == entry && fault.from.Before(at) && fault.to.Add(bounds.Contact).After(at)
	})
}

const (
	// stallCheckInterval is how often this process checks whether its timer is late. The
	// machine counts as stalled if the timer is late by more than minStall.
	stallCheckInterval = 20 * time.Millisecond
	minStall           = 200 * time.Millisecond
)

// stalls records when this machine was stalled. Time limits are not checked then. It is safe
// for concurrent use.
type stalls struct {
	mu   sync.Mutex
	list []faultRecord
}

// detect records stalls until ctx is done.
func (s *stalls) detect(ctx context.Context) {
	for last := time.Now(); sleep(ctx, stallCheckInterval) == nil; last = time.Now() {
		if now := time.Now(); now.Sub(last) > stallCheckInterval+minStall {
			s.mu.Lock()
			s.list = append(s.list, faultRecord{from: last, to: now})
			s.mu.Unlock()
		}
	}
}

func (s *stalls) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list)
}

// within reports whether the machine was stalled during a span or shortly before.
func (s *stalls) within(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(fault faultRecord) bool {
		return fault.from.Before(to) && fault.to.Add(bounds.Contact).After(from)
	})
}
