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

// standinProgram is the program that runs every kind of stand-in.
const standinProgram = "comfreystandin"

// storeMiB bounds the chunks that one engine keeps, in MiB.
const storeMiB = 1024

// startStores starts the stand-ins that need no list of members: the key-value
// service and the origin.
func (d *Deployment) startStores(ctx context.Context) error {
	kv := []string{"kv", "--listen", d.anyPort()}
	if d.config.ServiceReads > 0 {
		kv = append(kv, "--reads", decimal(d.config.ServiceReads))
	}
	if d.config.ServiceWrites > 0 {
		kv = append(kv, "--writes", decimal(d.config.ServiceWrites))
	}
	url, err := d.startStandin(ctx, "kv", kv)
	if err != nil {
		return err
	}
	d.kvURL = url
	origin := []string{"origin", "--listen", d.anyPort()}
	if d.config.OriginBytesPerSecond > 0 {
		origin = append(origin, "--bytes-per-second", strconv.FormatUint(d.config.OriginBytesPerSecond, 10))
	}
	d.originURL, err = d.startStandin(ctx, "origin", origin)
	return err
}

// startHosts starts the stand-in of the platform's host list with every member
// listed as live.
func (d *Deployment) startHosts(ctx context.Context) error {
	list := hostList{Hosts: []HostLine{}}
	for _, m := range d.Members() {
		list.Hosts = append(list.Hosts, m.hostLine(stateLive))
	}
	text, err := json.Marshal(list)
	if err != nil {
		return err
	}
	name := filepath.Join(d.dir, "hosts.json")
	if err := os.WriteFile(name, text, settingsMode); err != nil {
		return err
	}
	d.hostsURL, err = d.startStandin(ctx, "hosts", []string{
		"hosts", "--listen", d.anyPort(), "--file", name, "--lag", d.config.HostListLag.String()})
	return err
}

// startEndpoints starts the engines and the plain services.
func (d *Deployment) startEndpoints(ctx context.Context) error {
	for _, m := range d.Services() {
		if err := d.startService(ctx, m); err != nil {
			return err
		}
	}
	if d.config.OneEngineProcess {
		return d.startSharedEngines(ctx)
	}
	for _, m := range d.Agents() {
		if err := d.startEngine(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// startSharedEngines starts one process for each engine class, which simulates all
// engines of that class.
func (d *Deployment) startSharedEngines(ctx context.Context) error {
	for _, class := range []string{EngineClass, LooseEngineClass} {
		var group []*Member
		for _, m := range d.Agents() {
			if m.endpoint == class {
				group = append(group, m)
			}
		}
		if len(group) == 0 {
			continue
		}
		args := append(d.engineArgs(class, d.anyPort()), "--count", strconv.Itoa(len(group)))
		proc, err := d.run(ctx, process.Spec{Name: "engines", Program: d.program(standinProgram), Args: args, Listening: len(group)})
		if err != nil {
			return err
		}
		d.engines = append(d.engines, proc)
		for i, address := range proc.Addresses() {
			group[i].endpointURL = "http://" + address
		}
	}
	return nil
}

// startEngine starts the engine of one member. After a restart it listens on its
// previous address, because the agent's settings name that address.
func (d *Deployment) startEngine(ctx context.Context, m *Member) error {
	if m.endpointAddress == "" {
		address, err := d.addresses.take()
		if err != nil {
			return err
		}
		m.endpointAddress = address
	}
	proc, err := d.run(ctx, process.Spec{
		Name:      "engine-of-" + m.id,
		Program:   d.program(standinProgram),
		Args:      d.engineArgs(m.endpoint, m.endpointAddress),
		Listening: 1,
	})
	if err != nil {
		return err
	}
	m.engine = proc
	m.endpointURL = "http://" + m.endpointAddress
	return nil
}

func (d *Deployment) engineArgs(class, listen string) []string {
	engine := d.config.Engine
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

func (d *Deployment) startService(ctx context.Context, m *Member) error {
	proc, err := d.run(ctx, process.Spec{
		Name:      "endpoint-of-" + m.id,
		Program:   d.program(standinProgram),
		Args:      []string{"service", "--listen", d.anyPort()},
		Listening: 1,
	})
	if err != nil {
		return err
	}
	m.engine = proc
	m.endpointURL = "http://" + proc.Addresses()[0]
	return nil
}

func (d *Deployment) startStandin(ctx context.Context, name string, args []string) (string, error) {
	proc, err := d.run(ctx, process.Spec{Name: name, Program: d.program(standinProgram), Args: args, Listening: 1})
	if err != nil {
		return "", err
	}
	d.platform[name] = proc
	return "http://" + proc.Addresses()[0], nil
}

// anyPort returns a listen address on the deployment's IP address with port 0, so
// that the kernel chooses the port.
func (d *Deployment) anyPort() string { return fmt.Sprintf("%s:0", d.addresses.ip) }

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
