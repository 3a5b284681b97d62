package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"comfreyrelay.example/bench/internal/process"
)

// standin is the program of all stand-ins.
const standin = "comfreystandin"

// storeMiB bounds the chunks that one engine keeps, in MiB.
const storeMiB = 1024

// startStores starts what needs to know of no member: key-value service and
// origin.
func (h *Deployment) startStores(ctx context.Context) error {
	kv := []string{"kv", "--listen", h.anyPort()}
	if h.config.ServiceReads > 0 {
		kv = append(kv, "--reads", decimal(h.config.ServiceReads))
	}
	if h.config.ServiceWrites > 0 {
		kv = append(kv, "--writes", decimal(h.config.ServiceWrites))
	}
	url, err := h.startStandin(ctx, "kv", kv)
	if err != nil {
		return err
	}
	h.kvURL = url
	origin := []string{"origin", "--listen", h.anyPort()}
	if h.config.OriginBytesPerSecond > 0 {
		origin = append(origin, "--bytes-per-second", strconv.FormatUint(h.config.OriginBytesPerSecond, 10))
	}
	h.originURL, err = h.startStandin(ctx, "origin", origin)
	return err
}

// startHosts starts the host list, which names every member.
func (h *Deployment) startHosts(ctx context.Context) error {
	list := hostList{Hosts: []HostLine{}}
	for _, m := range h.Members() {
		list.Hosts = append(list.Hosts, m.line(stateLive))
	}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	name := filepath.Join(h.dir, "hosts.json")
	if err := os.WriteFile(name, text, settingsMode); err != nil {
		return err
	}
	h.hostsURL, err = h.startStandin(ctx, "hosts", []string{
		"hosts", "--listen", h.anyPort(), "--file", name, "--lag", h.config.HostListLag.String()})
	return err
}

// startEndpoints starts the engines and the plain services.
func (h *Deployment) startEndpoints(ctx context.Context) error {
	for _, m := range h.Services() {
		if err := h.startService(ctx, m); err != nil {
			return err
		}
	}
	if h.config.OneEngineProcess {
		return h.startSharedEngines(ctx)
	}
	for _, m := range h.Agents() {
		if err := h.startEngine(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// startSharedEngines starts one process for each class of engines.
func (h *Deployment) startSharedEngines(ctx context.Context) error {
	for _, class := range []string{EngineClass, LooseEngineClass} {
		var group []*Member
		for _, m := range h.Agents() {
			if m.endpoint == class {
				group = append(group, m)
			}
		}
		if len(group) == 0 {
			continue
		}
		args := append(h.engineArgs(class, h.anyPort()), "--count", strconv.Itoa(len(group)))
		proc, err := h.run(ctx, process.Spec{Name: "engines", Program: h.program(standin), Args: args, Listening: len(group)})
		if err != nil {
			return err
		}
		h.engines = append(h.engines, proc)
		for i, address := range proc.Addresses() {
			group[i].endpointURL = "http://" + address
		}
	}
	return nil
}

// startEngine starts one member's engine, at its former address after a
// restart: the agent's settings name it.
func (h *Deployment) startEngine(ctx context.Context, m *Member) error {
	if m.endpointAddress == "" {
		address, err := h.addresses.take()
		if err != nil {
			return err
		}
		m.endpointAddress = address
	}
	proc, err := h.run(ctx, process.Spec{
		Name:      "engine-of-" + m.id,
		Program:   h.program(standin),
		Args:      h.engineArgs(m.endpoint, m.endpointAddress),
		Listening: 1,
	})
	if err != nil {
		return err
	}
	m.engine = proc
	m.endpointURL = "http://" + m.endpointAddress
	return nil
}

func (h *Deployment) engineArgs(class, listen string) []string {
	engine := h.config.Engine
	args := []string{"engine", "--listen", listen, "--store-mib", strconv.Itoa(storeMiB)}
	if class == EngineClass {
		args = append(args, "--checks-fencing")
	}
	if engine.Slots > 0 {
		args = append(args, "--slots", strconv.Itoa(engine.Slots))
	}
	if engine.Queue > 0 {
		args = append(args, "--queue", strconv.Itoa(engine.Queue))
	}
	if engine.TokenInterval > 0 {
		args = append(args, "--token-millis", decimal(millis(engine.TokenInterval)))
	}
	if engine.FirstTokenTime > 0 {
		args = append(args, "--first-token-millis", decimal(millis(engine.FirstTokenTime)))
	}
	if engine.LoadTime > 0 {
		args = append(args, "--load-millis", decimal(millis(engine.LoadTime)))
	}
	if engine.CachePrefixes > 0 {
		args = append(args, "--cache-prefixes", strconv.Itoa(engine.CachePrefixes))
	}
	return args
}

func (h *Deployment) startService(ctx context.Context, m *Member) error {
	proc, err := h.run(ctx, process.Spec{
		Name:      "endpoint-of-" + m.id,
		Program:   h.program(standin),
		Args:      []string{"service", "--listen", h.anyPort()},
		Listening: 1,
	})
	if err != nil {
		return err
	}
	m.engine = proc
	m.endpointURL = "http://" + proc.Addresses()[0]
	return nil
}

func (h *Deployment) startStandin(ctx context.Context, name string, args []string) (string, error) {
	proc, err := h.run(ctx, process.Spec{Name: name, Program: h.program(standin), Args: args, Listening: 1})
	if err != nil {
		return "", err
	}
	h.platform[name] = proc
	return "http://" + proc.Addresses()[0], nil
}

// anyPort is an address on the deployment's own IP number with a port of the
// system's choice.
func (h *Deployment) anyPort() string { return fmt.Sprintf("%s:0", h.addresses.ip) }

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
