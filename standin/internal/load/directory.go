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

// Bounds of asking which entry to use.
const (
	directoryTimeout = time.Second
	directoryTries   = 4
	maxDirectory     = 1 << 16 // bytes
	defaultTTL       = time.Second
)

// directoryReply is the answer to "which entry do I use?".
type directoryReply struct {
	Use        string   `json:"use"`
	Spares     []string `json:"spares"`
	TTLSeconds float64  `json:"ttlSeconds"`
	Owner      string   `json:"owner"`
}

// addresses returns all entries of the answer, best first.
func (d directoryReply) addresses() []string {
	return append([]string{d.Use}, d.Spares...)
}

// directory is one caller's memory of which entry to use.
type directory struct {
	entries []string
	key     string
	client  *http.Client
	clock   clockwork.Clock

	// mu is held while asking: one caller asks once.
	mu      sync.Mutex
	cached  directoryReply
	expires time.Time
}

// get returns the answer kept, or a new one when that expired. If nobody
// answers, the old one must do.
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

// forget makes the next get ask again, as the entry was gone or leaves.
func (d *directory) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Time{}
}

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
		return directoryReply{}, fmt.Errorf("entry %s answers %s", entry, response.Status)
	}
	return reply, nil
}
