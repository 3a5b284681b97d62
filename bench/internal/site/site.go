// Package site runs a complete deployment in site mode as processes on loopback:
// entries, agents, and stand-ins for the platform's store, endpoints and origin.
package site

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"comfreyrelay.example/bench/internal/process"
	"comfreyrelay.example/platform/platformtest"
	"comfreyrelay.example/relay/catalog"
	"comfreyrelay.example/relay/wire"
)

// Kinds of member.
const (
	Entry  = "entry"
	Agent  = "agent"
	Engine = "engine"
	App    = "app"
	Store  = "store"
	Origin = "origin"
	// Network relays the connections between processes of the system and injects
	// link faults.
	Network = "network"
)

// Names of the declared services and of the model.
const (
	EngineService = "llm"
	AppService    = "app"
	OriginService = "weights"
	Model         = "m0"
)

// Ports, the same on every host.
const (
	controlPort   = 7700
	operatorsPort = 7701
	readyPort     = 8002
	callersPort   = 8005
	directoryPort = 8009
	standinPort   = 8203
	faultsPort    = 8204
	// agentPort is where agents listen. Other processes connect to controlPort, where
	// the network stand-in relays to agentPort.
	agentPort = 7710
)

const (
	// startTimeout bounds the time from the start of a process until it listens.
	startTimeout = 20 * time.Second
	// callTimeout bounds one call to the control address of a stand-in.
	callTimeout = 10 * time.Second
	fileMode    = 0o600
	// maxResponse bounds a response body in bytes; the largest is a stand-in's record.
	maxResponse = 256 << 20
	// maxHosts bounds the hosts with an engine, including those that AddHost adds.
	maxHosts = 120
	// heartbeat is the interval at which endpoints renew their registrations.
	heartbeat = 1200 * time.Millisecond
)

// Config describes the deployment to start.
type Config struct {
	Bin     string // directory of the built programs
	Dir     string // where settings are written
	Log     io.Writer
	Domains []string // failure domains, a region each
	Entries int
	Engines int // each with its agent
	Apps    int
	Spec    catalog.Engine
	Bounds  Bounds
	// MaxConns limits the connections that each endpoint and the origin accept, by kind.
	MaxConns map[string]int
	// StoreBytesPerSecond is the bandwidth at which all entries together read the store; 0 means no
	// limit.
	StoreBytesPerSecond float64
}

// Bounds are the limits that the platform requires the system to keep.
type Bounds struct {
	Revoke, Apply, Version, Drain, Grace time.Duration
	// Contact is how long after its end a disruption still excuses a violation.
	Contact      time.Duration
	Ratio, Slack float64 // of repeats
	Window       time.Duration
}

// Member is one process of the deployment or stand-in of the platform.
type Member struct {
	Name      string
	Kind      string
	Domain    string
	IP        string
	ID        string   // of an endpoint, in its registration
	formerIDs []string // ids before it was replaced
	empty     bool     // an engine that starts with no weights
	program   string
	args      []string

	faultsMu sync.Mutex
	faults   platformtest.PartFaults // in effect, of a stand-in

	mu      sync.Mutex
	process *process.Process
}

// Callers returns the address at which an entry serves callers.
func (m *Member) Callers() string { return m.address(callersPort) }

// Directory returns the address at which an entry lists the entries to use.
func (m *Member) Directory() string { return m.address(directoryPort) }

func (m *Member) address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// Was reports whether the id is the member's current or a former endpoint id.
func (m *Member) Was(id string) bool { return m.ID == id || slices.Contains(m.formerIDs, id) }

// Process returns the current process, or the last one after it ended.
func (m *Member) Process() *process.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// Site is a running deployment with its platform stand-ins.
type Site struct {
	config  Config
	subnet  int // second byte of all addresses
	members []*Member
	store   *Member

	mu       sync.Mutex
	replaced int // endpoints that were replaced
}

// Start starts all processes. The caller must call Stop, also after an error.
func Start(ctx context.Context, config Config) (*Site, error) {
	s := &Site{config: config, subnet: freeSubnet()}
	s.store = s.add(Store, platformNet, 0)
	s.add(Origin, platformNet, 1)
	s.add(Network, platformNet, 2)
	for i := range config.Engines {
		s.add(Engine, hostNet, i)
	}
	for i := range config.Apps {
		s.add(App, appNet, i)
	}
	for i := range config.Engines {
		s.add(Agent, hostNet, i)
	}
	for i := range config.Entries {
		s.add(Entry, entryNet, i)
	}
	for _, m := range s.allMembers() {
		if err := s.writeSettings(m); err != nil {
			return s, err
		}
	}
	for _, m := range s.allMembers() {
		if err := s.Begin(ctx, m); err != nil {
			return s, err
		}
	}
	return s, nil
}

