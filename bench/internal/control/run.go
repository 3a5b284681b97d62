// Package control measures how fast documents reach all nodes, what this costs the
// nodes and the key-value service, and the effect of an outage of that service or a
// restart of all nodes.
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
	// caseLimit bounds one case, including the start of its deployment.
	caseLimit = 110 * time.Second
	// Usage is measured for idleTime without changes and for changeTime with them.
	idleTime   = 6 * time.Second
	changeTime = 12 * time.Second
	// propagationTime is how long changes are followed to every node. It is extended
	// where it would hold fewer than minChanges.
	propagationTime = 12 * time.Second
	minChanges      = 2
	modelMiB        = 1
	chunkKiB        = 64
)

// Options configure a run of cases.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// ProcessLog receives the logs of all processes.
	ProcessLog io.Writer
	Log        *slog.Logger
	Seed       uint64
}

// run is the state of a running case.
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

// Run runs one case and returns its result.
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

// submitChange submits a document with a new request limit for one customer.
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

// repeat calls do at the case's change rate for the given time.
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

// measurePropagation submits changes and measures the time until each is in force on
// every node.
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

// injectFault runs the case's outage or restart, if it has one.
func (r *run) injectFault(ctx context.Context, result *Result) error {
	switch {
	case r.current.Outage > 0:
		return r.outage(ctx, result)
	case r.current.RestartAll:
		return r.restartAll(ctx, result)
	}
	return nil
}

// outage makes the key-value service unavailable and checks that a document is
// rejected meanwhile. Then it measures the recovery.
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

// restartAll kills every entry and agent, starts all of them concurrently, and
// measures the recovery.
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

// measureRecovery measures the time until a new document is in force on all nodes.
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
