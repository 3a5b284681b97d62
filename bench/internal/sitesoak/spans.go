package sitesoak

import (
	"context"
	"slices"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/site"
)

// stops are the planned ends of entries. They are safe for concurrent use.
type stops struct {
	mu   sync.Mutex
	list []faultRecord
}

func (s *stops) add(m *site.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, faultRecord{kind: stopEntry, member: m, from: time.Now(), to: time.Now().Add(bounds.Grace + time.Second)})
}

// cut reports whether an entry was asked to end so long before that a request may not have
// ended in time: the last sixth of its grace time had begun.
func (s *stops) mayHaveCut(entry *site.Member, sent, ended time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(one faultRecord) bool {
		late := one.from.Add(bounds.Grace - bounds.Grace/6)
		return one.member == entry && ended.After(late) && ended.Before(one.to) && sent.Before(one.to)
	})
}

// hit reports whether an entry was asked to end shortly before a moment.
func (s *stops) stoppedNear(entry *site.Member, at time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(one faultRecord) bool {
		return one.member == entry && one.from.Before(at) && one.to.Add(bounds.Contact).After(at)
	})
}

const (
	// stallLook is how often this process looks whether it is late, and stallLeast by how much
	// it must be for the machine to count as standing still.
	stallCheckInterval = 20 * time.Millisecond
	minStall           = 200 * time.Millisecond
)

// stalls are the times at which this machine stood still: bounds of time don't hold then. They
// are safe for concurrent use.
type stalls struct {
	mu   sync.Mutex
	list []faultRecord
}

// watch notes stalls until ctx ends.
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

// within reports whether the machine stood still in a span or shortly before.
func (s *stalls) within(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.list, func(one faultRecord) bool {
		return one.from.Before(to) && one.to.Add(bounds.Contact).After(from)
	})
}
