// Package route chooses the host that runs an attempt. It weighs prefix-cache
// affinity against host load, and corrects load reports that are seconds old.
package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixBytes is the length of the prompt prefix by which engines key their cache.
const prefixBytes = 64

// PrefixOf returns the hash of a prompt's prefix.
func PrefixOf(prompt string) uint64 {
	if len(prompt) > prefixBytes {
		prompt = prompt[:prefixBytes]
	}
	return xxhash.Sum64String(prompt)
}

// Host is the latest report of a host that serves one model version.
type Host struct {
	ID            string
	Incarnation   string
	Address       string // of the agent's drpc listener, "ip:port"
	Region        string
	FailureDomain string
	Version       string    // model version served
	Adapters      []Adapter // adapters served on top of the version
	Running       int
	Queued        int
	Slots         int           // concurrent requests; 0 if unknown
	Sequence      uint64        // report number
	SeenAt        time.Time     // local time at which the report was made
	TokenGap      time.Duration // median time between tokens; 0 if unknown
	Prefixes      []uint64      // cached prefixes; may be incomplete
}

// Adapter is a model adapter, with its version, that a host serves.
type Adapter struct {
	Name    string
	Version string
}

// Requirements holds the requirements of an attempt.
type Requirements struct {
	Prefix   uint64
	Tokens   int      // upper bound of the tokens to generate
	Versions []string // allowed model versions
	Adapter  string   // empty if none is needed
	// AdapterVersion is the only adapter version allowed. If it is empty, any
	// version that the host lists will do.
	AdapterVersion string
	Exclude        []string // ids of hosts on which this request already failed
	// Large marks a customer that uses much more than its fair share. Some slots
	// of each host are reserved for the other customers.
	Large bool
}

// Choice is a host reserved for one attempt. Finish releases it.
type Choice struct {
	Host        Host
	state       *hostState
	large       bool // for a large customer
	hadFreeSlot bool // the host had a free slot, by its estimated load
	affinity    bool // the host probably had the prefix cached
}

// AdapterVersion returns the version of the named adapter on the host, or ""
// if the host does not list it.
func (c Choice) AdapterVersion(name string) string {
	for _, adapter := range c.Host.Adapters {
		if adapter.Name == name {
			return adapter.Version
		}
	}
	return ""
}

// Affinity reports whether the host was expected to have the prompt's prefix cached.
func (c Choice) Affinity() bool { return c.affinity }

// Reason tells whether Pick chose a host and, if not, why.
type Reason int

// Results of Pick.
const (
	Chosen Reason = iota
	Busy          // hosts serve the request, but none has capacity now
	NoHost        // no host serves the request
)
