package burst

import (
	"context"
	"errors"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// Fault is one kind of trouble in the middle of a burst.
type Fault struct {
	Name string
	// LaggingList makes the platform's list of hosts a minute late.
	LaggingList bool
	// Before is called before the document is submitted; nil for nothing.
	Before func(ctx context.Context, r *run) error
	// Strike is called in the middle of the transfer.
	Inject func(ctx context.Context, r *run) error
}

const (
	tenthDiesCorrupt = "tenth-dies-and-corrupt"
	// corruptFraction of the chunks arrive corrupt from the origin.
	corruptFraction = 0.01
	// tenth of the hosts are struck where the fault names no other number.
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

// killTenth lets every tenth host die.
func killTenth(ctx context.Context, r *run) error {
	var err error
	for i, m := range r.deployment.Agents() {
		if i%tenth == 0 {
			err = errors.Join(err, r.kill(ctx, m))
		}
	}
	return err
}

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

// corruptManifest gives a manifest that does not match its hash for a part of
// the bound.
func corruptManifest(ctx context.Context, r *run) error {
	return r.injectOriginFault(ctx, deployment.OriginFaults{CorruptManifest: true})
}

func originDown(ctx context.Context, r *run) error {
	return r.injectOriginFault(ctx, deployment.OriginFaults{Down: true})
}

func originRefuses(ctx context.Context, r *run) error {
	return r.injectOriginFault(ctx, deployment.OriginFaults{Refuse: true})
}

// originTrouble lasts a quarter of the bound.
func (r *run) injectOriginFault(ctx context.Context, faults deployment.OriginFaults) error {
	if err := r.deployment.SetOriginFaults(ctx, faults); err != nil {
		return err
	}
	r.schedule(r.quarterOfBound(), func() error { return r.deployment.SetOriginFaults(ctx, deployment.OriginFaults{}) })
	return nil
}

// stallHost stops one agent without closing its connections, for good.
func stallHost(_ context.Context, r *run) error {
	m := r.deployment.Agents()[1]
	r.markLost(m)
	return m.Pause()
}

// restartTenth lets every tenth host die and come back with nothing.
func restartTenth(ctx context.Context, r *run) error {
	var err error
	for i, m := range r.deployment.Agents() {
		if i%tenth == 0 {
			err = errors.Join(err, r.deployment.Kill(ctx, m), r.deployment.Restart(ctx, m))
		}
	}
	return err
}

// changeVersion submits a second version that shares half of its chunks.
func changeVersion(ctx context.Context, r *run) error {
	const changed = 0.5
	published, err := r.deployment.Publish(ctx, r.publication(changed))
	if err != nil {
		return err
	}
	return r.submit(ctx, published.Version)
}

// changeVersionBack submits a second version and soon the first one again.
func changeVersionBack(ctx context.Context, r *run) error {
	first := r.version
	if err := changeVersion(ctx, r); err != nil {
		return err
	}
	r.schedule(time.Second, func() error { return r.submit(ctx, first) })
	r.pending.Wait()
	return nil
}

// pauseRegion stops all processes of one region for a quarter of the bound, as
// when it is cut off.
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
