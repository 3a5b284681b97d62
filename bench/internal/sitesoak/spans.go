package sitesoak

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/site"
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

// mayHaveCut reports whether a stopping entry may have cut off a request: the request ended in
// the last sixth of the entry's grace time or within a second after it.
func (s *stops) mayHaveCut(entry *site.Member, sent, ended time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(fault faultRecord) bool {
		late := fault.from.Add(bounds.Grace - bounds.Grace/6)
		return fault.member == entry && ended.After(late) && ended.Before(fault.to) && sent.Before(fault.to)
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
