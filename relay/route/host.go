// Package route chooses the host for an attempt: by the cache affinity of the
// prompt's prefix against the hosts' load, with reports that lag by seconds.
package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length of a prompt's prefix that engines cache by.
const prefixBytes = 64

// PrefixOf returns the prefix hash of a prompt.
func PrefixOf(prompt string) uint64 {
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	return xxhash.Sum64String(prompt)
}

// Host is one host that serves one version, as its latest report says.
type Host struct {
	ID            string
	Incarnation   string
	Address       string // of its agent's drpc listener, "ip:port"
	Region        string
	FailureDomain string
	Version       string    // that it serves
	Adapters      []Adapter // that it serves over the version
	Running       int
	Queued        int
	Slots         int           // requests that it runs at once; 0 while unknown
	Sequence      uint64        // of the report
	SeenAt        time.Time     // when the report was made, by the local clock
	TokenGap      time.Duration // median between tokens; 0 while unknown
	Prefixes      []uint64      // prefixes in its cache, as far as it says
}

// Adapter is one adapter that a host serves.
type Adapter struct {
	Name    string
	Version string
}

// Ask is what an attempt needs.
type Ask struct {
	Prefix   uint64
	Tokens   int      // at most this many are generated
	Versions []string // allowed
	Adapter  string   // empty: none
	// AdapterVersion is the only one allowed; empty: any that the host lists.
	AdapterVersion string
	Exclude        []string // host ids that failed this request already
	// Large marks a customer that uses much more than its share: some room on
	// each host is kept from it for the others.
	Large bool
}

// Choice is a host reserved for one attempt; Finish gives it back.
type Choice struct {
	Host        Host
	state       *hostState
	large       bool // reserved for a large customer
	hadFreeSlot bool // the host had a free slot, as far as known
	affinity    bool // the host was expected to hold the prefix
}

// AdapterVersion returns the version of the named adapter on the host.
func (c Choice) AdapterVersion(name string) string {
	for _, adapter := range c.Host.Adapters {
		if adapter.Name == name {
			return adapter.Version
		}
	}
	return ""
}

// Affinity reports whether the host was expected to hold the prompt's prefix.
func (c Choice) Affinity() bool { return c.affinity }

// Reason says why no host was chosen.
type Reason int

// The reasons of a Pick.
const (
	Chosen Reason = iota
	Busy          // hosts serve it, and none has room now
	NoHost        // no host serves it
)
