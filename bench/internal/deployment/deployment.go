// Package deployment runs a complete deployment as real processes on loopback:
// stand-ins for the platform, entries, and engines and services with their agents.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"comfreyrelay.example/bench/internal/keys"
	"comfreyrelay.example/bench/internal/process"
)

const (
	// startTimeout bounds the start of one process.
	startTimeout = 30 * time.Second
	// maxConcurrentStarts bounds the processes that start concurrently.
	maxConcurrentStarts = 12
)

// Deployment holds the processes, addresses and keys of a running deployment.
type Deployment struct {
	config    Config
	dir       string // settings, keys and documents; removed by Stop
	authority *keys.Authority
	addresses *addresses

	kvURL, hostsURL, originURL string
	loads                      atomic.Uint64 // number of loads started so far

	entries []*Member // in the order of their ids
	agents  []*Member // engines first, then services

	platform map[string]*process.Process // by name: kv, hosts, origin
	engines  []*process.Process          // each simulates several engines

	mu        sync.Mutex
	processes []*process.Process // all ever started, in the order of start
	stopped   bool
	deaths    []Death
}

// Death records a member that Kill ended.
type Death struct {
	Member *Member
	At     time.Time
}

// Start starts a deployment and waits until every process listens. After an error
// no process is left running.
func Start(ctx context.Context, config Config) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "comfreybench-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{config: config, dir: dir, addresses: newAddresses(), platform: map[string]*process.Process{}}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	authority, err := keys.NewAuthority(d.dir)
	if err != nil {
		return err
	}
	d.authority = authority
	if err := d.startStores(ctx); err != nil {
		return err
	}
	if err := d.createMembers(); err != nil {
		return err
	}
	if err := d.startEndpoints(ctx); err != nil {
		return err
	}
	if err := d.startHosts(ctx); err != nil {
		return err
	}
	return d.startMembers(ctx)
}

// createMembers creates the members and assigns their ids, places and addresses.
func (d *Deployment) createMembers() error {
	for i := range d.config.Entries {
		m := &Member{id: fmt.Sprintf("entry-%02d", i), kind: kindEntry, place: d.place(i)}
		if err := d.takeAddresses(m); err != nil {
			return err
		}
		d.entries = append(d.entries, m)
	}
	for i := range d.config.Hosts {
		m := &Member{id: fmt.Sprintf("host-%03d", i), kind: kindAgent, place: d.place(i), endpoint: EngineClass}
		if d.config.Mixed && i%2 == 1 {
			m.endpoint = LooseEngineClass
		}
		if err := d.takeAddresses(m); err != nil {
			return err
		}
		d.agents = append(d.agents, m)
	}
	for i := range d.config.Services {
		m := &Member{id: fmt.Sprintf("service-%02d", i), kind: kindAgent, place: d.place(i), endpoint: ServiceClass, service: ServiceName}
		if err := d.takeAddresses(m); err != nil {
			return err
		}
		d.agents = append(d.agents, m)
	}
	return nil
}

// place assigns places round-robin.
func (d *Deployment) place(i int) Place { return d.config.Places[i%len(d.config.Places)] }

func (d *Deployment) takeAddresses(m *Member) (err error) {
	if m.control, err = d.addresses.take(); err != nil {
		return err
	}
	if m.operators, err = d.addresses.take(); err != nil {
		return err
	}
	if m.kind == kindEntry {
		m.callers, err = d.addresses.take()
	}
	return err
}

func (d *Deployment) startMembers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentStarts)
	for _, m := range d.Members() {
		group.Go(func() error { return d.startMember(ctx, m) })
	}
	return group.Wait()
}

// startMember writes the member's settings and starts its process.
func (d *Deployment) startMember(ctx context.Context, m *Member) error {
	program, write := "comfreyentry", d.writeEntrySettings
	if m.kind == kindAgent {
		program, write = "comfreyagent", d.writeAgentSettings
	}
	if err := write(m); err != nil {
		return err
	}
	proc, err := d.run(ctx, process.Spec{
		Name:      m.id,
		Program:   d.program(program),
		Args:      []string{"--settings", m.settings},
		Listening: 1,
	})
	m.process = proc
	return err
}

// run starts a process that Stop will end.
func (d *Deployment) run(ctx context.Context, spec process.Spec) (*process.Process, error) {
	if spec.Log == nil {
		spec.Log = d.config.Log
	}
	if spec.Timeout == 0 {
		spec.Timeout = startTimeout
	}
	proc, err := process.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		_ = proc.Stop(0)
		return nil, errors.New("the deployment was stopped meanwhile")
	}
	d.processes = append(d.processes, proc)
	return proc, nil
}

func (d *Deployment) program(name string) string { return filepath.Join(d.config.Bin, name) }

// Entries returns the entries.
func (d *Deployment) Entries() []*Member { return d.entries }

// Agents returns the agents of the engines.
func (d *Deployment) Agents() []*Member { return d.agents[:d.config.Hosts] }

// Services returns the agents of the plain services.
func (d *Deployment) Services() []*Member { return d.agents[d.config.Hosts:] }

// Members returns all entries and agents.
func (d *Deployment) Members() []*Member {
	return append(append([]*Member(nil), d.entries...), d.agents...)
}

// Dir returns a directory that lasts as long as the deployment.
func (d *Deployment) Dir() string { return d.dir }

// Kill ends the member with SIGKILL, as a crash of its host would: the engine of an
// agent ends too and loses its weights.
func (d *Deployment) Kill(ctx context.Context, m *Member) error {
	if m.kind == kindAgent && m.service == "" {
		if err := d.killEngine(ctx, m); err != nil {
			return err
		}
	}
	d.mu.Lock()
	d.deaths = append(d.deaths, Death{Member: m, At: time.Now()})
	d.mu.Unlock()
	return m.process.Kill()
}

// Deaths returns the members that Kill ended so far.
func (d *Deployment) Deaths() []Death {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Death(nil), d.deaths...)
}

// killEngine kills the member's engine process, or makes the shared process treat
// this engine as dead.
func (d *Deployment) killEngine(ctx context.Context, m *Member) error {
	if m.engine == nil {
		return d.SetEngineFaults(ctx, m, EngineFaults{Dead: true})
	}
	return m.engine.Kill()
}

// Restart starts the member's program again, as a new incarnation of the same node.
// An engine that was killed restarts without weights.
func (d *Deployment) Restart(ctx context.Context, m *Member) error {
	if m.kind == kindAgent && m.service == "" {
		if err := d.restartEngine(ctx, m); err != nil {
			return err
		}
	}
	return d.startMember(ctx, m)
}

// RestartAll starts every member's program again, concurrently.
func (d *Deployment) RestartAll(ctx context.Context) error { return d.startMembers(ctx) }

func (d *Deployment) restartEngine(ctx context.Context, m *Member) error {
	if m.engine == nil {
		return d.SetEngineFaults(ctx, m, EngineFaults{})
	}
	if !m.engine.Ended() {
		return nil
	}
	return d.startEngine(ctx, m)
}

// Platform returns the process of a platform stand-in: "kv", "hosts" or
// "origin".
func (d *Deployment) Platform(name string) *process.Process { return d.platform[name] }

// Stop ends every process that the deployment started and removes its files. It may
// be called more than once.
func (d *Deployment) Stop() {
	d.mu.Lock()
	d.stopped = true
	processes := d.processes
	d.processes = nil
	d.mu.Unlock()
	var stops sync.WaitGroup
	for _, proc := range processes {
		stops.Go(func() { _ = proc.Stop(stopGrace) })
	}
	stops.Wait()
	_ = os.RemoveAll(d.dir)
}