// freeSubnet returns a second address byte under 127.0.0.0/8 that no other run uses.
func freeSubnet() int {
	const first, count = 64, 128
	for i := range count {
		found := first + (os.Getpid()+i)%count
		lis, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", found, standinPort))
		if err == nil {
			_ = lis.Close()
			return found
		}
	}
	return first
}

func (s *Site) add(kind string, group, index int) *Member {
	m := &Member{
		Kind: kind, Name: fmt.Sprintf("%s-%d", kind, index), ID: fmt.Sprintf("i-%s-%d", kind, index),
		Domain: s.config.Domains[index%len(s.config.Domains)], IP: s.ip(group, index),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = append(s.members, m)
	return m
}

// Third bytes of addresses, one for each group of members.
const (
	platformNet = iota
	entryNet
	hostNet
	appNet
	storeLinkNet
)

func (s *Site) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.subnet, group, i+1) }

// allMembers returns a copy of the member list.
func (s *Site) allMembers() []*Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

// AddHost starts one more engine, which has no weights, and its agent.
func (s *Site) AddHost(ctx context.Context) error {
	number := len(s.Members(Engine))
	engine := s.add(Engine, hostNet, number)
	engine.empty = true
	for _, m := range []*Member{engine, s.add(Agent, hostNet, number)} {
		if err := s.writeSettings(m); err != nil {
			return err
		}
		if err := s.Begin(ctx, m); err != nil {
			return err
		}
	}
	return nil
}

// Members returns the members of a kind.
func (s *Site) Members(kind string) []*Member {
	var found []*Member
	for _, m := range s.allMembers() {
		if m.Kind == kind {
			found = append(found, m)
		}
	}
	return found
}

// Origin returns the address of the origin.
func (s *Site) Origin() string { return s.Members(Origin)[0].address(standinPort) }

// storeAddress returns the address at which an entry reaches the store. Each entry has
// its own, so that faults can be injected for one entry alone.
func (s *Site) storeAddress(m *Member) string {
	return fmt.Sprintf("%s:%d", s.ip(storeLinkNet, slices.Index(s.Members(Entry), m)), standinPort)
}

// Begin starts a member's process, or starts it again after it ended.
func (s *Site) Begin(ctx context.Context, m *Member) error {
	spec := process.Spec{Name: m.Name, Program: filepath.Join(s.config.Bin, m.program), Args: m.args, Log: s.config.Log, Stdout: s.config.Log, Timeout: startTimeout}
	if m.program == "comfreystandin" {
		spec.Listening = 1
	}
	p, err := process.Start(ctx, spec)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.process = p
	return nil
}

// Stop kills all processes; it resumes paused ones first.
func (s *Site) Stop() {
	for _, m := range s.allMembers() {
		if p := m.Process(); p != nil && !p.Ended() {
			_ = p.Resume()
			_ = p.Kill()
		}
	}
}

// writeSettings sets a member's program and arguments and writes its settings file.
func (s *Site) writeSettings(m *Member) error {
	file := filepath.Join(s.config.Dir, m.Name+".json")
	var text []byte
	var err error
	switch m.Kind {
	case Entry:
		m.program, m.args = "comfreyentry", []string{"--settings", file}
		text, err = marshalSettings(s.entrySettings(m))
	case Agent:
		m.program, m.args = "comfreyagent", []string{"--settings", file}
		text, err = marshalSettings(s.agentSettings(m))
	default:
		m.program, m.args = "comfreystandin", []string{"site", "--file", file}
		text, err = json.Marshal(s.standinOptions(m))
	}
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, fileMode)
}

func marshalSettings(set proto.Message) ([]byte, error) {
	return protojson.MarshalOptions{Multiline: true}.Marshal(set)
}

func (s *Site) nodeSettings(m *Member) *wire.NodeSettings {
	return &wire.NodeSettings{
		Id: m.Name, Region: "region-" + m.Domain, FailureDomain: m.Domain, Insecure: true, LogLevel: "info",
		ControlAddress: m.address(controlPort), OperatorsAddress: m.address(operatorsPort), HostsUrl: "http://" + s.store.address(standinPort),
	}
}

