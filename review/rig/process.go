package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Ports of every machine, as in the platform's example settings.
const (
	callersPort   = 8005
	readyPort     = 8002
	directoryPort = 8009
	controlPort   = 7700
	operatorsPort = 7715
	appPort       = 8001
	storePort     = 8007
	originPort    = 8006
)

// bounds are those of the small deployments.
const (
	contact       = 3 * time.Second
	drainBound    = 2 * time.Second
	revokeBound   = 5 * time.Second
	versionBound  = 8 * time.Second
	recoveryBound = 12 * time.Second
)

// world is one run: a subnet of loopback addresses, a folder and the processes started.
type world struct {
	record *record
	subnet int
	dir    string
	bin    string

	mu        sync.Mutex
	processes []*process
}

func newWorld(rec *record, bin string) (*world, error) {
	dir, err := os.MkdirTemp("", "comfrey-review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: rec, dir: dir, bin: bin}
	for range 50 {
		w.subnet = 32 + rand.IntN(190)
		lis, err := net.Listen("tcp", w.address(0, 1, storePort))
		if err == nil {
			_ = lis.Close()
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback subnet")
}

func (w *world) ip(group, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.subnet, group, number)
}

func (w *world) address(group, number, port int) string {
	return fmt.Sprintf("%s:%d", w.ip(group, number), port)
}

// Groups of addresses.
const (
	platformGroup = iota
	entryGroup
	hostGroup
	appGroup
)

// zones are the failure domains, each in a region of its own.
var zones = []string{"zona-uno", "xela-sala", "zacapa-sala"}

func zoneOf(number int) string { return zones[(number-1)%len(zones)] }

func regionOf(zone string) string { return "region-" + zone }

func siteBounds() map[string]any {
	return map[string]any{
		"revokeMillis": 5000, "applyMillis": 2000, "versionMillis": 8000, "retryRatio": 0.2, "retrySlack": 106,
		"retryWindowSeconds": 10, "directoryTtlSeconds": 5, "graceMillis": 8000,
	}
}

func (w *world) node(id string, group, number int) map[string]any {
	return map[string]any{
		"id": id, "region": regionOf(zoneOf(number)), "failureDomain": zoneOf(number),
		"controlAddress": w.address(group, number, controlPort), "operatorsAddress": w.address(group, number, operatorsPort),
		"hostsUrl": "http://" + w.address(platformGroup, 1, storePort), "insecure": true, "logLevel": "info",
	}
}

// entrySettings renders deploy/entry.json for one entry.
func (w *world) entrySettings(number int) map[string]any {
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = regionOf(zone)
	}
	return map[string]any{
		"node":           w.node(fmt.Sprintf("front-%d", number), entryGroup, number),
		"callersAddress": w.address(entryGroup, number, callersPort),
		"kvUrl":          "http://" + w.address(platformGroup, 1, storePort),
		"site": map[string]any{
			"readyAddress": w.address(entryGroup, number, readyPort), "directoryAddress": w.address(entryGroup, number, directoryPort),
			"agentPort": controlPort, "memoryMegabytes": 284, "regions": regions, "linkMegabits": 1000.0, "bounds": siteBounds(),
		},
	}
}

// agentSettings renders deploy/agent.json for the agent beside an engine.
func (w *world) agentSettings(number int, service string) map[string]any {
	return map[string]any{
		"node":     w.node(fmt.Sprintf("side-%d", number), hostGroup, number),
		"endpoint": "engine", "service": service, "endpointUrl": "http://" + w.address(hostGroup, number, appPort),
		"site": map[string]any{"agentPort": controlPort, "memoryMegabytes": 152, "linkMegabits": 7.3, "bounds": siteBounds()},
	}
}

// process is one program of the system, started with the command of the deploy file.
type process struct {
	name, program, settings string

	world   *world
	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	began   time.Time
	stopped bool // the test ended it
}

// start writes the settings and starts a program.
func (w *world) start(name, program string, settings map[string]any) (*process, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.dir, name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, program: filepath.Join(w.bin, program), settings: file, world: w}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p, p.begin()
}

// begin starts the program, or starts it again after it was killed.
func (p *process) begin() error {
	out, err := os.OpenFile(filepath.Join(p.world.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.world.dir, "COMFREYRELAY_BOOT=" + p.settings}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		_ = out.Close()
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done, p.began, p.stopped = command, done, time.Now(), false
	p.mu.Unlock()
	p.world.record.add("process", "%s starts with id %d", p.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = out.Close()
		p.world.record.add("process", "%s with id %d ends: %v", p.name, command.Process.Pid, err)
		close(done)
	}()
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	command, done := p.command, p.done
	p.stopped = true
	p.mu.Unlock()
	p.world.record.add("process", "%s gets SIGKILL", p.name)
	_ = command.Process.Kill()
	<-done
}

// ended reports whether the process ended without being killed by the test.
func (p *process) ended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return !p.stopped
	default:
		return false
	}
}

// stop kills all processes. It copies their logs beside the record if keep is a folder.
func (w *world) stop(keep string) {
	w.mu.Lock()
	processes := append([]*process(nil), w.processes...)
	w.mu.Unlock()
	for _, p := range processes {
		p.mu.Lock()
		command, done := p.command, p.done
		p.stopped = true
		p.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Kill()
		<-done
	}
	if keep != "" {
		logs, _ := filepath.Glob(filepath.Join(w.dir, "*.log"))
		for _, log := range logs {
			if text, err := os.ReadFile(log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(log)), text, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
}

// waitReady waits until the entry answers its readiness check with 200.
func (w *world) waitReady(number int, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	url := "http://" + w.address(entryGroup, number, readyPort) + "/ready"
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("entry %d is not ready after %v", number, limit)
}

// anyEnded returns the names of processes that ended by themselves.
func (w *world) anyEnded() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for _, p := range w.processes {
		if p.ended() {
			names = append(names, p.name)
		}
	}
	return strings.Join(names, ", ")
}
