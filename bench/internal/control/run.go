// Package control measures how documents spread, what that costs every node
// and the key-value service, and what an outage or a restart of all does.
package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"comfreyrelay.example/bench/internal/deployment"
	"comfreyrelay.example/bench/internal/follow"
)

const (
	entryCount = 9
	// caseLimit bounds one case, its start included.
	caseLimit = 110 * time.Second
	// quietTime is measured without changes, costTime with.
	idleTime   = 6 * time.Second
	changeTime = 12 * time.Second
	// spreadTime is how long changes are followed to every node, at least
	// leastChanges of them.
	propagationTime = 12 * time.Second
	minChanges      = 2
	modelMiB        = 1
	chunkKiB        = 64
)

// Options configure a run of cases.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// ProcessLog receives the processes' logs.
	ProcessLog io.Writer
	Log        *slog.Logger
	Seed       uint64
}

// run is one case while it runs.
type run struct {
	options    Options
	current    Case
	deployment *deployment.Deployment
	version    string
	revision   uint32
	changes    int
	follower   *follow.Follower
	accept     *hdrhistogram.Histogram // microseconds
}

// Run runs one case and returns its line.
func Run(ctx context.Context, options Options, current Case) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	r := &run{options: options, current: current, accept: follow.NewTimes()}
	if err := r.start(ctx); err != nil {
		return Named(current), err
	}
	defer r.deployment.Stop()
	result := Named(current)
	err := r.measure(ctx, &result)
	return result, err
}

func (r *run) start(ctx context.Context) (err error) {
	r.deployment, err = deployment.Start(ctx, deployment.Config{
		Bin:              r.options.Bin,
		Log:              r.options.ProcessLog,
		Places:           deployment.Quetzal(),
		Entries:          entryCount,
		Hosts:            r.current.Agents,
		OneEngineProcess: true,
	})
	if err != nil {
		return err
	}
	r.follower = follow.New(r.deployment.Members())
	if err := r.deployment.WaitRoutable(ctx); err != nil {
		return err
	}
	made, err := r.deployment.Publish(ctx, deployment.Publication{Model: deployment.ModelName, Mib: modelMiB, ChunkKib: chunkKiB, Seed: r.options.Seed})
	if err != nil {
		return err
	}
	r.version = made.Version
	if err := r.submitChange(ctx); err != nil {
		return err
	}
	return r.deployment.WaitServing(ctx, r.deployment.Agents(), made.Version, nil)
}

// change submits a document that differs in one customer's limit.
func (r *run) submitChange(ctx context.Context) error {
	customers := deployment.Customers(r.current.Customers)
	customers[r.changes%len(customers)].RequestsPerSecond = float64(1000 + r.changes)
	doc := r.deployment.Document(deployment.Desired{Version: r.version, Objective: deployment.ObjectiveTime, Customers: customers})
	entry := r.deployment.Entries()[r.changes%entryCount]
	started := time.Now()
	revision, err := r.deployment.Submit(ctx, entry, r.revision, doc, "comfreybench control")
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	follow.Record(r.accept, time.Since(started))
	r.revision, r.changes = revision, r.changes+1
	return nil
}

