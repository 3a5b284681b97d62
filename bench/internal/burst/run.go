// Package burst measures how long the distribution of a model to N hosts takes, until
// all of them serve it, and how much the origin sends. It uses real processes with
// rate-limited links.
package burst

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"comfreyrelay.example/bench/internal/deployment"
)

// Sizes and time limit of one case.
const (
	entryCount    = 9
	customerCount = 10
	chunkKiB      = 64
	// caseLimit bounds one case, including the start of its deployment.
	caseLimit = 100 * time.Second
)

// Options configure a run of cases.
type Options struct {
	// Bin is the directory of the built programs.
	Bin string
	// ProcessLog receives the logs of all processes.
	ProcessLog io.Writer
	Log        *slog.Logger
	Seed       uint64
	// ModelMiB is the size of the weights.
	ModelMiB float64
}

// run is the state of a running case.
type run struct {
	options    Options
	current    Case
	links      Links
	bound      float64 // seconds
	deployment *deployment.Deployment
	version    string        // submitted last
	accepted   time.Duration // duration of the last submission's call
	seed       uint64
	revision   uint32
	pending    sync.WaitGroup

	mu           sync.Mutex
	lost         map[*deployment.Member]bool // killed or stalled, not waited for
	scheduledErr error                       // errors of scheduled functions
	minServing   int                         // minimum of hosts that served during a roll
}

// Run runs one case and returns its result.
func Run(ctx context.Context, options Options, current Case) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, caseLimit)
	defer cancel()
	bytes := options.ModelMiB * (1 << 20)
	r := &run{options: options, current: current, lost: map[*deployment.Member]bool{}, seed: options.Seed}
	r.links = LinksFor(bytes, current.Window, current.Shared)
	r.bound = FluidBound(bytes, current.Hosts, r.links)
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	defer r.deployment.Stop()
	// Scheduled functions that undo a fault need a running deployment.
	defer r.pending.Wait()
	if current.Roll {
		return r.roll(ctx)
	}
	return r.burst(ctx)
}

func (r *run) start(ctx context.Context) (err error) {
	config := deployment.Config{
		Bin:                  r.options.Bin,
		Log:                  r.options.ProcessLog,
		Places:               deployment.Quetzal(),
		Entries:              entryCount,
		Hosts:                r.current.Hosts,
		BurstStrategy:        r.current.Strategy,
		OriginBytesPerSecond: uint64(r.links.Origin),
		OneEngineProcess:     true,
		HostListLag:          r.current.HostListLag,
	}
	if r.current.Shared {
		config.Link.Shared = uint64(r.links.Host)
	} else {
		config.Link.Up, config.Link.Down = uint64(r.links.Host), uint64(r.links.Host)
	}
	r.deployment, err = deployment.Start(ctx, config)
	if err != nil {
		return err
	}
	return r.deployment.WaitRoutable(ctx)
}

// burst measures the distribution of the first version to every host.
func (r *run) burst(ctx context.Context) (Result, error) {
	published, err := r.deployment.Publish(ctx, r.publication(0))
	if err != nil {
		return Result{}, err
	}
	if fault := r.current.Fault; fault != nil && fault.Before != nil {
		if err := fault.Before(ctx, r); err != nil {
			return Result{}, err
		}
	}
	before := r.usage()
	started := time.Now()
	if err := r.submit(ctx, published.Version); err != nil {
		return Result{}, err
	}
	if err := r.injectFault(ctx); err != nil {
		return Result{}, err
	}
	if err := r.waitServing(ctx); err != nil {
		return Result{}, err
	}
	return r.result(ctx, time.Since(started), before)
}

// injectFault injects the fault after two fifths of the bound.
func (r *run) injectFault(ctx context.Context) error {
	const share = 0.4
	fault := r.current.Fault
	if fault == nil || fault.Inject == nil {
		return nil
	}
	if err := pause(ctx, time.Duration(r.bound*share*float64(time.Second))); err != nil {
		return err
	}
	r.options.Log.Info("fault", "case", r.current.Name)
	return fault.Inject(ctx, r)
}

func (r *run) waitServing(ctx context.Context) error {
	err := r.deployment.WaitServing(ctx, r.deployment.Agents(), r.version, r.alive)
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(err, r.scheduledErr)
}

// publication describes a new version; changed is the fraction of chunks that differ
// from the current version, 0 for an unrelated one.
func (r *run) publication(changed float64) deployment.Publication {
	r.seed++
	pub := deployment.Publication{Model: deployment.ModelName, Mib: r.options.ModelMiB, ChunkKib: chunkKiB, Seed: r.seed}
	if changed > 0 {
		pub.FromVersion, pub.ChangeFraction = r.version, changed
	}
	return pub
}

func (r *run) submit(ctx context.Context, version string) error {
	doc := r.deployment.Document(deployment.Desired{
		Version:        version,
		Objective:      r.current.Objective,
		Customers:      deployment.Customers(customerCount),
		MaxUnavailable: maxUnavailable(r.current.Hosts),
	})
	started := time.Now()
	revision, err := r.deployment.Submit(ctx, r.deployment.Entries()[0], r.revision, doc, "comfreybench burst")
	if err != nil {
		return fmt.Errorf("submit: %w", err)
	}
	r.version, r.revision, r.accepted = version, revision, time.Since(started)
	return nil
}

// maxUnavailable lets a fifth of the hosts of each failure domain change versions at
// the same time.
func maxUnavailable(hosts int) uint32 {
	const waves = 5
	perDomain := hosts / len(deployment.Quetzal())
	return uint32(max(1, perDomain/waves))
}

// kill kills a host and removes it from the platform's host list, where the removal
// appears after the list's lag.
func (r *run) kill(ctx context.Context, m *deployment.Member) error {
	r.markLost(m)
	return errors.Join(r.deployment.Kill(ctx, m), r.deployment.Unlist(ctx, m))
}

// markLost excludes the host from the hosts that must serve.
func (r *run) markLost(m *deployment.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[m] = true
}

func (r *run) alive(m *deployment.Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.lost[m]
}

func (r *run) liveCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Hosts - len(r.lost)
}

func (r *run) quarterOfBound() time.Duration {
	const parts = 4
	return time.Duration(r.bound * float64(time.Second) / parts)
}

// schedule calls do after the wait. The case does not end before that.
func (r *run) schedule(wait time.Duration, do func() error) {
	r.pending.Go(func() {
		time.Sleep(wait)
		if err := do(); err != nil {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.scheduledErr = errors.Join(r.scheduledErr, err)
		}
	})
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

func itoa(n int) string { return strconv.Itoa(n) }
