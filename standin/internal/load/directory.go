package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limits of the lookup of entries.
const (
	directoryTimeout = time.Second
	directoryTries   = 4
	maxDirectory     = 1 << 16 // bytes
	defaultTTL       = time.Second
)

// directoryReply is the body of GET /v1/entries: the entry to use and its spares.
type directoryReply struct {
	Use        string   `json:"use"`
	Spares     []string `json:"spares"`
	TTLSeconds float64  `json:"ttlSeconds"`
	Owner      string   `json:"owner"`
}

// addresses returns all entries of the reply, the preferred one first.
func (d directoryReply) addresses() []string {
	return append([]string{d.Use}, d.Spares...)
}

// directory caches the entries that one caller uses.
type directory struct {
	entries []string
	key     string
	client  *http.Client
	clock   clockwork.Clock

	// mu is held during a lookup, so that one caller runs only one at a time.
	mu      sync.Mutex
	cached  directoryReply
	expires time.Time
}

// get returns the cached reply, or fetches a new one if that has expired. If no
// entry answers, it returns the expired reply.
func (d *directory) get(ctx context.Context) (directoryReply, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clock.Now().Before(d.expires) {
		return d.cached, nil
	}
	reply, err := d.fetch(ctx)
	if err != nil && d.cached.Use != "" {
		return d.cached, nil
	}
	if err != nil {
		return directoryReply{}, err
	}
	ttl := time.Duration(reply.TTLSeconds * float64(time.Second))
	if ttl <= 0 {
		ttl = defaultTTL
	}
	d.cached = reply
	d.expires = d.clock.Now().Add(ttl)
	return reply, nil
}

// invalidate makes the next get fetch a new reply. It is called when an entry is
// unreachable or names spares to use instead.
func (d *directory) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Time{}
}

// fetch asks the known spares and the configured entries in turn, from a random
// one on, until one answers or directoryTries is reached.
func (d *directory) fetch(ctx context.Context) (directoryReply, error) {
	candidates := append(d.cached.Spares[:len(d.cached.Spares):len(d.cached.Spares)], d.entries...)
	start := rand.IntN(len(candidates))
	var err error
	for i := range min(directoryTries, len(candidates)) {
		var reply directoryReply
		reply, err = d.fetchFrom(ctx, candidates[(start+i)%len(candidates)])
		if err == nil {
			return reply, nil
		}
	}
	return directoryReply{}, err
}

func (d *directory) fetchFrom(ctx context.Context, entry string) (directoryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	ask, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/v1/entries", nil)
	if err != nil {
		return directoryReply{}, err
	}
	ask.Header.Set("Authorization", "Bearer "+d.key)
	response, err := d.client.Do(ask)
	if err != nil {
		return directoryReply{}, err
	}
	defer response.Body.Close()
	var reply directoryReply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxDirectory)).Decode(&reply); err != nil {
		return directoryReply{}, err
	}
	if response.StatusCode != http.StatusOK || reply.Use == "" {
		return directoryReply{}, fmt.Errorf("entry %s answered with status %s", entry, response.Status)
	}
	return reply, nil
}
