package burst

import (
	"context"
	"errors"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// Fault describes a fault that is injected into a burst.
type Fault struct {
	Name string
	// LaggingList delays changes of the platform's host list by a minute.
	LaggingList bool
	// Before is called before the document is submitted; nil for nothing.
	Before func(ctx context.Context, r *run) error
	// Inject is called in the middle of the transfer; nil for nothing.
	Inject func(ctx context.Context, r *run) error
}

const (
	tenthDiesCorrupt = "tenth-dies-and-corrupt"
	// corruptFraction is the fraction of chunks that the origin sends corrupted.
	corruptFraction = 0.01
	// tenth selects every tenth host for the faults that hit a part of the hosts.
	tenth = 10
)

// faults returns every fault in the order of the report.
func faults() []*Fault {
	return []*Fault{
		{Name: "tenth-dies", Inject: killTenth},
		{Name: "corrupt-chunks", Before: corruptChunks},
		{Name: tenthDiesCorrupt, Before: corruptChunks, Inject: killTenth},
		{Name: "origin-down", Inject: originDown},
		{Name: "origin-refuses", Inject: originRefuses},
		{Name: "corrupt-manifest", Before: corruptManifest},
		{Name: "host-stalls", Inject: stallHost},
		{Name: "agent-restarts", Inject: restartTenth},
		{Name: "version-changes", Inject: changeVersion},
		{Name: "version-changes-back", Inject: changeVersionBack},
		{Name: "list-lags-tenth-dies", LaggingList: true, Inject: killTenth},
		{Name: "region-pauses", Inject: pauseRegion},
		{Name: "domain-dies", Inject: killDomain},
		{Name: "engines-refuse-load", Before: refuseLoad},
	}
}

// killTenth kills every tenth host.
func killTenth(ctx context.Context, r *run) error {
	var err error
	for i, m := range r.deployment.Agents() {
		if i%tenth == 0 {
			err = errors.Join(err, r.kill(ctx, m))
		}
	}
	return err
}

// killDomain kills every host of one failure domain.
func killDomain(ctx context.Context, r *run) error {
	var err error
	domain := deployment.Quetzal()[0].FailureDomain
	for _, m := range r.deployment.Agents() {
		if m.Place().FailureDomain == domain {
			err = errors.Join(err, r.kill(ctx, m))
		}
	}
	return err
}

func corruptChunks(ctx context.Context, r *run) error {
	return r.deployment.SetOriginFaults(ctx, deployment.OriginFaults{CorruptFraction: corruptFraction})
}

// corruptManifest makes the origin send a manifest that does not match its hash, for
// a quarter of the bound.
func corruptManifest(ctx context.Context, r *run) error {
	return r.injectOriginFault(ctx, deployment.OriginFaults{CorruptManifest: true})
}

func originDown(ctx context.Context, r *run) error {
	return r.injectOriginFault(ctx, deployment.OriginFaults{Down: true})
}

func originRefuses(ctx context.Context, r *run) error {
	return r.injectOriginFault(ctx, deployment.OriginFaults{Refuse: true})
}

// injectOriginFault sets faults of the origin for a quarter of the bound.
func (r *run) injectOriginFault(ctx context.Context, faults deployment.OriginFaults) error {
	if err := r.deployment.SetOriginFaults(ctx, faults); err != nil {
		return err
	}
	r.schedule(r.quarterOfBound(), func() error { return r.deployment.SetOriginFaults(ctx, deployment.OriginFaults{}) })
	return nil
}

// stallHost suspends one agent permanently; its connections stay open.
func stallHost(_ context.Context, r *run) error {
	m := r.deployment.Agents()[1]
	r.markLost(m)
	return m.Pause()
}

// restartTenth kills every tenth host and restarts it without weights.
func restartTenth(ctx context.Context, r *run) error {
	var err error
	for i, m := range r.deployment.Agents() {
		if i%tenth == 0 {
			err = errors.Join(err, r.deployment.Kill(ctx, m), r.deployment.Restart(ctx, m))
		}
	}
	return err
}

// changeVersion submits a second version that shares half of its chunks with the
// first.
func changeVersion(ctx context.Context, r *run) error {
	const changed = 0.5
	published, err := r.deployment.Publish(ctx, r.publication(changed))
	if err != nil {
		return err
	}
	return r.submit(ctx, published.Version)
}

// changeVersionBack submits a second version, and the first one again a second later.
func changeVersionBack(ctx context.Context, r *run) error {
	first := r.version
	if err := changeVersion(ctx, r); err != nil {
		return err
	}
	r.schedule(time.Second, func() error { return r.submit(ctx, first) })
	r.pending.Wait()
	return nil
}

// pauseRegion suspends all processes of one region for a quarter of the bound, to
// simulate a network partition.
func pauseRegion(_ context.Context, r *run) error {
	var err error
	var paused []*deployment.Member
	region := deployment.Quetzal()[1].Region
	for _, m := range r.deployment.Members() {
		if m.Place().Region == region {
			err = errors.Join(err, m.Pause())
			paused = append(paused, m)
		}
	}
	r.schedule(r.quarterOfBound(), func() error {
		var err error
		for _, m := range paused {
			err = errors.Join(err, m.Resume())
		}
		return err
	})
	return err
}

// refuseLoad makes every tenth engine refuse to load until the bound has
// passed.
func refuseLoad(ctx context.Context, r *run) error {
	set := func(faults deployment.EngineFaults) error {
		var err error
		for i, m := range r.deployment.Agents() {
			if i%tenth == 0 {
				err = errors.Join(err, r.deployment.SetEngineFaults(ctx, m, faults))
			}
		}
		return err
	}
	r.schedule(time.Duration(r.bound*float64(time.Second)), func() error { return set(deployment.EngineFaults{}) })
	return set(deployment.EngineFaults{RefuseLoad: true})
}
