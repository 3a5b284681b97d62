package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on every machine.
const (
	callersPort   = 8005
	readyPort     = 8002
	directoryPort = 8009
	workerPort    = 8001
	platformPort  = 8007
	originPort    = 8006
	nodePort      = 7700 // first of port_range
	operatorsPort = 7715
)

const (
	modelService  = "rezago-llm"
	originService = "legado-bridge"
	plainService  = "mostrador"
	plainHost     = "voka93.example"
	plainPath     = "/filo73/"
	routeHost     = "cubo38.example"
	routePath     = "/levo940/"
	tenantKey     = "jnbanfqasnmgkcuyj8pj"
	heartbeat     = 1200 * time.Millisecond
)

// zones are those of caq-rezago.toml with their regions.
var zones = []struct{ name, region string }{
	{"zona-uno", "gt-central"}, {"xela-sala", "gt-occidente"}, {"zacapa-sala", "gt-oriente"},
}

// machine is a machine that runs one process of the system.
type machine struct {
	name, program, ip string
	settings          string // path of the settings file
	log               *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

// site is a small deployment: an entry in each zone, and workers with an agent each.
type site struct {
	root, dir string
	subnet    int
	rec       *record
	store     *store
	entries   []*machine
	agents    []*machine
	workers   []*worker // workers[i] is beside agents[i]
	plain     []*plainWorker
	listeners []net.Listener
	servers   []*http.Server
}

// newSite starts the stand-ins and writes the settings. The caller must call stop.
func newSite(ctx context.Context, root, dir string, hosts int, rec *record) (*site, error) {
	s := &site{root: root, dir: dir, rec: rec, store: newStore()}
	if err := s.findSubnet(); err != nil {
		return s, err
	}
	if err := s.listen(s.ip(0, 0), platformPort, s.store); err != nil {
		return s, err
	}
	if err := s.listen(s.ip(0, 1), originPort, &origin{}); err != nil {
		return s, err
	}
	for i := range hosts {
		zone := zones[i%len(zones)]
		ip := s.ip(2, i)
		worker := newWorker(fmt.Sprintf("i-worker-%d", i+1), fmt.Sprintf("%s:%d", ip, workerPort), zone.name, modelService, rec)
		s.workers = append(s.workers, worker)
		if err := s.listen(ip, workerPort, worker); err != nil {
			return s, err
		}
		agent := &machine{name: fmt.Sprintf("side-%s-%d", zone.name, i/len(zones)+1), program: "target/comfreyagent", ip: ip}
		s.agents = append(s.agents, agent)
		if err := s.write(agent, s.agentSettings(agent, zone.name, zone.region)); err != nil {
			return s, err
		}
	}
	for i, zone := range zones {
		entry := &machine{name: "front-" + zone.name + "-1", program: "target/comfreyentry", ip: s.ip(1, i)}
		s.entries = append(s.entries, entry)
		if err := s.write(entry, s.entrySettings(entry, zone.name, zone.region)); err != nil {
			return s, err
		}
	}
	for i, zone := range zones {
		worker := newPlainWorker(fmt.Sprintf("i-desk-%d", i+1), fmt.Sprintf("%s:%d", s.ip(3, i), workerPort), zone.name, rec)
		lis, err := net.Listen("tcp", worker.address)
		if err != nil {
			return s, err
		}
		s.plain, s.listeners = append(s.plain, worker), append(s.listeners, lis)
		go worker.serve(lis)
	}
	s.store.put("op/config", s.config())
	s.beat()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(heartbeat)
			s.beat()
		}
	}()
	return s, nil
}

// beat renews the registrations of all workers.
func (s *site) beat() {
	for _, worker := range s.workers {
		s.store.put("servers/"+worker.id, worker.registration())
	}
	for _, worker := range s.plain {
		s.store.put("servers/"+worker.id, worker.registration())
	}
}

// findSubnet picks a second address byte under 127.0.0.0/8 whose ports are free.
func (s *site) findSubnet() error {
	for i := range 100 {
		s.subnet = 64 + (os.Getpid()+i)%100
		lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(0, 0), platformPort))
		if err == nil {
			return lis.Close()
		}
	}
	return errors.New("no free loopback addresses")
}

func (s *site) ip(group, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.subnet, group, index+1)
}

func (s *site) listen(ip string, port int, handler http.Handler) error {
	lis, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(lis) }()
	return nil
}

func (s *site) write(m *machine, settings map[string]any) error {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(s.dir, m.name+".json")
	if m.log, err = os.Create(filepath.Join(s.dir, m.name+".log")); err != nil {
		return err
	}
	return os.WriteFile(m.settings, text, 0o600)
}