func (s *Site) siteSettings() *wire.SiteSettings {
	const memory, link = 284, 7.3
	regions := map[string]string{}
	for _, domain := range s.config.Domains {
		regions[domain] = "region-" + domain
	}
	bounds := s.config.Bounds
	return &wire.SiteSettings{
		AgentPort: controlPort, MemoryMegabytes: memory, LinkMegabits: link, Regions: regions,
		Bounds: &wire.SiteBounds{
			RevokeMillis: millis(bounds.Revoke), ApplyMillis: millis(bounds.Apply), VersionMillis: millis(bounds.Version),
			GraceMillis: millis(bounds.Grace), RetryRatio: bounds.Ratio, RetrySlack: bounds.Slack, RetryWindowSeconds: bounds.Window.Seconds(),
		},
	}
}

func millis(span time.Duration) uint32 { return uint32(span.Milliseconds()) }

func (s *Site) entrySettings(m *Member) *wire.EntrySettings {
	set := &wire.EntrySettings{Node: s.nodeSettings(m), CallersAddress: m.Callers(), KvUrl: "http://" + s.storeAddress(m), Site: s.siteSettings()}
	set.Site.ReadyAddress, set.Site.DirectoryAddress = m.address(readyPort), m.Directory()
	return set
}

func (s *Site) agentSettings(m *Member) *wire.AgentSettings {
	node := s.nodeSettings(m)
	node.ControlAddress = m.address(agentPort)
	return &wire.AgentSettings{
		Node: node, Endpoint: "engine", Service: EngineService,
		EndpointUrl: "http://" + m.address(standinPort), Site: s.siteSettings(),
	}
}

const (
	appSlots, appQueue = 6, 24
	engineQueue        = 32
	eventTokens        = 5
	originVersions     = 200
	warmUp             = 300 * time.Millisecond
	appWorkTime        = 15 * time.Millisecond
	appErrorShare      = 0.05
)

func (s *Site) standinOptions(m *Member) platformtest.PartOptions {
	options := platformtest.PartOptions{
		Role: m.Kind, Address: m.address(standinPort), Control: m.address(faultsPort), StoreControl: s.store.address(faultsPort),
		HeartbeatMillis: int(heartbeat.Milliseconds()), LeaveMillis: int(s.config.Bounds.Drain.Milliseconds()),
		WarmMillis: int(warmUp.Milliseconds()), Model: Model, Chunks: s.config.Spec.Chunks, ChunkBytes: s.config.Spec.ChunkBytes, Versions: originVersions,
	}
	options.MaxConns = s.config.MaxConns[m.Kind]
	switch m.Kind {
	case Network:
		options.Ways = map[string]string{}
		for i := range maxHosts {
			ip := s.ip(hostNet, i)
			options.Ways[fmt.Sprintf("%s:%d", ip, controlPort)] = fmt.Sprintf("%s:%d", ip, agentPort)
		}
	case Store:
		options.DoorsBytesPerSecond = s.config.StoreBytesPerSecond
		for _, entry := range s.Members(Entry) {
			options.Doors = append(options.Doors, s.storeAddress(entry))
		}
	case Engine:
		options.Role = platformtest.RoleEndpoint
		options.Endpoint = platformtest.EndpointOptions{
			ID: m.ID, Service: EngineService, Domain: m.Domain, Slots: s.config.Spec.Slots, Queue: engineQueue,
			Engine: &s.config.Spec, EventTokens: eventTokens, Model: Model, Version: 1,
		}
		if m.empty {
			options.Endpoint.Version = 0
		}
	case App:
		options.Role = platformtest.RoleEndpoint
		options.Endpoint = platformtest.EndpointOptions{
			ID: m.ID, Service: AppService, Domain: m.Domain, Slots: appSlots, Queue: appQueue, WorkTime: appWorkTime, ErrorShare: appErrorShare,
		}
	}
	return options
}

