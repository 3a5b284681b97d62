package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"comfreyrelay.example/relay/peer"
	"comfreyrelay.example/relay/wire"
)

const (
	// settingsMode makes the settings unreadable for other users, because they
	// name key files.
	settingsMode = 0o600
	// Time that sync calls are held open, equal to the defaults of the settings.
	entrySyncInterval = 2 * time.Second
	agentSyncInterval = time.Second
	// leaseTTL is short, so that a killed lease holder is replaced during the run.
	leaseTTL = 3 * time.Second
	// drainTimeout bounds a graceful shutdown; it is longer than the longest
	// request.
	drainTimeout = 20 * time.Second
	// defaultDirectoryTTL is how long callers cache the address of an entry.
	defaultDirectoryTTL = 5 * time.Second
)

// KeyHash returns the hex SHA-256 of a bearer key, the form in which the document
// and the settings store it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (d *Deployment) nodeSettings(m *Member, role string) (*wire.NodeSettings, error) {
	files, err := d.authority.Issue(m.id, role)
	if err != nil {
		return nil, err
	}
	return &wire.NodeSettings{
		Id:               m.id,
		Region:           m.place.Region,
		FailureDomain:    m.place.FailureDomain,
		ControlAddress:   m.control,
		OperatorsAddress: m.operators,
		Tls:              files,
		HostsUrl:         d.hostsURL,
		LogLevel:         d.logLevel(),
	}, nil
}

func (d *Deployment) logLevel() string {
	if d.config.LogLevel == "" {
		return "warn"
	}
	return d.config.LogLevel
}

func (d *Deployment) writeEntrySettings(m *Member) error {
	node, err := d.nodeSettings(m, peer.RoleEntry)
	if err != nil {
		return err
	}
	ttl := d.config.DirectoryTTL
	if ttl == 0 {
		ttl = defaultDirectoryTTL
	}
	return d.writeSettings(m, &wire.EntrySettings{
		Node:               node,
		CallersAddress:     m.callers,
		KvUrl:              d.kvURL,
		KvReadsPerSecond:   d.config.KVReadsPerSecond,
		KvWritesPerSecond:  d.config.KVWritesPerSecond,
		BootstrapKeyHashes: []string{KeyHash(OperatorKey)},
		DirectoryTtl:       durationpb.New(ttl),
		SyncInterval:       durationpb.New(entrySyncInterval),
		LeaseTtl:           durationpb.New(leaseTTL),
		DrainTimeout:       durationpb.New(drainTimeout),
		RoutePolicy:        d.config.RoutePolicy,
	})
}

func (d *Deployment) writeAgentSettings(m *Member) error {
	node, err := d.nodeSettings(m, peer.RoleAgent)
	if err != nil {
		return err
	}
	link := d.config.Link
	return d.writeSettings(m, &wire.AgentSettings{
		Node:          node,
		Endpoint:      m.endpoint,
		Service:       m.service,
		EndpointUrl:   m.endpointURL,
		OriginUrl:     d.originURL,
		Link:          &wire.LinkSettings{Up: link.Up, Down: link.Down, Shared: link.Shared},
		SyncInterval:  durationpb.New(agentSyncInterval),
		DrainTimeout:  durationpb.New(drainTimeout),
		WindowBytes:   d.config.WindowBytes,
		BurstStrategy: d.config.BurstStrategy,
	})
}

func (d *Deployment) writeSettings(m *Member, set proto.Message) error {
	text, err := protojson.MarshalOptions{Multiline: true}.Marshal(set)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(d.dir, m.id+".json")
	return os.WriteFile(m.settings, text, settingsMode)
}
