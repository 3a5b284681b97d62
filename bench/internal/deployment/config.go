package deployment

import (
	"io"
	"time"
)

// Kinds of route policy and burst strategy that settings know; the empty name
// is the system's own choice.
const (
	PolicyRandom        = "random"
	PolicyRoundRobin    = "roundRobin"
	PolicyLeastInFlight = "leastInFlight"
	StrategyOriginOnly  = "originOnly"
	StrategyTree        = "tree"
	StrategyRandom      = "random"
)

// Config says what kind of deployment to start.
type Config struct {
	// Bin is the directory of the built programs.
	Bin string
	// Log receives the log lines of every process.
	Log io.Writer
	// Places hold entries and hosts in turn.
	Places []Place
	// Entries, Hosts and Services count processes of each kind; a host is an
	// engine with its agent, a service is a plain service with its agent.
	Entries, Hosts, Services int
	// RoutePolicy and BurstStrategy are empty or a baseline's name.
	RoutePolicy, BurstStrategy string
	// Link is each host's link.
	Link Link
	// OriginBytesPerSecond is the origin's link; 0 means unlimited.
	OriginBytesPerSecond uint64
	// Engine says how the engines behave.
	Engine Engine
	// WindowBytes bounds each agent's chunks in memory; 0 keeps its default.
	WindowBytes uint64
	// KVReadsPerSecond and KVWritesPerSecond are each entry's share of the
	// key-value service; 0 keeps the entry's default.
	KVReadsPerSecond, KVWritesPerSecond float64
	// ServiceReads and ServiceWrites are the calls a second that the key-value
	// service takes; 0 keeps its defaults.
	ServiceReads, ServiceWrites float64
	// HostListLag is how late changes appear in the platform's list.
	HostListLag time.Duration
	// DirectoryTTL is how long callers keep the address of an entry.
	DirectoryTTL time.Duration
	// LogLevel of the system's processes; empty means "warn".
	LogLevel string
	// OneEngineProcess puts all engines into one stand-in process, for many
	// hosts on one machine.
	OneEngineProcess bool
	// Mixed makes every second engine ignore old fencing numbers.
	Mixed bool
}

// Link is one host's link in bytes per second; 0 means unlimited.
type Link struct {
	Up, Down, Shared uint64
}

// Engine says how the engine stand-ins behave; zero values keep their defaults.
type Engine struct {
	// Slots is how many requests run at once, Queue how many wait.
	Slots, Queue int
	// TokenInterval is the time between tokens of a request that runs alone.
	TokenInterval time.Duration
	// FirstTokenTime is the time for a short prompt with a cold prefix.
	FirstTokenTime time.Duration
	// LoadTime is the time to load a version whose chunks are there.
	LoadTime time.Duration
	// CachePrefixes bounds the prompt prefixes that one engine caches.
	CachePrefixes int
}
