package requests

import (
	"context"
	"errors"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// loadRun is one run of callers whose rates are measured.
type loadRun struct {
	load     *deployment.Load
	services bool                   // sends only to plain services
	summary  deployment.LoadSummary // set by wait
	// first and last are the counts after the warm-up and close to the end of the
	// arrivals. Answers after the last arrivals would flatter an overload case.
	first, last deployment.LoadSummary
	watcher     sync.WaitGroup
	watchErr    error // set by watch
}

// begin starts callers and polls their counts in the background.
func (r *run) begin(ctx context.Context, options deployment.LoadOptions) (*loadRun, error) {
	load, err := r.deployment.StartLoad(ctx, options)
	if err != nil {
		return nil, err
	}
	s := &loadRun{load: load, services: options.Services == 1}
	s.watcher.Go(func() { s.watchErr = s.watch(ctx, options.Time) })
	return s, nil
}

// watch polls the counts of the load from the end of the warm-up to the tail.
func (s *loadRun) watch(ctx context.Context, length time.Duration) (err error) {
	if err := pause(ctx, warmUpTime); err != nil {
		return err
	}
	if s.first, err = s.load.Progress(ctx); err != nil {
		return err
	}
	for end := time.Now().Add(length - warmUpTime - tailTime); time.Now().Before(end); {
		if err := pause(ctx, watchInterval); err != nil {
			return err
		}
		seen, err := s.load.Progress(ctx)
		if err != nil && s.load.Ended() {
			return nil // the arrivals were stopped
		}
		if err != nil {
			return err
		}
		s.last = seen
	}
	return nil
}

// wait waits until the last request has an outcome.
func (s *loadRun) wait(ctx context.Context) (err error) {
	s.summary, err = s.load.Wait(ctx)
	s.watcher.Wait()
	return errors.Join(err, s.watchErr)
}

// rates returns the answers per second: all, and those within the deadline.
func (s *loadRun) rates() (all, inTime float64) {
	seconds := s.last.Seconds - s.first.Seconds
	if seconds <= 0 {
		return 0, 0
	}
	answers := s.last.Answered - s.first.Answered
	late := s.last.Late - s.first.Late
	return float64(answers) / seconds, float64(answers-late) / seconds
}