// every calls do at the case's rate for the time.
func (r *run) repeat(ctx context.Context, length time.Duration, do func(context.Context) error) error {
	interval := time.Duration(float64(time.Second) / r.current.ChangesPerSecond)
	next, end := time.Now(), time.Now().Add(length)
	for next.Before(end) {
		if err := do(ctx); err != nil {
			return err
		}
		next = next.Add(interval)
		wait := time.Until(next)
		if next.After(end) {
			wait = time.Until(end)
		}
		if err := pause(ctx, wait); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) measure(ctx context.Context, result *Result) error {
	idle, err := r.measureUsage(ctx, func() error { return pause(ctx, idleTime) })
	if err != nil {
		return err
	}
	result.IdleKVReadsPerSecond, result.IdleKVWritesPerSecond = idle.reads, idle.writes
	result.IdleBytesPerNodePerSecond = idle.bytes(entryCount, r.current.Agents)
	changing, err := r.measureUsage(ctx, func() error { return r.repeat(ctx, changeTime, r.submitChange) })
	if err != nil {
		return err
	}
	result.addUsage(changing, r.current.Agents)
	if err := r.measurePropagation(ctx); err != nil {
		return err
	}
	if err := r.injectFault(ctx, result); err != nil {
		return err
	}
	return r.fillResult(ctx, result)
}

// spread follows changes until each is in force on every node.
func (r *run) measurePropagation(ctx context.Context) error {
	length := max(propagationTime, time.Duration(minChanges/r.current.ChangesPerSecond*float64(time.Second)))
	return r.follower.During(ctx, func() error {
		err := r.repeat(ctx, length, func(ctx context.Context) error {
			if err := r.submitChange(ctx); err != nil {
				return err
			}
			r.follower.Accepted(r.revision, time.Now())
			return nil
		})
		if err != nil {
			return err
		}
		return r.follower.Wait(ctx, r.revision)
	})
}

// trouble provokes the case's outage or restart.
func (r *run) injectFault(ctx context.Context, result *Result) error {
	switch {
	case r.current.Outage > 0:
		return r.outage(ctx, result)
	case r.current.RestartAll:
		return r.restartAll(ctx, result)
	}
	return nil
}

// outage takes the service away: a document is refused clearly, and once the
// service is back the next one is in force everywhere.
func (r *run) outage(ctx context.Context, result *Result) error {
	if err := r.deployment.SetKVFaults(ctx, deployment.KVFaults{Down: true}); err != nil {
		return err
	}
	refused := r.submitChange(ctx) != nil
	result.OutageRefused = &refused
	err := pause(ctx, r.current.Outage)
	if err = errors.Join(err, r.deployment.SetKVFaults(ctx, deployment.KVFaults{})); err != nil {
		return err
	}
	return r.measureRecovery(ctx, result)
}

// restartAll kills every entry and agent and starts all at once.
func (r *run) restartAll(ctx context.Context, result *Result) error {
	for _, m := range r.deployment.Members() {
		if err := m.Process().Kill(); err != nil {
			return err
		}
	}
	if err := r.deployment.RestartAll(ctx); err != nil {
		return err
	}
	return r.measureRecovery(ctx, result)
}

// recover measures the time until a new document is in force everywhere.
func (r *run) measureRecovery(ctx context.Context, result *Result) error {
	started := time.Now()
	err := r.follower.During(ctx, func() error {
		for r.submitChange(ctx) != nil {
			if err := pause(ctx, follow.Interval); err != nil {
				return err
			}
		}
		return r.follower.Wait(ctx, r.revision)
	})
	result.RecoverySeconds = time.Since(started).Seconds()
	return err
}

func (r *run) fillResult(ctx context.Context, result *Result) error {
	ledger, err := r.deployment.KVLedger(ctx)
	if err != nil {
		return err
	}
	result.KVPeakReadsPerSecond = ledger.PeakReadsPerSecond
	result.KVPeakWritesPerSecond = ledger.PeakWritesPerSecond
	for _, line := range ledger.Lines {
		result.KVRefused += line.Refused
	}
	result.Changes = r.changes
	result.InForceSecondsP50 = r.follower.Seconds(50)
	result.InForceSecondsP99 = r.follower.Seconds(99)
	result.InForceSecondsMax = r.follower.Seconds(100)
	result.AcceptSecondsP50 = follow.Seconds(r.accept, 50)
	result.AcceptSecondsMax = follow.Seconds(r.accept, 100)
	result.Reverts = r.follower.Reverts()
	if result.Reverts > 0 {
		return fmt.Errorf("%d nodes went back to an older revision", result.Reverts)
	}
	return nil
}

func pause(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
