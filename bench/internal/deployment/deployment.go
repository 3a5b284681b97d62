// Package deployment starts a whole deployment of real processes over loopback: the
// platform's stand-ins, entries, engines and services with their agents.
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
	// startTimeout bounds one process's start.
	startTimeout = 30 * time.Second
	// startsAtOnce bounds the processes that start side by side.
	startsAtOnce = 12
)

// Deployment is one running deployment.
type Deployment struct {
	config    Config
	dir       string // settings, keys and documents; removed by Stop
	authority *keys.Authority
	addresses *addresses

	kvURL, hostsURL, originURL string
	loads                      atomic.Uint64 // started so far

	entries []*Member // in the order of their ids
	agents  []*Member // engines first, then services

	platform map[string]*process.Process // by name: kv, hosts, origin
	engines  []*process.Process          // those that stand in for several engines

	mu        sync.Mutex
	processes []*process.Process // all ever started, in the order of start
	stopped   bool
	deaths    []Death
}

// Death is a member that Kill ended.
type Death struct {
	Member *Member
	At     time.Time
}

// Start starts a deployment and waits until every process listens. After an error
// nothing is left running.
func Start(ctx context.Context, config Config) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "comfreybench-")
	if err != nil {
		return nil, err
	}
	h := &Deployment{config: config, dir: dir, addresses: newAddresses(), platform: map[string]*process.Process{}}
	if err := h.start(ctx); err != nil {
		h.Stop()
		return nil, err
	}
	return h, nil
}

func (h *Deployment) start(ctx context.Context) error {
	authority, err := keys.NewAuthority(h.dir)
	if err != nil {
		return err
	}
	h.authority = authority
	if err := h.startStores(ctx); err != nil {
		return err
	}
	if err := h.planMembers(); err != nil {
		return err
	}
	if err := h.startEndpoints(ctx); err != nil {
		return err
	}
	if err := h.startHosts(ctx); err != nil {
		return err
	}
	return h.startMembers(ctx)
}

// planMembers chooses ids, places and addresses.
func (h *Deployment) planMembers() error {
	for i := range h.config.Entries {
		m := &Member{id: fmt.Sprintf("entry-%02d", i), kind: kindEntry, place: h.place(i)}
		if err := h.takeAddresses(m); err != nil {
			return err
		}
		h.entries = append(h.entries, m)
	}
	for i := range h.config.Hosts {
		m := &Member{id: fmt.Sprintf("host-%03d", i), kind: kindAgent, place: h.place(i), endpoint: EngineClass}
		if h.config.Mixed && i%2 == 1 {
			m.endpoint = LooseEngineClass
		}
		if err := h.takeAddresses(m); err != nil {
			return err
		}
		h.agents = append(h.agents, m)
	}
	for i := range h.config.Services {
		m := &Member{id: fmt.Sprintf("service-%02d", i), kind: kindAgent, place: h.place(i), endpoint: ServiceClass, service: ServiceName}
		if err := h.takeAddresses(m); err != nil {
			return err
		}
		h.agents = append(h.agents, m)
	}
	return nil
}

func (h *Deployment) place(i int) Place { return h.config.Places[i%len(h.config.Places)] }

func (h *Deployment) takeAddresses(m *Member) (err error) {
	if m.control, err = h.addresses.take(); err != nil {
		return err
	}
	if m.operators, err = h.addresses.take(); err != nil {
		return err
	}
	if m.kind == kindEntry {
		m.callers, err = h.addresses.take()
	}
	return err
}

func (h *Deployment) startMembers(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(startsAtOnce)
	for _, m := range h.Members() {
		group.Go(func() error { return h.startMember(ctx, m) })
	}
	return group.Wait()
}

// startMember writes the member's settings and starts its process.
func (h *Deployment) startMember(ctx context.Context, m *Member) error {
	program, write := "comfreyentry", h.writeEntrySettings
	if m.kind == kindAgent {
		program, write = "comfreyagent", h.writeAgentSettings
	}
	if err := write(m); err != nil {
		return err
	}
	proc, err := h.run(ctx, process.Spec{
		Name:      m.id,
		Program:   h.program(program),
		Args:      []string{"--settings", m.settings},
		Listening: 1,
	})
	m.process = proc
	return err
}

// run starts a process that Stop will end.
func (h *Deployment) run(ctx context.Context, spec process.Spec) (*process.Process, error) {
	if spec.Log == nil {
		spec.Log = h.config.Log
	}
	if spec.Timeout == 0 {
		spec.Timeout = startTimeout
	}
	proc, err := process.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		_ = proc.Stop(0)
		return nil, errors.New("the deployment was stopped meanwhile")
	}
	h.processes = append(h.processes, proc)
	return proc, nil
}

func (h *Deployment) program(name string) string { return filepath.Join(h.config.Bin, name) }

// Entries returns the entries.
func (h *Deployment) Entries() []*Member { return h.entries }

// Agents returns the agents of the engines.
func (h *Deployment) Agents() []*Member { return h.agents[:h.config.Hosts] }

// Services returns the agents of the plain services.
func (h *Deployment) Services() []*Member { return h.agents[h.config.Hosts:] }

// Members returns all entries and agents.
func (h *Deployment) Members() []*Member {
	return append(append([]*Member(nil), h.entries...), h.agents...)
}

// Dir returns a directory that lasts as long as the deployment.
func (h *Deployment) Dir() string { return h.dir }

// Kill ends the member at once, as when its host dies: an engine goes with its
// agent and loses its weights.
func (h *Deployment) Kill(ctx context.Context, m *Member) error {
	if m.kind == kindAgent && m.service == "" {
		if err := h.killEngine(ctx, m); err != nil {
			return err
		}
	}
	h.mu.Lock()
	h.deaths = append(h.deaths, Death{Member: m, At: time.Now()})
	h.mu.Unlock()
	return m.process.Kill()
}

// Deaths returns the members that Kill ended so far.
func (h *Deployment) Deaths() []Death {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Death(nil), h.deaths...)
}

func (h *Deployment) killEngine(ctx context.Context, m *Member) error {
	if m.engine == nil {
		return h.SetEngineFaults(ctx, m, EngineFaults{Dead: true})
	}
	return m.engine.Kill()
}

// Restart starts the member's program again: the same node with a new
// incarnation. An engine that was killed comes back empty.
func (h *Deployment) Restart(ctx context.Context, m *Member) error {
	if m.kind == kindAgent && m.service == "" {
		if err := h.restartEngine(ctx, m); err != nil {
			return err
		}
	}
	return h.startMember(ctx, m)
}

// RestartAll starts every member again, all at once.
func (h *Deployment) RestartAll(ctx context.Context) error { return h.startMembers(ctx) }

func (h *Deployment) restartEngine(ctx context.Context, m *Member) error {
	if m.engine == nil {
		return h.SetEngineFaults(ctx, m, EngineFaults{})
	}
	if !m.engine.Ended() {
		return nil
	}
	return h.startEngine(ctx, m)
}

// Platform returns the process of a platform stand-in: "kv", "hosts" or
// "origin".
func (h *Deployment) Platform(name string) *process.Process { return h.platform[name] }

// Stop ends every process that the deployment started and removes its files. It may
// be called more than once.
func (h *Deployment) Stop() {
	h.mu.Lock()
	h.stopped = true
	processes := h.processes
	h.processes = nil
	h.mu.Unlock()
	var waits sync.WaitGroup
	for _, proc := range processes {
		waits.Go(func() { _ = proc.Stop(stopGrace) })
	}
	waits.Wait()
	_ = os.RemoveAll(h.dir)
}