// Change updates the injected faults of a stand-in. Faults of one stand-in may overlap in
// time, so each change starts from the faults in effect.
func (s *Site) Change(ctx context.Context, m *Member, change func(*platformtest.PartFaults)) error {
	m.faultsMu.Lock()
	defer m.faultsMu.Unlock()
	faults := m.faults
	faults.Doors, faults.Ways = maps.Clone(m.faults.Doors), maps.Clone(m.faults.Ways)
	if faults.Doors == nil {
		faults.Doors, faults.Ways = map[string]platformtest.DoorFaults{}, map[string]platformtest.LinkFaults{}
	}
	change(&faults)
	_, err := control(ctx, http.MethodPost, m, "/faults", faults)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) {
		return nil // killed meanwhile; it restarts without faults
	}
	if err != nil {
		return err
	}
	faults.Compact, faults.Lapse, faults.Spoil, faults.Link.Reset = false, false, false, false
	for address, one := range faults.Ways {
		one.Reset = false
		faults.Ways[address] = one
	}
	for address, one := range faults.Doors {
		one.Link.Reset = false
		faults.Doors[address] = one
	}
	m.faults = faults
	return nil
}

// ChangeWay sets the faults of the network link to an agent.
func (s *Site) ChangeWay(ctx context.Context, m *Member, faults platformtest.LinkFaults) error {
	return s.Change(ctx, s.Members(Network)[0], func(all *platformtest.PartFaults) { all.Ways[m.address(controlPort)] = faults })
}

// ChangeDoor sets the faults of an entry's link to the store.
func (s *Site) ChangeDoor(ctx context.Context, m *Member, faults platformtest.DoorFaults) error {
	return s.Change(ctx, s.store, func(all *platformtest.PartFaults) { all.Doors[s.storeAddress(m)] = faults })
}

// Leave tells an endpoint to drain.
func (s *Site) Leave(ctx context.Context, m *Member) error {
	_, err := control(ctx, http.MethodPost, m, "/leave", nil)
	return err
}

// Deregister removes an endpoint's registration, which goes on serving.
func (s *Site) Deregister(ctx context.Context, m *Member) error {
	_, err := control(ctx, http.MethodPost, m, "/deregister", nil)
	return err
}

// Put writes a key of the store, as an operator would, and returns the time of the
// acknowledgement.
func (s *Site) Put(ctx context.Context, key string, value any) (time.Time, error) {
	text, err := control(ctx, http.MethodPut, s.store, "/key?"+url.Values{"key": {key}}.Encode(), value)
	if err != nil {
		return time.Time{}, err
	}
	var at int64
	if err := json.Unmarshal(text, &at); err != nil {
		return time.Time{}, err
	}
	return time.Unix(0, at), nil
}

// Record returns what an endpoint stand-in recorded.
func (s *Site) Record(ctx context.Context, m *Member) (platformtest.Record, error) {
	var record platformtest.Record
	text, err := control(ctx, http.MethodGet, m, "/record", nil)
	if err != nil {
		return record, err
	}
	return record, json.Unmarshal(text, &record)
}

// WaitReady waits until every entry reports that it is ready for callers.
func (s *Site) WaitReady(ctx context.Context) error {
	for _, m := range s.Members(Entry) {
		for !isReady(ctx, m) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s does not take callers; see its log: %w", m.Name, ctx.Err())
			case <-m.Process().Done():
				return fmt.Errorf("%s ended; see its log: %w", m.Name, errors.Join(m.Process().Err()))
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, m *Member) bool {
	text, err := send(ctx, http.MethodGet, "http://"+m.address(readyPort)+"/ready", nil)
	return err == nil && text != nil
}

// control calls the control address of a stand-in.
func control(ctx context.Context, method string, m *Member, path string, body any) ([]byte, error) {
	return send(ctx, method, "http://"+m.address(faultsPort)+path, body)
}

// send makes one call with a JSON body and returns the response body. Any status but 200
// is an error.
func send(ctx context.Context, method, address string, body any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err = io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d", method, address, resp.StatusCode)
	}
	return text, err
}

// Replace starts a new endpoint, with a new id and without weights, in place of one that
// ended.
func (s *Site) Replace(ctx context.Context, m *Member) error {
	s.mu.Lock()
	s.replaced++
	m.formerIDs = append(m.formerIDs, m.ID)
	m.faults = platformtest.PartFaults{}
	m.ID, m.empty = fmt.Sprintf("i-%s-r%d", m.Name, s.replaced), true
	s.mu.Unlock()
	if err := s.writeSettings(m); err != nil {
		return err
	}
	return s.Begin(ctx, m)
}

// Of returns a Site with members that this package did not start.
func Of(members []*Member) *Site { return &Site{members: members} }
