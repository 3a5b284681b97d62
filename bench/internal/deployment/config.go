package deployment

import (
	"io"
	"time"
)

// Baseline route policies and burst strategies that the settings accept. The empty
// name selects the system's default.
const (
	PolicyRandom        = "random"
	PolicyRoundRobin    = "roundRobin"
	PolicyLeastInFlight = "leastInFlight"
	StrategyOriginOnly  = "originOnly"
	StrategyTree        = "tree"
	StrategyRandom      = "random"
)

// Config describes the deployment to start.
type Config struct {
	// Bin is the directory of the built programs.
	Bin string
	// Log receives the log lines of every process.
	Log io.Writer
	// Places receive entries and hosts round-robin.
	Places []Place
	// Entries, Hosts and Services count processes of each kind; a host is an
	// engine with its agent, a service is a plain service with its agent.
	Entries, Hosts, Services int
	// RoutePolicy and BurstStrategy are empty or a baseline's name.
	RoutePolicy, BurstStrategy string
	// Link is the bandwidth of each host's network link.
	Link Link
	// OriginBytesPerSecond is the bandwidth of the origin; 0 means unlimited.
	OriginBytesPerSecond uint64
	// Engine says how the engines behave.
	Engine Engine
	// WindowBytes bounds the chunks that each agent holds in memory; 0 keeps the
	// agent's default.
	WindowBytes uint64
	// KVReadsPerSecond and KVWritesPerSecond are each entry's share of the
	// key-value service; 0 keeps the entry's default.
	KVReadsPerSecond, KVWritesPerSecond float64
	// ServiceReads and ServiceWrites are the calls per second that the key-value
	// service accepts; 0 keeps its defaults.
	ServiceReads, ServiceWrites float64
	// HostListLag is the delay before a change appears in the platform's host list.
	HostListLag time.Duration
	// DirectoryTTL is how long callers cache the address of an entry.
	DirectoryTTL time.Duration
	// LogLevel of the system's processes; empty means "warn".
	LogLevel string
	// OneEngineProcess puts all engines into one stand-in process, for many
	// hosts on one machine.
	OneEngineProcess bool
	// Mixed makes every second engine ignore old fencing numbers.
	Mixed bool
}

// Link is the bandwidth of one host in bytes per second; 0 means unlimited.
type Link struct {
	Up, Down, Shared uint64
}

// Engine configures the engine stand-ins; zero values keep their defaults.
type Engine struct {
	// Slots is the number of requests that run concurrently, Queue the number
	// that may wait.
	Slots, Queue int
	// TokenInterval is the time between tokens of a request that runs alone.
	TokenInterval time.Duration
	// FirstTokenTime is the time for a short prompt with a cold prefix.
	FirstTokenTime time.Duration
	// LoadTime is the time to load a version whose chunks are all stored.
	LoadTime time.Duration
	// CachePrefixes bounds the prompt prefixes that one engine caches.
	CachePrefixes int
}
