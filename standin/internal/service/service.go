// Package service simulates a plain service or the mainframe bridge. It runs
// calls, some of which must not be repeated, and records every run.
package service

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreyrelay.example/relay/failure"
	"comfreyrelay.example/standin/internal/answer"
)

// maxAccounts limits the request ids recorded; the oldest are dropped first.
const maxAccounts = 1 << 18

// queuePerSlot is the number of calls that may wait per slot.
const queuePerSlot = 8

// errReplyLost means that the call ran but its response must not be sent.
var errReplyLost = errors.New("the reply was dropped by an injected fault")

// Options configures a Service.
type Options struct {
	// CallTime is how long one call runs.
	CallTime time.Duration
	// Slots is how many calls run at once, at least 1.
	Slots int
	// Seed seeds the random faults.
	Seed uint64
	// Clock times the calls.
	Clock clockwork.Clock
}

// Faults configures fault injection; the zero value is a healthy service.
type Faults struct {
	// FailBeforeRun is the fraction of calls rejected with 503 before they run.
	FailBeforeRun float64 `json:"failBeforeRun"`
	// LoseReply is the fraction of calls that run but whose connection is closed
	// without a response.
	LoseReply float64 `json:"loseReply"`
	// Stall holds all calls before they run; their connections stay open.
	Stall bool `json:"stall"`
	// SlowFactor multiplies the call time; 0 means 1.
	SlowFactor float64 `json:"slowFactor"`
	// Dead breaks all connections.
	Dead bool `json:"dead"`
}

// Ledger is the JSON form of the service's record.
type Ledger struct {
	// Runs counts all runs, including those of ids dropped since.
	Runs    int `json:"runs"`
	Refused int `json:"refused"`
	// LostReplies counts calls that ran but got no response.
	LostReplies int `json:"lostReplies"`
	// MaxRuns is the largest number of runs of one id.
	MaxRuns int `json:"maxRuns"`
	// Forgotten counts the ids dropped because of maxAccounts.
	Forgotten int            `json:"forgotten"`
	RunsByID  map[string]int `json:"runsById,omitempty"`
	// Contents maps ids to the hash of the call's body (see answer.BodyContent).
	// A body may appear under several ids.
	Contents map[string]string `json:"contents,omitempty"`
}

// Service is one simulated service; its methods are safe for concurrent use.
type Service struct {
	options  Options
	admitted chan struct{} // one for each call that runs or waits
	slots    chan struct{} // one for each call that runs

	// mu guards the fields below.
	mu     sync.Mutex
	random *rand.Rand
	faults Faults
	// faultsChanged is closed and replaced when faults changes.
	faultsChanged chan struct{}
	ledger        Ledger
	arrivals      []string // ring buffer of the ids in ledger.RunsByID
	oldest        int      // index in arrivals once it is full
}

// New returns a healthy service.
func New(options Options) *Service {
	return &Service{
		options:       options,
		admitted:      make(chan struct{}, options.Slots*(1+queuePerSlot)),
		slots:         make(chan struct{}, options.Slots),
		random:        rand.New(rand.NewPCG(options.Seed, uint64(options.Slots))),
		faultsChanged: make(chan struct{}),
		ledger:        Ledger{RunsByID: map[string]int{}, Contents: map[string]string{}},
	}
}

// Call runs one call. A failure.Error means that the call never ran.
func (s *Service) Call(ctx context.Context, id string, body []byte) ([]byte, error) {
	if id == "" {
		return nil, failure.New(failure.Invalid, "the call lacks a requestId", "send one")
	}
	release, err := s.enter(ctx)
	if err != nil {
		s.refuse()
		return nil, err
	}
	defer release()
	lose := s.begin(id, answer.BodyContent(body))
	s.options.Clock.Sleep(s.callTime())
	if lose {
		return nil, errReplyLost
	}
	return answer.Service(body), nil
}

// enter waits for a slot and returns a function that releases it.
func (s *Service) enter(ctx context.Context) (func(), error) {
	if s.drawFault(func(faults Faults) float64 { return faults.FailBeforeRun }) {
		return nil, failure.New(failure.Unavailable, "the service refuses the call", "send it again")
	}
	select {
	case s.admitted <- struct{}{}:
	default:
		return nil, failure.New(failure.Exhausted, "the service's queue is full", "send the call again later")
	}
	if err := s.waitForSlot(ctx); err != nil {
		<-s.admitted
		return nil, err
	}
	return func() { <-s.slots; <-s.admitted }, nil
}

func (s *Service) waitForSlot(ctx context.Context) error {
	errClientGone := failure.New(failure.Unavailable, "the client disconnected before the call began", "send it again")
	for {
		s.mu.Lock()
		stalled, changed := s.faults.Stall, s.faultsChanged
		s.mu.Unlock()
		if !stalled {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errClientGone
		}
	}
	select {
	case s.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errClientGone
	}
}

// drawFault reports true at random, with the probability given by the faults.
func (s *Service) drawFault(fraction func(Faults) float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < fraction(s.faults)
}

// begin records a run and reports whether its response will be lost.
func (s *Service) begin(id, content string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.ledger.RunsByID[id]; !known {
		s.trackID(id)
	}
	s.ledger.RunsByID[id]++
	s.ledger.Contents[id] = content
	s.ledger.Runs++
	s.ledger.MaxRuns = max(s.ledger.MaxRuns, s.ledger.RunsByID[id])
	lose := s.random.Float64() < s.faults.LoseReply
	if lose {
		s.ledger.LostReplies++
	}
	return lose
}

// trackID adds an id and drops the oldest one if there are maxAccounts.
func (s *Service) trackID(id string) {
	if len(s.arrivals) < maxAccounts {
		s.arrivals = append(s.arrivals, id)
		return
	}
	delete(s.ledger.RunsByID, s.arrivals[s.oldest])
	delete(s.ledger.Contents, s.arrivals[s.oldest])
	s.ledger.Forgotten++
	s.arrivals[s.oldest] = id
	s.oldest = (s.oldest + 1) % maxAccounts
}

func (s *Service) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Refused++
}

func (s *Service) callTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.SlowFactor <= 0 {
		return s.options.CallTime
	}
	return time.Duration(float64(s.options.CallTime) * s.faults.SlowFactor)
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *Service) dead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Dead
}

// Ledger returns the record. Runs by id are included only on request, as there can
// be many.
func (s *Service) Ledger(withRuns bool) Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.ledger
	out.RunsByID, out.Contents = nil, nil
	if !withRuns {
		return out
	}
	out.RunsByID = make(map[string]int, len(s.ledger.RunsByID))
	out.Contents = maps.Clone(s.ledger.Contents)
	for id, runs := range s.ledger.RunsByID {
		out.RunsByID[id] = runs
	}
	return out
}