// bounds are those of caq-rezago.toml, as deploy/entry.json and deploy/agent.json take them.
func bounds() map[string]any {
	return map[string]any{
		"revokeMillis": 5000, "applyMillis": 2000, "versionMillis": 8000, "retryRatio": 0.2, "retrySlack": 106,
		"retryWindowSeconds": 10, "directoryTtlSeconds": 5, "graceMillis": 8000,
	}
}

func (s *site) node(m *machine, zone, region string) map[string]any {
	return map[string]any{
		"id": m.name, "region": region, "failureDomain": zone, "insecure": true, "logLevel": "info",
		"controlAddress": fmt.Sprintf("%s:%d", m.ip, nodePort), "operatorsAddress": fmt.Sprintf("%s:%d", m.ip, operatorsPort),
		"hostsUrl": s.platformURL(),
	}
}

func (s *site) platformURL() string { return fmt.Sprintf("http://%s:%d", s.ip(0, 0), platformPort) }

// entrySettings returns what deploy/entry.json makes of the platform's settings.
func (s *site) entrySettings(m *machine, zone, region string) map[string]any {
	regions := map[string]string{}
	for _, one := range zones {
		regions[one.name] = one.region
	}
	return map[string]any{
		"node": s.node(m, zone, region), "callersAddress": fmt.Sprintf("%s:%d", m.ip, callersPort), "kvUrl": s.platformURL(),
		"site": map[string]any{
			"readyAddress": fmt.Sprintf("%s:%d", m.ip, readyPort), "directoryAddress": fmt.Sprintf("%s:%d", m.ip, directoryPort),
			"agentPort": nodePort, "memoryMegabytes": 284, "regions": regions, "linkMegabits": 1000.0,
			"heartbeatMillis": heartbeat.Milliseconds(), "bounds": bounds(),
		},
	}
}

// agentSettings returns what deploy/agent.json makes of the platform's settings.
func (s *site) agentSettings(m *machine, zone, region string) map[string]any {
	return map[string]any{
		"node": s.node(m, zone, region), "endpoint": "engine", "service": modelService,
		"endpointUrl": fmt.Sprintf("http://%s:%d", m.ip, workerPort),
		"site":        map[string]any{"agentPort": nodePort, "memoryMegabytes": 152, "linkMegabits": 7.3, "bounds": bounds()},
	}
}

// config is the operator's configuration.
func (s *site) config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "host": routeHost, "path_prefix": routePath, "kind": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 500, "priority": 1, "service": modelService, "max_attempts": 2, "public": false,
			"sticky": true, "resumable": true, "gap_aim_ms": 400,
		}, {
			"name": "r-2", "host": plainHost, "path_prefix": plainPath, "kind": "non_idempotent", "timeout_ms": 1000,
			"target_latency_ms": 100, "priority": 2, "service": plainService, "max_attempts": 1, "public": false,
		}},
		"services": []map[string]any{
			{"name": modelService, "health_path": "/health", "max_conns": 274, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slots, "kv_capacity_tokens": 1180000, "kv_cache_bytes": 163840, "stride": 5,
				"models": []map[string]any{{"name": model, "pace": 1.0, "load_s": 4.0, "warm_s": warmTime.Seconds()}},
				"mb":     266000.0, "step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0,
				"pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 977, "answer": 94},
				"layers": 16, "layer_mb": 4540.0, "chunks": pieces, "chunk_bytes": pieceBytes,
			}},
			{"name": plainService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
			{"name": originService, "origin": fmt.Sprintf("%s:%d", s.ip(0, 1), originPort), "zone": "xela-sala", "link_mbps": originMbps, "max_conns": 48},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "api_keys": []string{tenantKey}, "priority": 1}},
	}
}

// machines returns all machines of the system.
func (s *site) machines() []*machine {
	return append(append([]*machine(nil), s.agents...), s.entries...)
}

// start starts the process of a machine, as the deploy file says.
func (s *site) start(m *machine) error {
	cmd := exec.Command(filepath.Join(s.root, m.program))
	cmd.Dir = s.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "COMFREYRELAY_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process, m.ended = cmd, ended
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(sig)
	}
}

// kill ends the process of a machine and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// startAll starts all processes and waits until the entries are ready.
func (s *site) startAll(ctx context.Context) error {
	for _, m := range s.machines() {
		if err := s.start(m); err != nil {
			return err
		}
	}
	for _, entry := range s.entries {
		if err := entry.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) awaitReady(ctx context.Context) error {
	for {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not become ready", m.name)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// stop kills all processes and ends the stand-ins.
func (s *site) stop() {
	for _, m := range s.machines() {
		m.kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, lis := range s.listeners {
		_ = lis.Close()
	}
}
